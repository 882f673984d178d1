#ifndef CRANBERRYPLANK_SCHEDULER_LOCALITY_WAIT_H_
#define CRANBERRYPLANK_SCHEDULER_LOCALITY_WAIT_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "cranberryplank/jobs/job.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Expected end of a run that occupies a worker.
struct ExpectedEnd {
  TimePoint at{};
  std::size_t worker = 0;  ///< Index of the worker in the rack.
  Resources freed;
};

/// Expected room on the workers of one rack, for tasks of a rack that is fully occupied while
/// others have room.
class RackRoom {
 public:
  RackRoom() = default;
  /// @param free free resources of each worker
  /// @param ends expected ends of runs there, in any order
  RackRoom(std::vector<Resources> free, std::vector<ExpectedEnd> ends);

  /// Sets the present free resources of a worker.
  void SetFree(std::size_t worker, const Resources& free) { m_free[worker] = free; }

  /// Returns when `count` tasks are expected to fit at the same time.
  /// @param footprint resources that one task uses
  /// @param limit ends after that are not considered
  /// @return `now` if they fit already; nothing if they do not fit by `limit`
  std::optional<TimePoint> FitTime(TimePoint now, const Resources& footprint, int count,
                                   TimePoint limit) const;

  /// Counts `count` tasks that wait for room at `at`, so that later queries expect their room
  /// later. No resources are reserved.
  void Claim(TimePoint at, const Resources& footprint, int count);

 private:
  std::vector<Resources> m_free;
  std::vector<ExpectedEnd> m_ends;  ///< By time. A claim is an entry with negative resources.
};

/// Task, or gang of tasks, that may wait for room in the rack of its data.
struct LocalityInput {
  Resources footprint;
  int count = 1;  ///< Tasks that must start together.
  Duration estimate{0};
  double far_factor = 1;   ///< Duration on another rack, relative to the local duration.
  TimePoint since{};       ///< Time since which it could have started elsewhere.
  TimePoint latest_start;  ///< Latest start elsewhere that still meets the objective.
};

/// Returns when a run is expected to end. A run that exceeds its estimate is expected to need as
/// long again as it has already exceeded it, so one that hangs soon counts as far from its end.
/// @param duration estimated duration of the run on its worker
TimePoint ExpectedEndOf(TimePoint now, TimePoint begun, Duration duration);

/// Decides whether a task waits for a worker in the rack of its data when the pool is so loaded
/// that this rack is full and others have room. A start elsewhere costs (far factor - 1) times the
/// estimate. The task waits only if room in the rack is expected before that time has passed since
/// it could have started, and before the latest start that meets its objective. Estimates that turn
/// out to be wrong therefore delay it by at most (far factor - 1) times its own estimate.
/// @return when to decide again if the task waits; nothing if it is placed now, on any worker
std::optional<TimePoint> WaitForRack(TimePoint now, const LocalityInput& input,
                                     const RackRoom& room);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_LOCALITY_WAIT_H_
