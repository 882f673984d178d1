#include "cranberryplank/control/head_replica.h"

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

constexpr Duration kHeartbeatInterval{500};
constexpr Duration kChangedHeartbeatInterval{200};

/// Rate limit for heartbeats sent before the regular interval is over. Regular heartbeats count
/// against it but are never delayed. Keeps heartbeats to all peers together below 11 KB/s.
constexpr double kHeartbeatBytesPerSecond = 10'000;

/// Framing, sequence numbers and revisions in a heartbeat, plus TCP and IP headers.
constexpr std::size_t kHeartbeatFixedBytes = 100;

/// Incarnations kept by `MayStillDispatch`.
constexpr std::size_t kMaxDispatchQueries = 256;

/// Estimates the size of a heartbeat on the network in bytes.
std::size_t SizeOf(const Heartbeat& heartbeat) {
  constexpr std::size_t kStringBytes = 2;
  constexpr std::size_t kNumberBytes = 3;
  std::size_t size =
      kHeartbeatFixedBytes + heartbeat.sender_id.size() + 2 * heartbeat.incarnation.size();
  for (const TeamDemand& demand : heartbeat.demand) {
    size += demand.pool.size() + demand.team.size() + 2 * (kStringBytes + kNumberBytes);
  }
  for (const FreeSlots& slots : heartbeat.free_slots) {
    size += slots.team.size() + kStringBytes + kNumberBytes;
  }
  for (const std::string& vm : heartbeat.leaving_vms) {
    size += vm.size() + kStringBytes;
  }
  for (const DeniedKey& denied : heartbeat.denied_keys) {
    size += denied.digest.size() + denied.nonce.size() + 2 * kStringBytes;
  }
  for (const SuspectVm& suspect : heartbeat.suspect_vms) {
    size += suspect.vm.size() + kStringBytes + kNumberBytes;
  }
  return size;
}

}  // namespace

struct HeadReplica::PeerState {
  struct Sequences {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
  };

  /// By incarnation. Never erased: if sequence numbers were reused, a delayed echo of an old
  /// heartbeat would be taken for the echo of a new one.
  std::map<std::string, Sequences> sequences;
  std::vector<std::string> targets;  ///< Incarnations that receive heartbeats.
  /// Held and effective revision that `targets` was computed for.
  std::optional<std::pair<std::uint64_t, std::uint64_t>> targets_basis;
  std::set<std::string> linked;  ///< Incarnations with which a link has been up.
  std::set<std::string> missing;
  std::map<std::string, std::string> unregistered;  ///< Last unregistered process by VM.
  /// By unregistered incarnation: time of the last heartbeat sent in reply.
  std::map<std::string, TimePoint> answered;
  Heartbeat last_content;
  std::optional<TimePoint> last_heartbeat;
  /// Bytes that may be sent before `kHeartbeatInterval` is over.
  double budget = kHeartbeatBytesPerSecond;
  TimePoint budget_time;
  bool was_registered = false;
  /// Queried incarnations that no held head listed, with the time of the first query.
  std::map<std::string, TimePoint, std::less<>> dispatch_queries;
};

HeadReplica::HeadReplica(DaemonRecord self, std::vector<DaemonRecord> first_peers, Store& store,
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
  m_links.signal_message().connect(sigc::mem_fun(*this, &HeadReplica::OnMessage));
  m_links.signal_up().connect(sigc::mem_fun(*this, &HeadReplica::OnLinkUp));
  m_reader->signal_applied().connect(sigc::mem_fun(*this, &HeadReplica::OnApplied));
  m_reader->signal_store_read().connect(sigc::mem_fun(*m_freshness, &FreshnessTracker::StoreRead));
}

HeadReplica::~HeadReplica() = default;

void HeadReplica::Tick(TimePoint now) {
  UpdatePeers(now);
  m_reader->Tick(now, m_freshness->PeersConfirm(now, head()) && !AwaitsStoreRead());
  m_presence->Tick(now, head());
  m_peers->missing = FindMissingDaemons();
  m_effect->SetMissing(now, m_peers->missing);
  m_effect->Tick(now);
  m_denied->Applied(fleet());
  m_registrar->Tick(now, m_peers->missing);
  RecordDenials(now);
  m_writer->Tick(now);
  FinishDeregistration(now);
  SendHeartbeats(now);
}

