#include "cranberryplank/control/head_keeper.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "denied_keys.h"
#include "effect_tracker.h"
#include "freshness_tracker.h"
#include "head_reader.h"
#include "head_writer.h"
#include "registrar.h"
#include "vm_presence.h"

namespace cranberryplank {

namespace {

constexpr Duration kBeatInterval{500};
constexpr Duration kChangedBeatInterval{200};

/// Heartbeats to all peers together stay below 11 KB/s. Beats ahead of `kBeatInterval` are held
/// back while this budget is used up.
constexpr double kBeatBytesPerSecond = 10'000;

/// Framing, sequence numbers and revisions in a beat, plus TCP and IP headers.
constexpr std::size_t kBeatFixedBytes = 100;

/// Incarnations remembered by `MayStillDispatch`.
constexpr std::size_t kMostQuestions = 256;

/// Estimates the bytes that a beat takes on the network.
std::size_t SizeOf(const Heartbeat& beat) {
  constexpr std::size_t kStringBytes = 2;
  constexpr std::size_t kNumberBytes = 3;
  std::size_t size = kBeatFixedBytes + beat.sender_id.size() + 2 * beat.incarnation.size();
  for (const TeamDemand& demand : beat.demand) {
    size += demand.pool.size() + demand.team.size() + 2 * (kStringBytes + kNumberBytes);
  }
  for (const FreeSlots& slots : beat.free_slots) {
    size += slots.team.size() + kStringBytes + kNumberBytes;
  }
  for (const std::string& vm : beat.leaving_vms) {
    size += vm.size() + kStringBytes;
  }
  for (const DeniedKey& denied : beat.denied_keys) {
    size += denied.digest.size() + denied.nonce.size() + 2 * kStringBytes;
  }
  for (const SuspectVm& suspect : beat.suspect_vms) {
    size += suspect.vm.size() + kStringBytes + kNumberBytes;
  }
  return size;
}

}  // namespace

struct HeadKeeper::PeerState {
  struct Sequences {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
  };

