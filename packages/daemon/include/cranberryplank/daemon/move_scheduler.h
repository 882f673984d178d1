#ifndef CRANBERRYPLANK_DAEMON_MOVE_SCHEDULER_H_
#define CRANBERRYPLANK_DAEMON_MOVE_SCHEDULER_H_

#include <optional>
#include <string>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/vm_mover.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/daemon/vm_list_tracker.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/policy/move_planner.h"

namespace cranberryplank {

/// Dependencies of a move scheduler. All must outlive it.
struct MoveParts {
  const HeadControl* head = nullptr;
  VmMover* mover = nullptr;
  RequestRouter* router = nullptr;
  const VmListTracker* vm_list = nullptr;
  MovePlanner* planner = nullptr;
};

/// Starts the VM moves that the planner considers worth their cost. Only one daemon plans, chosen
/// by a hash over the registered daemons. If two daemons plan at once, the second move of a VM is
/// refused.
class MoveScheduler {
 public:
  explicit MoveScheduler(const MoveParts& parts) : m_parts(parts) {}

  void Tick(TimePoint now);

 private:
  std::vector<PoolLoad> Loads(TimePoint now) const;
  PoolLoad LoadOf(TimePoint now, const Pool& pool) const;
  void Start(TimePoint now, const PlannedMove& move);

  MoveParts m_parts;
  std::optional<TimePoint> m_next_plan;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_MOVE_SCHEDULER_H_
