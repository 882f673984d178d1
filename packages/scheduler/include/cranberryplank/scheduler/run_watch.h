#ifndef CRANBERRYPLANK_SCHEDULER_RUN_WATCH_H_
#define CRANBERRYPLANK_SCHEDULER_RUN_WATCH_H_

#include <cstdint>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// How far a short task has come.
struct RunProgress {
  Duration elapsed{0};         ///< Since it was started.
  Duration since_progress{0};  ///< Since its percentage last rose.
  int percent = 0;
  Duration estimate{0};  ///< The submitter's estimate of its duration.
};

/// Tells whether to stop a run and start it on another worker: its worker stands still or is so
/// slow that a new start ends sooner. Answers workers whose health check is good while their tasks
/// hang or crawl.
bool IsStraggler(const RunProgress& progress);

/// Chooses the share at which a filler may work beside tasks that serve users.
/// @param worst_tail_ratio highest tail latency of the serving tasks beside it, as a part of its
///   target; 0 if none is known
/// @param pace the present share, in percent
/// @return the new share, in percent
int NextBestEffortSpeed(double worst_tail_ratio, int speed_percent);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_RUN_WATCH_H_