std::set<std::string> HeadReplica::FindMissingDaemons() const {
  std::set<std::string> missing = m_presence->MissingDaemons();
  // Two processes on one VM never run at the same time, because both bind its peer address. If an
  // unregistered one answers, the registered one has ended, which the VM list does not show.
  // Without this rule the restart of half of the daemons would block all registration changes for
  // good.
  const auto add_predecessors = [&](const std::vector<DaemonRecord>& daemons) {
    for (const DaemonRecord& daemon : daemons) {
      const auto successor = m_peers->unregistered.find(daemon.id);
      const bool replaced = successor != m_peers->unregistered.end() &&
                            successor->second != daemon.incarnation &&
                            m_freshness->LastAliveAt(successor->second).has_value();
      if (replaced || (daemon.id == m_self.id && daemon.incarnation != m_self.incarnation &&
                       !m_registrar->removed())) {
        missing.insert(daemon.incarnation);
      }
    }
  };
  add_predecessors(head().daemons);
  add_predecessors(head().previous_daemons);
  return missing;
}

const Head& HeadReplica::head() const { return m_reader->head(); }

const Fleet& HeadReplica::fleet() const { return m_reader->fleet(); }

std::string_view HeadReplica::incarnation() const { return m_self.incarnation; }

std::optional<TimePoint> HeadReplica::FreshUntil(TimePoint now, std::string* last_reason) const {
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

void HeadReplica::Submit(TimePoint now, std::string_view /*description*/, FleetEdit edit,
                         ChangeCallback done) {
  m_writer->Submit(now, std::move(edit), std::move(done));
}

EffectStatus HeadReplica::StatusOf(std::uint64_t revision, TimePoint /*now*/) const {
  return m_effect->StatusOf(revision);
}

bool HeadReplica::MayStillDispatch(std::string_view incarnation, TimePoint now) const {
  if (head().FindIncarnation(incarnation) != nullptr || m_effect->RemovalPending(incarnation)) {
    return true;
  }
  if (m_effect->SeenRegistered(std::string(incarnation))) {
    return false;
  }
  // It may be registered in a revision that this daemon does not know yet. Only a store read sent
  // after the first query rules that out, because peers can confirm a head while a newer one is
  // recorded that none of them holds, and a daemon added by the newer one may already dispatch.
  auto query = m_peers->dispatch_queries.find(incarnation);
  if (query == m_peers->dispatch_queries.end()) {
    if (m_peers->dispatch_queries.size() >= kMaxDispatchQueries) {
      m_peers->dispatch_queries.clear();
    }
    query = m_peers->dispatch_queries.emplace(incarnation, now).first;
  }
  const std::optional<TimePoint> confirmed = m_freshness->StoreConfirmedAt();
  return !confirmed || *confirmed <= query->second;
}

bool HeadReplica::AwaitsStoreRead() const {
  const std::optional<TimePoint> confirmed = m_freshness->StoreConfirmedAt();
  return std::any_of(m_peers->dispatch_queries.begin(), m_peers->dispatch_queries.end(),
                     [&](const auto& entry) { return !confirmed || *confirmed <= entry.second; });
}

std::uint64_t HeadReplica::effective_revision() const { return m_effect->effective_revision(); }

bool HeadReplica::registered() const {
  return head().FindIncarnation(m_self.incarnation) != nullptr;
}

void HeadReplica::Deregister(TimePoint /*now*/, DeregisteredCallback done) {
  m_deregistered = std::move(done);
  m_registrar->Leave();
}

void HeadReplica::FinishDeregistration(TimePoint now) {
  if (!m_deregistered || registered() || m_effect->RemovalPending(m_self.incarnation)) {
    return;
  }
  const DeregisteredCallback done = std::move(m_deregistered);
  m_deregistered = nullptr;
  done(now);
}

void HeadReplica::DenyKey(TimePoint now, const Digest& key, std::string_view change_nonce) {
  m_denied->Deny(now, key, m_reader->newest_revision(), change_nonce);
  // The denial would be lost if this daemon failed before its next regular heartbeat. `at_once`
  // skips only the minimum interval; the heartbeat budget still applies.
  SendHeartbeats(now, true);
  RecordDenials(now);
}

bool HeadReplica::IsDenied(const Digest& key) const { return m_denied->IsDenied(key); }

std::optional<DenialStatus> HeadReplica::DenialOf(const Digest& key) const {
  return m_denied->StatusOf(key, head());
}

HeadReplica::DecisionSignal& HeadReplica::signal_decision() {
  return m_registrar->signal_decision();
}

void HeadReplica::SetHeartbeatContent(HeartbeatContent content) { m_content = std::move(content); }

void HeadReplica::RecordDenials(TimePoint now) {
  const bool acting = m_registrar->IsActing(now, m_peers->missing);
  for (const DeniedKeys::UnrecordedWithdrawal& denial :
       m_denied->TakeUnrecordedWithdrawals(now, acting)) {
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

void HeadReplica::OnMessage(TimePoint now, const std::string& sender, const PeerMessage& message) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnHeartbeat(now, sender, *heartbeat);
  } else if (const auto* request = std::get_if<HeadRequest>(&message)) {
    m_links.Send(sender, m_reader->Answer(*request));
  } else if (const auto* reply = std::get_if<HeadReply>(&message)) {
    m_reader->OnHeadReply(now, *reply);
  }
}

void HeadReplica::OnHeartbeat(TimePoint now, const std::string& sender,
                              const Heartbeat& heartbeat) {
  if (heartbeat.incarnation != sender) {
    return;
  }
  PeerState::Sequences& sequences = m_peers->sequences[sender];
  sequences.received = std::max(sequences.received, heartbeat.sequence);
  m_freshness->HeartbeatReceived(sender, heartbeat);
  m_reader->UpdatePeerRevision(sender, heartbeat.revision, heartbeat.newest_revision);
  m_effect->Acknowledged(now, sender, heartbeat.revision);
  m_denied->HeartbeatReceived(now, sender, heartbeat);
  if (head().FindIncarnation(sender) != nullptr) {
    m_heartbeat.emit(now, heartbeat);
    return;
  }
  // A daemon that is not registered needs the acknowledgements of the others before it may
  // register, and they send it heartbeats only in answer to its own.
  m_peers->unregistered[heartbeat.sender_id] = sender;
  const auto answered = m_peers->answered.find(sender);
  if (answered == m_peers->answered.end() || now >= answered->second + kChangedHeartbeatInterval) {
    m_peers->answered[sender] = now;
    SendHeartbeat(now, sender, NextHeartbeat(now));
  }
}

void HeadReplica::OnApplied(TimePoint now) {
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

void HeadReplica::OnLinkUp(TimePoint /*now*/, const std::string& incarnation) {
  if (m_peers->linked.insert(incarnation).second) {
    m_peers->targets_basis.reset();
  }
}

void HeadReplica::UpdatePeers(TimePoint now) {
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
    // The settings name first peers by address only; the link reports the incarnation that answered
    // there.
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

Heartbeat HeadReplica::NextHeartbeat(TimePoint now) const {
  Heartbeat heartbeat;
  if (m_content) {
    m_content(now, &heartbeat);
  }
  heartbeat.sender_id = m_self.id;
  heartbeat.incarnation = m_self.incarnation;
  heartbeat.revision = head().revision;
  heartbeat.newest_revision = m_reader->newest_revision();
  heartbeat.denied_keys = m_denied->ForHeartbeat();
  return heartbeat;
}

void HeadReplica::SendHeartbeats(TimePoint now, bool at_once) {
  PeerState& state = *m_peers;
  const bool changed_due =
      at_once || !state.last_heartbeat || now >= *state.last_heartbeat + kChangedHeartbeatInterval;
  if (!changed_due || state.targets.empty()) {
    return;
  }
  const Heartbeat heartbeat = NextHeartbeat(now);
  const double bytes = static_cast<double>(SizeOf(heartbeat) * state.targets.size());
  const std::chrono::duration<double> elapsed = now - state.budget_time;
  state.budget =
      std::min(kHeartbeatBytesPerSecond, state.budget + elapsed.count() * kHeartbeatBytesPerSecond);
  state.budget_time = now;
  const bool due = !state.last_heartbeat || now >= *state.last_heartbeat + kHeartbeatInterval;
  if (!due && (heartbeat == state.last_content || bytes > state.budget)) {
    return;
  }
  state.budget -= bytes;
  state.last_heartbeat = now;
  state.last_content = heartbeat;
  for (const std::string& target : state.targets) {
    SendHeartbeat(now, target, heartbeat);
  }
}

void HeadReplica::SendHeartbeat(TimePoint now, const std::string& incarnation,
                                Heartbeat heartbeat) {
  PeerState::Sequences& sequences = m_peers->sequences[incarnation];
  heartbeat.sequence = ++sequences.sent;
  heartbeat.echo_sequence = sequences.received;
  heartbeat.echo_incarnation = incarnation;
  m_freshness->HeartbeatSent(now, incarnation, heartbeat.sequence);
  m_links.Send(incarnation, heartbeat);
}

}  // namespace cranberryplank
