#include "freshness_tracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "cranberryplank/control/head_replica.h"

namespace cranberryplank {

namespace {

/// Heartbeats whose send time is kept, more than are sent within `kFreshness`. The echo of an older
/// one would confirm a time that has already expired.
constexpr std::size_t kRememberedHeartbeats = 64;

/// Heartbeats and their echoes are 500 ms apart, so confirmations are up to 1 s old. The rest of
/// `kFreshness` is left for a store read.
constexpr Duration kMaxPeerConfirmationAge{1'250};

}  // namespace

void FreshnessTracker::Confirmation::Record(TimePoint time, std::uint64_t revision,
                                            std::uint64_t held) {
  if (revision <= held) {
    confirmed = std::max(confirmed.value_or(time), time);
  } else if (!ahead || revision > ahead_revision || time > *ahead) {
    ahead = time;
    ahead_revision = revision;
  }
}

void FreshnessTracker::Confirmation::Applied(std::uint64_t held) {
  if (ahead && ahead_revision <= held) {
    confirmed = std::max(confirmed.value_or(*ahead), *ahead);
    ahead.reset();
  }
}

FreshnessTracker::FreshnessTracker(std::string incarnation)
    : m_incarnation(std::move(incarnation)) {}

void FreshnessTracker::HeartbeatSent(TimePoint now, const std::string& peer,
                                     std::uint64_t sequence) {
  std::deque<SentHeartbeat>& sent = m_peers[peer].sent;
  sent.push_back(SentHeartbeat{sequence, now});
  if (sent.size() > kRememberedHeartbeats) {
    sent.pop_front();
  }
}

void FreshnessTracker::HeartbeatReceived(const std::string& peer, const Heartbeat& heartbeat) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end() || heartbeat.echo_incarnation != m_incarnation) {
    return;
  }
  Peer& state = found->second;
  const auto echoed = std::find_if(
      state.sent.begin(), state.sent.end(),
      [&](const SentHeartbeat& sent) { return sent.sequence == heartbeat.echo_sequence; });
  if (echoed == state.sent.end()) {
    return;
  }
  state.last_alive = std::max(state.last_alive.value_or(echoed->sent), echoed->sent);
  state.confirmation.Record(echoed->sent, heartbeat.newest_revision, m_held);
  state.sent.erase(state.sent.begin(), echoed);
}

void FreshnessTracker::StoreRead(TimePoint sent, std::uint64_t revision) {
  // A store that returns an older revision than the held one has lost data and confirms nothing.
  if (revision >= m_held) {
    m_store.Record(sent, revision, m_held);
  }
}

void FreshnessTracker::Applied(const Head& head) {
  m_held = head.revision;
  m_store.Applied(m_held);
  for (auto& [incarnation, peer] : m_peers) {
    peer.confirmation.Applied(m_held);
  }
  std::erase_if(m_peers,
                [&](const auto& entry) { return head.FindIncarnation(entry.first) == nullptr; });
}

bool FreshnessTracker::PeersConfirm(TimePoint now, const Head& head) const {
  const std::optional<TimePoint> confirmed = MajorityConfirmed(now, head);
  return head.FindIncarnation(m_incarnation) != nullptr && confirmed &&
         now < *confirmed + kMaxPeerConfirmationAge;
}

std::optional<TimePoint> FreshnessTracker::LastAliveAt(std::string_view peer) const {
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? std::nullopt : found->second.last_alive;
}

std::optional<TimePoint> FreshnessTracker::MajorityConfirmed(TimePoint now,
                                                             const Head& head) const {
  std::vector<TimePoint> times;
  for (const DaemonRecord& daemon : head.daemons) {
    if (daemon.incarnation == m_incarnation) {
      times.push_back(now);
      continue;
    }
    const auto found = m_peers.find(daemon.incarnation);
    if (found != m_peers.end() && found->second.confirmation.confirmed) {
      times.push_back(*found->second.confirmation.confirmed);
    }
  }
  const std::size_t needed = head.daemons.size() / 2 + 1;
  if (times.size() < needed) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1];
}

std::optional<TimePoint> FreshnessTracker::FreshUntil(TimePoint now, const Head& head,
                                                      std::string* last_reason) const {
  if (head.FindIncarnation(m_incarnation) == nullptr) {
    *last_reason = fmt::format("this daemon is not registered in revision {}", head.revision);
    return std::nullopt;
  }
  std::optional<TimePoint> confirmed = MajorityConfirmed(now, head);
  if (m_store.confirmed && (!confirmed || *m_store.confirmed > *confirmed)) {
    confirmed = m_store.confirmed;
  }
  if (!confirmed || now >= *confirmed + kFreshness) {
    *last_reason = fmt::format(
        "neither the store nor more than half of {} daemons confirmed revision {} within {} ms",
        head.daemons.size(), head.revision, kFreshness.count());
    return std::nullopt;
  }
  return *confirmed + kFreshness;
}

}  // namespace cranberryplank
