#ifndef CRANBERRYPLANK_SCHEDULER_SRC_PLACEMENT_PASS_H_
#define CRANBERRYPLANK_SCHEDULER_SRC_PLACEMENT_PASS_H_

#include <optional>
#include <vector>

#include "cranberryplank/scheduler/placement.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// A step with waiting tasks and its position in the order.
struct Scheduler::WaitingStep {
  OrderKey key;
  const QueueConfig* queue = nullptr;
  TaskRef step;  ///< The index is not used.
};

/// State of a pool during one placement pass. It keeps a pass cheap when a pool is full and many
/// steps wait.
struct Scheduler::PoolPass {
  std::vector<Worker*> usable;
  std::vector<Worker*> trial_workers;  ///< Kept for suspect tasks; not in `usable`.
  bool suspects_wait = false;
  std::vector<WorkerCandidate> candidates;  ///< Those of `usable`, with the starts of this pass.
  std::optional<Resources> refused;         ///< A task of this size fitted on no worker.

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
