#include "freshness_tracker.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "cranberryplank/control/head_keeper.h"

namespace cranberryplank {

namespace {

/// Beats whose send time is remembered: more than are sent in `kFreshness`. The echo of an older
/// one proves nothing that still counts.
constexpr std::size_t kRememberedBeats = 64;

/// Beats and their echoes 500 ms apart give confirmations that are up to 1 s old. The rest of
/// `kFreshness` is left for a store read.
constexpr Duration kPeersConfirm{1'250};

}  // namespace

void FreshnessTracker::Confirmation::Note(TimePoint time, std::uint64_t revision,
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

void FreshnessTracker::BeatSent(TimePoint now, const std::string& peer, std::uint64_t sequence) {
  std::deque<SentBeat>& sent = m_peers[peer].sent;
  sent.push_back(SentBeat{sequence, now});
  if (sent.size() > kRememberedBeats) {
    sent.pop_front();
  }
}

void FreshnessTracker::BeatReceived(const std::string& peer, const Heartbeat& beat) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end() || beat.echo_incarnation != m_incarnation) {
    return;
  }
  Peer& state = found->second;
  const auto echoed = std::find_if(state.sent.begin(), state.sent.end(), [&](const SentBeat& sent) {
    return sent.sequence == beat.echo_sequence;
  });
  if (echoed == state.sent.end()) {
    return;
  }
  state.heard = std::max(state.heard.value_or(echoed->sent), echoed->sent);
  state.confirmation.Note(echoed->sent, beat.newest_revision, m_held);
  state.sent.erase(state.sent.begin(), echoed);
}

void FreshnessTracker::StoreRead(TimePoint sent, std::uint64_t revision) {
  // A store that shows less than is already known has lost data and confirms nothing.
  if (revision >= m_held) {
    m_store.Note(sent, revision, m_held);
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
         now < *confirmed + kPeersConfirm;
}

std::optional<TimePoint> FreshnessTracker::HeardAt(std::string_view peer) const {
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? std::nullopt : found->second.heard;
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
