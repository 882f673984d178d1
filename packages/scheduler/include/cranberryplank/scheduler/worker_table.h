#ifndef CRANBERRYPLANK_SCHEDULER_WORKER_TABLE_H_
#define CRANBERRYPLANK_SCHEDULER_WORKER_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"
#include "cranberryplank/scheduler/job_table.h"
#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

enum class RunPhase {
  kStarting,   ///< The order was sent and not answered.
  kUncertain,  ///< The order got no answer: only a hold with a higher fence tells.
  kRunning,
};

/// A run that is, or may be, on a worker. It counts against the worker's capacity and the
/// customer's cap until it is known to be gone.
struct PlacedRun {
  JobPointer job;  ///< Keeps the job alive.
  int run = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources footprint;
  std::string customer;
  TimePoint placed_at{};
  TimePoint resolved_at{};         ///< A hold sent later shows whether the run is there.
  std::uint64_t fence_needed = 0;  ///< For an uncertain run: the fence that settles it.
  bool stopping = false;
  std::string stop_reason;
  TimePoint stop_sent{};
  int percent = 0;
  TimePoint progressed_at{};  ///< When `percent` last rose.
  TimePoint listed_at{};      ///< When a list last showed the run.
  std::int64_t usage = 0;
  int speed_percent = 100;  ///< Share ordered.
  TimePoint throttled_at{};
};

/// A sample of a worker's steady clock.
struct ClockSample {
  std::int64_t clock_ms = 0;
  TimePoint at{};  ///< When the reply arrived: the worker's clock was not behind `clock_ms` then.
  bool known = false;
};

struct RenewalInFlight {
  TimePoint sent{};
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;
  bool outdated = false;  ///< A run was found to have ended after the hold was sent.
};

/// An end whose acknowledgement waits until the change it caused is stored.
struct PendingAcknowledgement {
  std::uint64_t number = 0;
  std::uint64_t change = 0;
};

/// Neighbouring runs of a worker.
struct RunRange {
  using Iterator = std::map<TaskRef, PlacedRun>::const_iterator;

  Iterator first;
  Iterator last;

  Iterator begin() const { return first; }
  Iterator end() const { return last; }
};

/// A worker as the owner of the schedule knows it.
struct Worker {
  WorkerInfo info;
  bool registered = false;
  bool recorded = false;    ///< The store names it among the workers that may run tasks.
  bool reconciled = false;  ///< Its list was received under a fence of this owner, in this life.
  std::uint64_t fence = 0;
  ClockSample clock;
  std::int64_t lease_until_ms = 0;  ///< Newest deadline given, on the worker's clock.
  TimePoint lease_bound{};          ///< All that runs there has ended by then, heard or not.
  std::map<std::uint64_t, RenewalInFlight> renewals;
  TimePoint next_renewal{};
  TimePoint last_list_sent{};  ///< Sending time of the newest hold whose list was applied.
  TimePoint last_removed{};    ///< When a run was last found to have ended.
  int failed_renewals = 0;
  bool has_untracked_runs = false;  ///< The newest list named runs that are not counted in `used`.
  std::uint64_t last_ended_number = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t acknowledged_sent = 0;
  std::uint64_t acknowledged_by_worker = 0;  ///< Received by the worker, as an answer told.
  std::deque<PendingAcknowledgement> pending_acknowledgements;
  Resources used;
  std::map<TaskRef, PlacedRun> runs;
  std::map<std::string, TimePoint, std::less<>>
      untracked_stops;     ///< Stops of runs that are not ours.
  int failure_streak = 0;  ///< Failed or refused starts since the last task that ended well.
  TimePoint avoid_until{};
  int serving_runs = 0;      ///< Runs with a latency target.
  int best_effort_runs = 0;  ///< Runs that use leftover CPU.
  int long_running_runs = 0;
  int stopping_runs = 0;  ///< Runs that have been told to stop.

  Resources free() const { return info.capacity - used; }
  /// Tells whether the worker has nothing to report.
  bool idle() const { return runs.empty() && pending_acknowledgements.empty(); }
  /// Runs of the step that `step` names; its index is not used.
  RunRange RunsOfStep(const TaskRef& step) const;
};

/// Pause between two holds of a worker on which nothing runs, for the load of thousands of workers:
/// each answer costs the owner processor time, and an idle worker has little to tell. A start finds
/// out at once when the worker has gone.
/// @param wait how long a hold waits at the worker
Duration IdleRenewalPause(std::size_t workers, Duration wait);

/// Estimates the worker's clock at `now`. The estimate is never ahead of the true value by more
/// than the clock's drift since the sample.
std::int64_t EstimateClockMs(const ClockSample& sample, TimePoint now);

/// Longest time, on this daemon's clock, that `worker_time` on a slow worker's clock takes.
Duration LongestTimeOf(Duration worker_time);

/// Returns a time at which the worker's clock has certainly reached `worker_ms`, allowing for a
/// slow clock.
TimePoint LatestTimeOf(const ClockSample& sample, std::int64_t worker_ms);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_WORKER_TABLE_H_
