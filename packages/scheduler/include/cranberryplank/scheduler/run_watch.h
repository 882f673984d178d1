#ifndef CRANBERRYPLANK_SCHEDULER_RUN_WATCH_H_
#define CRANBERRYPLANK_SCHEDULER_RUN_WATCH_H_

#include <cstdint>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Progress of a short task.
struct RunProgress {
  Duration elapsed{0};         ///< Time since the start.
  Duration since_progress{0};  ///< Time since the percentage last rose.
  int percent = 0;
  Duration estimate{0};  ///< The submitter's estimate of its duration.
};

/// Returns whether to stop a run and start it on another worker, because it stalls or is so slow
/// that a new run ends sooner. This covers workers that pass the health check while their tasks
/// hang or are very slow.
bool IsStraggler(const RunProgress& progress);

/// Chooses the speed limit of a best-effort run that shares a worker with tasks that serve users.
/// @param worst_tail_ratio highest tail latency of the serving tasks on the worker, as a ratio of
///   its target; 0 if unknown
/// @param speed_percent present speed limit, in percent
/// @return new speed limit, in percent
int NextBestEffortSpeed(double worst_tail_ratio, int speed_percent);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_RUN_WATCH_H_
