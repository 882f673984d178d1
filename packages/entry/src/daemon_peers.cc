#include "cranberryplank/entry/daemon_peers.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// A daemon that called within this time can take over the schedule.
constexpr Duration kRecentCall{2'500};
/// Pings that the owner asks all other daemons together to send.
constexpr int kPingsPerSecond = 200;
/// A daemon that has not called for this long is forgotten.
constexpr Duration kMayTakeOver{10'000};

/// Far more daemons than a fleet has.
constexpr std::size_t kMaxPeers = 4'096;
constexpr std::size_t kMaxAddressBytes = 64;

}  // namespace

void DaemonPeers::RecordCall(TimePoint now, const OwnerCall& call) {
  std::erase_if(m_peers,
                [&](const auto& item) { return now - item.second.last_call > kMayTakeOver; });
  const bool known = m_peers.contains(call.sender);
  if (!known && (m_peers.size() >= kMaxPeers || call.sender.size() > kMaxAddressBytes)) {
    return;
  }
  Peer& peer = m_peers[call.sender];
  peer.last_call = now;
  peer.cores = call.cores;
  peer.state_format = call.state_format;
}

void DaemonPeers::ForgetSilent(TimePoint now) {
  std::erase_if(m_peers,
                [&](const auto& item) { return now - item.second.last_call > kRecentCall; });
}

void DaemonPeers::AskAgainAt(const std::string& address, TimePoint time) {
  if (const auto peer = m_peers.find(address); peer != m_peers.end()) {
    peer->second.ask_again_at = time;
  }
}

std::optional<std::string> DaemonPeers::ChooseSuccessor(TimePoint now, double least_cores) const {
  auto strongest = m_peers.end();
  for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
    const bool stronger = strongest == m_peers.end() || it->second.cores > strongest->second.cores;
    if (now >= it->second.ask_again_at && it->second.cores >= least_cores && stronger) {
      strongest = it;
    }
  }
  return strongest == m_peers.end() ? std::nullopt : std::optional(strongest->first);
}

bool DaemonPeers::AllReadProgressLog() const {
  return std::all_of(m_peers.begin(), m_peers.end(), [](const auto& item) {
    return item.second.state_format >= kProgressLogFormat;
  });
}

double DaemonPeers::StrongestCores(TimePoint now, double own_cores) const {
  double strongest = own_cores;
  for (const auto& [address, peer] : m_peers) {
    const bool recent = now - peer.last_call <= kRecentCall;
    strongest = std::max(strongest, recent ? peer.cores : 0);
  }
  return strongest;
}

std::int64_t DaemonPeers::PingIntervalMs() const {
  return static_cast<std::int64_t>(m_peers.size()) * 1'000 / kPingsPerSecond;
}

}  // namespace cranberryplank
