#include "cranberryplank/daemon/peer_table.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// Time without a heartbeat after which a peer's data is discarded. Spans several heartbeats.
constexpr Duration kPeerTimeout{2'000};

}  // namespace

void PeerTable::OnHeartbeat(TimePoint now, const Heartbeat& beat) {
  Peer& peer = m_peers[beat.incarnation];
  peer.received = now;
  peer.revision = beat.revision;
  peer.newest_revision = beat.newest_revision;
  peer.demand = beat.demand;
  peer.free_slots.clear();
  for (const FreeSlots& slots : beat.free_slots) {
    peer.free_slots[slots.team] = slots.free;
  }
  peer.leaving = beat.leaving_vms;
  peer.suspects = beat.suspect_vms;
}

void PeerTable::Tick(TimePoint now) {
  std::erase_if(m_peers,
                [&](const auto& entry) { return now - entry.second.received > kPeerTimeout; });
}

std::vector<DaemonDemand> PeerTable::Demand(std::string_view pool) const {
  std::vector<DaemonDemand> demand;
  for (const auto& [incarnation, peer] : m_peers) {
    for (const TeamDemand& team : peer.demand) {
      if (team.pool == pool) {
        demand.push_back(DaemonDemand{incarnation, team.team, team.running, team.waiting});
      }
    }
  }
  return demand;
}

int PeerTable::RunningOutside(std::string_view pool, std::string_view team) const {
  int running = 0;
  for (const auto& [incarnation, peer] : m_peers) {
    for (const TeamDemand& demand : peer.demand) {
      if (demand.team == team && demand.pool != pool) {
        running += demand.running;
      }
    }
  }
  return running;
}

std::vector<SlotHolder> PeerTable::Holders(std::string_view team) const {
  std::vector<SlotHolder> holders;
  for (const auto& [incarnation, peer] : m_peers) {
    const auto slots = peer.free_slots.find(team);
    if (slots != peer.free_slots.end() && slots->second > 0) {
      holders.push_back(SlotHolder{incarnation, slots->second});
    }
  }
  return holders;
}

void PeerTable::UseSlot(std::string_view daemon, std::string_view team) {
  const auto peer = m_peers.find(daemon);
  if (peer == m_peers.end()) {
    return;
  }
  const auto slots = peer->second.free_slots.find(team);
  if (slots != peer->second.free_slots.end() && slots->second > 0) {
    --slots->second;
  }
}

std::set<std::string, std::less<>> PeerTable::LeavingVms() const {
  std::set<std::string, std::less<>> leaving;
  for (const auto& [incarnation, peer] : m_peers) {
    leaving.insert(peer.leaving.begin(), peer.leaving.end());
  }
  return leaving;
}

PeerTable::Suspicion PeerTable::SuspicionOf(std::string_view vm) const {
  Suspicion suspicion;
  for (const auto& [incarnation, peer] : m_peers) {
    for (const SuspectVm& suspect : peer.suspects) {
      if (suspect.vm == vm) {
        ++suspicion.daemons;
        suspicion.quarantined = suspicion.quarantined || suspect.quarantined;
        break;
      }
    }
  }
  return suspicion;
}

std::uint64_t PeerTable::NewestRevision() const {
  std::uint64_t newest = 0;
  for (const auto& [incarnation, peer] : m_peers) {
    newest = std::max(newest, peer.newest_revision);
  }
  return newest;
}

std::optional<PeerTable::LastHeartbeat> PeerTable::LastHeartbeatOf(
    std::string_view incarnation) const {
  const auto peer = m_peers.find(incarnation);
  if (peer == m_peers.end()) {
    return std::nullopt;
  }
  return LastHeartbeat{peer->second.revision, peer->second.received};
}

std::vector<std::string> PeerTable::Daemons() const {
  std::vector<std::string> daemons;
  for (const auto& [incarnation, peer] : m_peers) {
    daemons.push_back(incarnation);
  }
  return daemons;
}

}  // namespace cranberryplank
