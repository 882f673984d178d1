#ifndef CRANBERRYPLANK_POLICY_MOVE_PLANNER_H_
#define CRANBERRYPLANK_POLICY_MOVE_PLANNER_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/pool.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// VM of a pool, as input of a move plan.
struct MovableVm {
  std::string id;
  std::string zone;
  std::string rack;
  int slots = 0;
  int running = 0;          ///< Tasks that a drain has to wait for.
  bool serving = true;      ///< Up, in state serving and not under maintenance.
  std::string target_pool;  ///< Destination while the VM is moving; otherwise empty.
};

/// State of one pool, as input of a move plan.
struct PoolLoad {
  Pool pool;
  int running = 0;
  int waiting = 0;
  std::uint64_t lost = 0;    ///< Counter of refused or expired requests; only increases are used.
  Duration run_time{1'000};  ///< Estimated mean run time of its requests.
  Duration allowed_wait{5'000};  ///< Longest wait with which its requests still meet the deadline.
  std::vector<MovableVm> vms;
};

/// One VM to be moved.
struct PlannedMove {
  std::string vm;
  std::string from;
  std::string to;
  std::string reason;
};

/// Decides which VMs move between pools.
class MovePlanner {
 public:
  virtual ~MovePlanner() = default;

  /// Returns the moves to start now. Called about once a second with the state of all pools; VMs
  /// that are already moving are passed with their target pool.
  virtual std::vector<PlannedMove> Plan(TimePoint now, std::span<const PoolLoad> pools) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_MOVE_PLANNER_H_
