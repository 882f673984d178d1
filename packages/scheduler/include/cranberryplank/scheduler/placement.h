#ifndef CRANBERRYPLANK_SCHEDULER_PLACEMENT_H_
#define CRANBERRYPLANK_SCHEDULER_PLACEMENT_H_

#include <span>
#include <vector>

#include "cranberryplank/jobs/job.h"

namespace cranberryplank {

/// A worker that may take a task, as far as its state, its label and its ticket go.
struct WorkerCandidate {
  std::string_view id;
  std::string_view rack;
  Resources capacity;
  Resources free;
  int runs_of_step = 0;      ///< Tasks of the same step of the same occurrence there.
  int serving_runs = 0;      ///< Runs with a latency target.
  int best_effort_runs = 0;  ///< Runs that use leftover CPU.
  int long_running_runs = 0;
  bool suspect = false;      ///< Recently failed what it started.
  bool failed_task = false;  ///< The task's last run did not end well there.
};

/// Chooses a worker for one task of `step`: one near its data, the fullest that still fits, so that
/// whole VMs fall idle when demand moves on. Long-running tasks share workers, so that the other
/// VMs can be moved when demand changes. It keeps tasks with a latency target and fillers apart,
/// and takes a worker that failed the task or recently failed others only if no other fits.
/// @param rack rack that the step's other tasks use, or empty
/// @return index into `candidates`, or -1 if the task fits nowhere
int ChoosePlacement(std::span<const WorkerCandidate> candidates, const StepSpec& step,
                    std::string_view rack);

/// Share of a worker that is in use, by its scarcer resource.
double UsedShare(const Resources& capacity, const Resources& free);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_PLACEMENT_H_
