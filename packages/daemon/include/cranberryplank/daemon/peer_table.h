#ifndef CRANBERRYPLANK_DAEMON_PEER_TABLE_H_
#define CRANBERRYPLANK_DAEMON_PEER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"
#include "cranberryplank/policy/share_allocator.h"

namespace cranberryplank {

/// Latest heartbeat data of the other daemons.
class PeerTable {
 public:
  /// Processes a heartbeat, which replaces the previous data of its sender.
  void OnHeartbeat(TimePoint now, const Heartbeat& beat);

  /// Removes daemons whose last heartbeat is too old.
  void Tick(TimePoint now);

  /// Demand of all peers on `pool`.
  std::vector<DaemonDemand> Demand(std::string_view pool) const;

  /// Number of tasks of `team` that peers run in pools other than `pool`.
  int RunningOutside(std::string_view pool, std::string_view team) const;

  /// Peers with free slots of `team`, reduced by the requests forwarded to them since their last
  /// heartbeat.
  std::vector<SlotHolder> Holders(std::string_view team) const;

  /// Records that a request of `team` was forwarded to `daemon`, where it uses a free slot.
  void UseSlot(std::string_view daemon, std::string_view team);

  /// VMs that a peer reported as leaving.
  std::set<std::string, std::less<>> LeavingVms() const;

  /// Summary of the peers' reports on a worker.
  struct Suspicion {
    int daemons = 0;           ///< Number of peers that suspect it.
    bool quarantined = false;  ///< Whether a peer holds it in quarantine.
  };
  Suspicion SuspicionOf(std::string_view vm) const;

  /// Newest head revision known to any peer; 0 if none is known.
  std::uint64_t NewestRevision() const;

  /// Head revision applied by a peer and the time at which its latest heartbeat was received.
  struct LastHeartbeat {
    std::uint64_t revision = 0;
    TimePoint received;
  };
  std::optional<LastHeartbeat> LastHeartbeatOf(std::string_view incarnation) const;

  /// Incarnations of all daemons with a recent heartbeat.
  std::vector<std::string> Daemons() const;

 private:
  struct Peer {
    TimePoint received;
    std::uint64_t revision = 0;
    std::uint64_t newest_revision = 0;
    std::vector<TeamDemand> demand;
    std::map<std::string, int, std::less<>> free_slots;
    std::vector<std::string> leaving;
    std::vector<SuspectVm> suspects;
  };

  std::map<std::string, Peer, std::less<>> m_peers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_PEER_TABLE_H_
