#ifndef CRANBERRYPLANK_SCHEDULER_SRC_PLACEMENT_PASS_H_
#define CRANBERRYPLANK_SCHEDULER_SRC_PLACEMENT_PASS_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/scheduler/locality_wait.h"
#include "cranberryplank/scheduler/placement.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// A step with waiting tasks and its position in the order.
struct Scheduler::WaitingStep {
  OrderKey key;
  const QueueConfig* queue = nullptr;
  TaskRef step;            ///< The index is not used.
  TimePoint latest_start;  ///< To meet the objective; only if it may wait for a rack.
};

/// Workers on which the tasks of a step may be placed.
struct Scheduler::StepPlaces {
  std::span<Worker* const> workers;
  std::span<WorkerCandidate> candidates;  ///< Those of `workers`, in the same order.
  std::string_view rack;                  ///< Preferred; empty if there is none.
};

/// Workers of one rack on which tasks that wait for the rack may run.
struct Scheduler::RackPass {
  std::vector<const Worker*> workers;
  RackRoom room;
};

/// State of a pool during one placement pass. It keeps a pass cheap when a pool is full and many
/// steps wait.
struct Scheduler::PoolPass {
  std::vector<Worker*> usable;
  std::vector<Worker*> trial_workers;  ///< Kept for suspect tasks; not in `usable`.
  bool suspects_wait = false;
  std::vector<WorkerCandidate> candidates;  ///< Those of `usable`, with the starts of this pass.
  std::optional<Resources> refused;         ///< A task of this size fitted on no worker.
  std::map<std::pair<std::string, std::string>, RackPass> racks;  ///< By rack and label.

  bool IsFullFor(const StepSpec& step) const {
    return usable.empty() || (refused && refused->FitsIn(step.Footprint()));
  }

  /// Records that a task fitted on no worker, if only its size was the reason.
  void RecordRefused(const StepSpec& step, const QueueConfig& queue) {
    if (step.max_per_vm == 0 && step.required_label.empty() && !queue.advice) {
      refused = step.Footprint();
    }
  }
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_SRC_PLACEMENT_PASS_H_
