#ifndef CRANBERRYPLANK_SCHEDULER_PLACEMENT_H_
#define CRANBERRYPLANK_SCHEDULER_PLACEMENT_H_

#include <span>
#include <vector>

#include "cranberryplank/jobs/job.h"

namespace cranberryplank {

/// A worker that may run a task according to its state, its labels and its ticket.
struct WorkerCandidate {
  std::string_view id;
  std::string_view rack;
  Resources capacity;
  Resources free;
  int runs_of_step = 0;      ///< Tasks of the same step and occurrence on the worker.
  int serving_runs = 0;      ///< Runs with a latency target.
  int best_effort_runs = 0;  ///< Runs that use leftover CPU.
  int long_running_runs = 0;
  bool suspect = false;      ///< Recently failed tasks that it started.
  bool failed_task = false;  ///< The task's last run failed there.
};

/// Chooses a worker for one task of `step`, preferably near its data. Prefers the fullest worker on
/// which the task fits, so that whole VMs become idle when demand shifts to other pools.
/// Long-running tasks share workers, so that the other VMs can be moved when demand changes. Tasks
/// with a latency target and best-effort tasks are kept apart. A worker that failed the task or
/// recently failed others is used only if no other fits.
/// @param rack rack that the step's other tasks use; empty if there is none
/// @return index into `candidates`, or -1 if the task fits on no worker
int ChoosePlacement(std::span<const WorkerCandidate> candidates, const StepSpec& step,
                    std::string_view rack);

/// Returns the used share of a worker's scarcest resource.
double UsedShare(const Resources& capacity, const Resources& free);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_PLACEMENT_H_