  /// By incarnation. Never erased: a sequence number that is used again would let a late echo
  /// confirm a beat that its sender had not received.
  std::map<std::string, Sequences> sequences;
  std::vector<std::string> targets;  ///< Incarnations that beats go to.
  /// Held and effective revision that `targets` was computed for.
  std::optional<std::pair<std::uint64_t, std::uint64_t>> targets_basis;
  std::set<std::string> linked;  ///< Incarnations that a link came up to.
  std::set<std::string> gone;
  std::map<std::string, std::string> unregistered;  ///< Last unregistered process by VM.
  std::map<std::string, TimePoint> answered;        ///< Last beat sent in answer to such a process.
  Heartbeat last_content;
  std::optional<TimePoint> last_beat;
  double budget = kBeatBytesPerSecond;  ///< Bytes that may be sent ahead of `kBeatInterval`.
  TimePoint budget_time;
  bool was_registered = false;
  /// Incarnations asked about that no held head listed, with the time of the first question.
  std::map<std::string, TimePoint, std::less<>> questions;
};

HeadKeeper::HeadKeeper(DaemonRecord self, std::vector<DaemonRecord> first_peers, Store& store,
                       VmDirectory& directory, PeerLinks& links, RandomSource& random,
                       MembershipRules rules)
    : m_self(std::move(self)),
      m_first_peers(std::move(first_peers)),
      m_links(links),
      m_reader(std::make_unique<HeadReader>(store, links, random)),
      m_freshness(std::make_unique<FreshnessTracker>(m_self.incarnation)),
      m_effect(std::make_unique<EffectTracker>(m_self.incarnation, rules)),
      m_writer(std::make_unique<HeadWriter>(m_self.incarnation, store, *m_reader, random)),
      m_presence(std::make_unique<VmPresence>(m_self.id, directory, *m_freshness)),
      m_registrar(std::make_unique<Registrar>(m_self, *m_reader, *m_writer, *m_effect, *m_freshness,
                                              random, rules)),
      m_denied(std::make_unique<DeniedKeys>(m_self.incarnation, random)),
      m_peers(std::make_unique<PeerState>()) {
  m_links.signal_message().connect(sigc::mem_fun(*this, &HeadKeeper::OnMessage));
  m_links.signal_up().connect(sigc::mem_fun(*this, &HeadKeeper::OnLinkUp));
  m_reader->signal_applied().connect(sigc::mem_fun(*this, &HeadKeeper::OnApplied));
  m_reader->signal_store_read().connect(sigc::mem_fun(*m_freshness, &FreshnessTracker::StoreRead));
}

HeadKeeper::~HeadKeeper() = default;

void HeadKeeper::Tick(TimePoint now) {
  UpdatePeers(now);
  m_reader->Tick(now, m_freshness->PeersConfirm(now, head()) && !AwaitsStoreRead());
  m_presence->Tick(now, head());
  m_peers->gone = FindGone();
  m_effect->SetGone(now, m_peers->gone);
  m_effect->Tick(now);
  m_denied->Applied(fleet());
  m_registrar->Tick(now, m_peers->gone);
  RecordDenials(now);
  m_writer->Tick(now);
  FinishDeregistration(now);
  SendBeats(now);
}

std::set<std::string> HeadKeeper::FindGone() const {
  std::set<std::string> gone = m_presence->Gone();
  // A process that answers a beat sent after this daemon knew of another registered process on
  // the same VM is the later one of the two: processes on a VM follow each other, since each
  // binds the VM's peer address. The VM list never reports such a predecessor gone, so without
  // this the restart of half of the daemons would block all registration changes for good.
  const auto add_predecessors = [&](const std::vector<DaemonRecord>& daemons) {
    for (const DaemonRecord& daemon : daemons) {
      const auto successor = m_peers->unregistered.find(daemon.id);
      const bool replaced = successor != m_peers->unregistered.end() &&
                            successor->second != daemon.incarnation &&
                            m_freshness->HeardAt(successor->second).has_value();
      if (replaced || (daemon.id == m_self.id && daemon.incarnation != m_self.incarnation &&
                       !m_registrar->removed())) {
        gone.insert(daemon.incarnation);
      }
    }
  };
  add_predecessors(head().daemons);
  add_predecessors(head().previous_daemons);
  return gone;
}

const Head& HeadKeeper::head() const { return m_reader->head(); }

const Fleet& HeadKeeper::fleet() const { return m_reader->fleet(); }

std::string_view HeadKeeper::incarnation() const { return m_self.incarnation; }

std::optional<TimePoint> HeadKeeper::FreshUntil(TimePoint now, std::string* last_reason) const {
  if (m_registrar->leaving()) {
    *last_reason = "this daemon is shutting down";
    return std::nullopt;
  }
  if (!m_reader->undecodable().empty()) {
    *last_reason = m_reader->undecodable();
    return std::nullopt;
  }
  return m_freshness->FreshUntil(now, head(), last_reason);
}

void HeadKeeper::Submit(TimePoint now, std::string_view /*description*/, FleetEdit edit,
                        ChangeCallback done) {
  m_writer->Submit(now, std::move(edit), std::move(done));
}

EffectStatus HeadKeeper::StatusOf(std::uint64_t revision, TimePoint /*now*/) const {
  return m_effect->StatusOf(revision);
}

bool HeadKeeper::MayStillDispatch(std::string_view incarnation, TimePoint now) const {
  if (head().FindIncarnation(incarnation) != nullptr || m_effect->RemovalPending(incarnation)) {
    return true;
  }
  if (m_effect->SeenRegistered(std::string(incarnation))) {
    return false;
  }
  // It may be registered in a revision that this daemon has not heard of yet. Only a store read
  // sent after the first question rules that out: peers can confirm a head while a newer one is
  // recorded that none of them holds, and a daemon added by that one already may dispatch.
  auto question = m_peers->questions.find(incarnation);
  if (question == m_peers->questions.end()) {
    if (m_peers->questions.size() >= kMostQuestions) {
      m_peers->questions.clear();
    }
    question = m_peers->questions.emplace(incarnation, now).first;
  }
  const std::optional<TimePoint> confirmed = m_freshness->StoreConfirmedAt();
  return !confirmed || *confirmed <= question->second;
}

bool HeadKeeper::AwaitsStoreRead() const {
  const std::optional<TimePoint> confirmed = m_freshness->StoreConfirmedAt();
  return std::any_of(m_peers->questions.begin(), m_peers->questions.end(),
                     [&](const auto& entry) { return !confirmed || *confirmed <= entry.second; });
}

std::uint64_t HeadKeeper::effective_revision() const { return m_effect->effective_revision(); }

bool HeadKeeper::registered() const {
  return head().FindIncarnation(m_self.incarnation) != nullptr;
}

void HeadKeeper::Deregister(TimePoint /*now*/, DeregisteredCallback done) {
  m_deregistered = std::move(done);
  m_registrar->Leave();
}

void HeadKeeper::FinishDeregistration(TimePoint now) {
  if (!m_deregistered || registered() || m_effect->RemovalPending(m_self.incarnation)) {
    return;
  }
  const DeregisteredCallback done = std::move(m_deregistered);
  m_deregistered = nullptr;
  done(now);
}

void HeadKeeper::DenyKey(TimePoint now, const Digest& key, std::string_view change_nonce) {
  m_denied->Deny(now, key, m_reader->newest_revision(), change_nonce);
  // A daemon that dies before its next heartbeat would take the denial with it.
  SendBeats(now, true);
  RecordDenials(now);
}

bool HeadKeeper::IsDenied(const Digest& key) const { return m_denied->IsDenied(key); }

std::optional<DenialStatus> HeadKeeper::DenialOf(const Digest& key) const {
  return m_denied->StatusOf(key, head());
}

HeadKeeper::DecisionSignal& HeadKeeper::signal_decision() { return m_registrar->signal_decision(); }

void HeadKeeper::SetBeatContent(BeatContent content) { m_content = std::move(content); }

void HeadKeeper::RecordDenials(TimePoint now) {
  const bool acting = m_registrar->IsActing(now, m_peers->gone);
  for (const DeniedKeys::Unrecorded& denial : m_denied->TakeUnrecorded(now, acting)) {
    const auto edit = [key = denial.key](const Fleet& current, std::string*) {
      Fleet changed = current;
      changed.keys.erase(key.hex);
      return std::optional<Fleet>(std::move(changed));
    };
    m_writer->Submit(now, RecordedEdit(denial.identity, edit),
                     [this, nonce = denial.nonce](TimePoint when, const ChangeResult& result) {
                       if (result.outcome != ChangeOutcome::kRecorded) {
                         m_denied->RecordingFailed(when, nonce);
                       }
                     });
  }
}

void HeadKeeper::OnMessage(TimePoint now, const std::string& sender, const PeerMessage& message) {
  if (const auto* beat = std::get_if<Heartbeat>(&message)) {
    OnBeat(now, sender, *beat);
  } else if (const auto* request = std::get_if<HeadRequest>(&message)) {
    m_links.Send(sender, m_reader->Answer(*request));
  } else if (const auto* reply = std::get_if<HeadReply>(&message)) {
    m_reader->OnHeadReply(now, *reply);
  }
}

void HeadKeeper::OnBeat(TimePoint now, const std::string& sender, const Heartbeat& beat) {
  if (beat.incarnation != sender) {
    return;
  }
  PeerState::Sequences& sequences = m_peers->sequences[sender];
  sequences.received = std::max(sequences.received, beat.sequence);
  m_freshness->BeatReceived(sender, beat);
  m_reader->NotePeer(sender, beat.revision, beat.newest_revision);
  m_effect->Acknowledged(now, sender, beat.revision);
  m_denied->BeatReceived(now, sender, beat);
  if (head().FindIncarnation(sender) != nullptr) {
    m_beat.emit(now, beat);
    return;
  }
  // A daemon that is not registered needs the acknowledgements of the others before it may
  // register, and they send it no beats of their own accord.
  m_peers->unregistered[beat.sender_id] = sender;
  const auto answered = m_peers->answered.find(sender);
  if (answered == m_peers->answered.end() || now >= answered->second + kChangedBeatInterval) {
    m_peers->answered[sender] = now;
    SendBeat(now, sender, NextBeat(now));
  }
}

void HeadKeeper::OnApplied(TimePoint now) {
  m_effect->Applied(now, head());
  m_freshness->Applied(head());
  m_denied->Applied(fleet());
  UpdatePeers(now);
  if (m_peers->was_registered && !registered() && !m_registrar->leaving()) {
    m_removed.emit(now);
  }
  m_peers->was_registered = registered();
  m_peers->unregistered.clear();
  m_peers->answered.clear();
  m_changed.emit(now);
}

void HeadKeeper::OnLinkUp(TimePoint /*now*/, const std::string& incarnation) {
  if (m_peers->linked.insert(incarnation).second) {
    m_peers->targets_basis.reset();
  }
}

void HeadKeeper::UpdatePeers(TimePoint now) {
  const std::pair<std::uint64_t, std::uint64_t> basis(head().revision, effective_revision());
  if (m_peers->targets_basis == basis) {
    return;
  }
  m_peers->targets_basis = basis;
  std::vector<DaemonRecord> peers = head().daemons;
  const auto add = [&](const DaemonRecord& daemon) {
    const auto same = [&](const DaemonRecord& peer) {
      return peer.incarnation == daemon.incarnation && peer.peer_host == daemon.peer_host &&
             peer.peer_port == daemon.peer_port;
    };
    if (std::none_of(peers.begin(), peers.end(), same)) {
      peers.push_back(daemon);
    }
  };
  // The acknowledgement of a removed daemon lets its removal take effect sooner.
  for (const DaemonRecord& daemon : head().previous_daemons) {
    if (m_effect->RemovalPending(daemon.incarnation)) {
      add(daemon);
    }
  }
  if (!registered()) {
    // All daemons of an old head may have been replaced since.
    for (const DaemonRecord& daemon : m_first_peers) {
      add(daemon);
    }
  }
  std::erase_if(peers,
                [&](const DaemonRecord& peer) { return peer.incarnation == m_self.incarnation; });
  std::vector<std::string> targets;
  targets.reserve(peers.size());
  for (const DaemonRecord& peer : peers) {
    if (!peer.incarnation.empty()) {
      targets.push_back(peer.incarnation);
    }
  }
  if (!registered()) {
    // The settings name first peers by address only; the link tells who answered there.
    for (const std::string& incarnation : m_peers->linked) {
      if (std::find(targets.begin(), targets.end(), incarnation) == targets.end()) {
        targets.push_back(incarnation);
      }
    }
  }
  if (targets == m_peers->targets && !m_peers->targets.empty()) {
    return;
  }
  m_peers->targets = targets;
  m_reader->SetPeers(std::move(targets));
  m_links.SetPeers(now, peers);
}

Heartbeat HeadKeeper::NextBeat(TimePoint now) const {
  Heartbeat beat;
  if (m_content) {
    m_content(now, &beat);
  }
  beat.sender_id = m_self.id;
  beat.incarnation = m_self.incarnation;
  beat.revision = head().revision;
  beat.newest_revision = m_reader->newest_revision();
  beat.denied_keys = m_denied->ForBeat();
  return beat;
}

void HeadKeeper::SendBeats(TimePoint now, bool at_once) {
  PeerState& state = *m_peers;
  const bool changed_due =
      at_once || !state.last_beat || now >= *state.last_beat + kChangedBeatInterval;
  if (!changed_due || state.targets.empty()) {
    return;
  }
  const Heartbeat beat = NextBeat(now);
  const double bytes = static_cast<double>(SizeOf(beat) * state.targets.size());
  const std::chrono::duration<double> elapsed = now - state.budget_time;
  state.budget =
      std::min(kBeatBytesPerSecond, state.budget + elapsed.count() * kBeatBytesPerSecond);
  state.budget_time = now;
  const bool due = !state.last_beat || now >= *state.last_beat + kBeatInterval;
  if (!due && (beat == state.last_content || bytes > state.budget)) {
    return;
  }
  state.budget -= bytes;
  state.last_beat = now;
  state.last_content = beat;
  for (const std::string& target : state.targets) {
    SendBeat(now, target, beat);
  }
}

void HeadKeeper::SendBeat(TimePoint now, const std::string& incarnation, Heartbeat beat) {
  PeerState::Sequences& sequences = m_peers->sequences[incarnation];
  beat.sequence = ++sequences.sent;
  beat.echo_sequence = sequences.received;
  beat.echo_incarnation = incarnation;
  m_freshness->BeatSent(now, incarnation, beat.sequence);
  m_links.Send(incarnation, beat);
}

}  // namespace cranberryplank
