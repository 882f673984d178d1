#ifndef CRANBERRYPLANK_DAEMON_DEMAND_TABLE_H_
#define CRANBERRYPLANK_DAEMON_DEMAND_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/daemon/peer_table.h"
#include "cranberryplank/daemon/task_runner.h"
#include "cranberryplank/policy/share_allocator.h"
#include "cranberryplank/policy/waiting_queue.h"

namespace cranberryplank {

/// Demand of this daemon and its peers by pool and team, as input for share allocation, slot
/// assignment and heartbeats.
class DemandTable {
 public:
  /// All arguments must outlive this object.
  DemandTable(const HeadControl* head, const WaitingQueue* queue, TaskRunner* runner,
              const PeerTable* peers);

  /// Applies the queues of a newer configuration.
  void SetFleet(const Fleet& fleet);

  /// Queues by pool, without pools that have no queue.
  const std::map<std::string, std::vector<std::string>, std::less<>>& QueuesByPool() const {
    return m_queues_by_pool;
  }

  const std::vector<std::string>& QueuesOf(std::string_view pool) const;

  /// This daemon's demand, for its heartbeat.
  std::vector<TeamDemand> LocalDemand() const;

  /// Demand of all daemons on `pool`.
  PoolDemand TotalDemand(TimePoint now, const std::string& pool);

  /// Teams with waiting requests in `pool`, or none if all of them are in `blocked`. Teams in
  /// `blocked` may not start requests.
  std::vector<LocalTeam> LocalTeams(TimePoint now, const std::string& pool,
                                    const std::set<std::string, std::less<>>& blocked) const;

  LocalTeam LocalTeamState(TimePoint now, std::string_view pool, const std::string& team) const;

  /// Free worker slots of `pool` as known to this daemon.
  FreeCapacity Free(TimePoint now, const std::string& pool);

  /// Counts a request that was refused because `queue` was full or its deadline had passed.
  void CountLost(std::string_view queue);

  /// Number of requests of a pool's queues that CountLost() has counted since the daemon started.
  std::uint64_t LostIn(std::string_view pool) const;

  /// Mean of the expected run times over each queue and team with waiting requests; 1 s if no
  /// request waits.
  Duration ExpectedRunTimeIn(std::string_view pool) const;

 private:
  const HeadControl* m_head;
  const WaitingQueue* m_queue;
  TaskRunner* m_runner;
  const PeerTable* m_peers;
  std::map<std::string, std::vector<std::string>, std::less<>> m_queues_by_pool;
  std::map<std::string, TimePoint, std::less<>> m_free_since;  ///< By pool.
  std::map<std::string, std::uint64_t, std::less<>> m_lost;    ///< By pool.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_DEMAND_TABLE_H_
