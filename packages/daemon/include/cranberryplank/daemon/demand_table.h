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

/// Demand by pool and team, of this daemon and of its peers, in the forms that share decisions,
/// slots and heartbeats need.
class DemandTable {
 public:
  /// All arguments must outlive the board.
  DemandTable(const HeadControl* head, const WaitingQueue* queue, TaskRunner* runner,
              const PeerTable* peers);

  /// Takes over the queues of a newer configuration.
  void SetFleet(const Fleet& fleet);

  /// Queues by pool; pools without queues are left out.
  const std::map<std::string, std::vector<std::string>, std::less<>>& QueuesByPool() const {
    return m_queues_by_pool;
  }

  const std::vector<std::string>& QueuesOf(std::string_view pool) const;

  /// This daemon's demand, for its heartbeat.
  std::vector<TeamDemand> LocalDemand() const;

  /// Demand of all daemons on `pool`.
  PoolDemand TotalDemand(TimePoint now, const std::string& pool);

  /// Teams with waiting requests in `pool`; those in `blocked` may not start.
  std::vector<LocalTeam> LocalTeams(TimePoint now, const std::string& pool,
                                    const std::set<std::string, std::less<>>& blocked) const;

  LocalTeam LocalTeamState(TimePoint now, std::string_view pool, const std::string& team) const;

  /// Free worker slots of `pool` as seen from here.
  FreeCapacity Free(TimePoint now, const std::string& pool);

  /// Counts a request of `queue` that was refused as full or expired.
  void CountLost(std::string_view queue);

  /// Requests of a pool's queues counted as lost here since the start.
  std::uint64_t LostIn(std::string_view pool) const;

  /// Mean of the expected run times of the kinds of requests that wait here; 1 s without any.
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
