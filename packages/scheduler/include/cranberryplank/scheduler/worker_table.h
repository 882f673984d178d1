#ifndef CRANBERRYPLANK_SCHEDULER_WORKER_TABLE_H_
#define CRANBERRYPLANK_SCHEDULER_WORKER_TABLE_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"
#include "cranberryplank/scheduler/job_table.h"
#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

enum class RunPhase {
  kStarting,   ///< The order was sent; no reply has arrived yet.
  kUncertain,  ///< The order got no reply; only a lease renewal with a higher fence shows the
               ///< outcome.
  kRunning,
};

/// A run that is, or may be, on a worker. It counts against the worker's capacity and the
/// customer's cap until it is known to have ended.
struct PlacedRun {
  JobPointer job;  ///< Keeps the job alive.
  int run = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources footprint;
  std::string customer;
  TimePoint placed_at{};
  /// The worker's clock in its reply to the start, or in the first reply that lists the run; 0 if
  /// there is none yet.
  std::int64_t began_clock_ms = 0;
  TimePoint resolved_at{};         ///< A renewal sent later shows whether the run exists.
  std::uint64_t fence_needed = 0;  ///< For an uncertain run, the fence that resolves it.
  /// For a start without a reply: the run has ended by then if the start reached a new incarnation
  /// of the worker, with a deadline by the clock of the earlier one.
  TimePoint ended_by{};
  bool stopping = false;
  std::string stop_reason;
  TimePoint stop_sent{};
  int percent = 0;
  TimePoint progressed_at{};  ///< When `percent` last rose.
  TimePoint listed_at{};      ///< When a list last showed the run.
  std::int64_t usage = 0;
  int speed_percent = 100;  ///< Share of full speed that was ordered.
  TimePoint throttled_at{};
};

/// A sample of a worker's steady clock.
struct ClockSample {
  std::int64_t clock_ms = 0;
  TimePoint at{};  ///< When the reply arrived: the worker's clock showed at least `clock_ms` then.
  bool known = false;
};

struct RenewalInFlight {
  TimePoint sent{};
  std::uint64_t fence = 0;
  std::uint64_t acknowledged = 0;
  bool outdated = false;  ///< A run was found to have ended after the renewal was sent.
};

/// An ended run whose acknowledgement waits until the change that it caused is stored.
struct PendingAcknowledgement {
  std::uint64_t number = 0;
  JobPointer job;            ///< Null if the run's job is not known.
  std::uint64_t change = 0;  ///< Of the job; 0 if nothing is to be stored.

  bool Stored() const { return job == nullptr || change == 0 || job->HasStored(change); }
};

/// Adjacent runs in a worker's map of runs.
struct RunRange {
  using Iterator = std::map<TaskRef, PlacedRun>::const_iterator;

  Iterator first;
  Iterator last;

  Iterator begin() const { return first; }
  Iterator end() const { return last; }
};

/// State of a worker as known to the owner of the schedule.
struct Worker {
  WorkerInfo info;
  bool registered = false;
  bool recorded = false;  ///< The store lists it among the workers that may run tasks.
  /// Its list was applied under a fence of this owner, in this incarnation.
  bool reconciled = false;
  TimePoint reconciled_at{};
  std::uint64_t fence = 0;
  std::uint64_t answered_fence = 0;  ///< Highest fence of a lease renewal that was answered.
  ClockSample clock;
  std::int64_t lease_until_ms = 0;  ///< Newest deadline granted, on the worker's clock.
  TimePoint lease_bound{};          ///< All runs there have ended by then, even without a reply.
  std::map<std::uint64_t, RenewalInFlight> renewals;
  TimePoint next_renewal{};
  TimePoint last_list_sent{};       ///< Sending time of the newest renewal whose list was applied.
  TimePoint last_removed{};         ///< When a run was last found to have ended.
  TimePoint first_seen{};           ///< When this incarnation became known.
  std::int64_t heard_clock_ms = 0;  ///< Newest clock in a list of this incarnation; 0 if none.
  bool kept_for_trials = false;     ///< Kept for suspect tasks in the last pass that had some.
  bool has_drained = false;         ///< This incarnation announced its end.
  std::optional<TaskRef> trial;     ///< Suspect task whose run began there a short while ago.
  /// When a registration or a reply first showed another incarnation than the newest list. Until a
  /// list confirms one, nothing that belongs to an incarnation is used: no start, no deadline, no
  /// acknowledgement.
  std::optional<TimePoint> restart_suspected_at;
  std::int64_t registered_start_unix_ms = 0;  ///< Start of the incarnation that is registered.
  /// Start of the incarnation whose clock all deadlines are on that may be in force there.
  std::int64_t clock_start_unix_ms = 0;
  int failed_renewals = 0;
  /// The newest list contained runs that are not counted in `used`.
  bool has_untracked_runs = false;
  bool more_ended = false;  ///< The newest list may have left out ended runs.
  /// The list by which the worker was reconciled may have left out ended runs, and they have not
  /// been listed since. Tasks of earlier owners may be among them.
  bool awaits_earlier_ends = false;
  std::uint64_t last_ended_number = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t acknowledged_sent = 0;
  std::uint64_t acknowledged_by_worker = 0;  ///< Received by the worker, according to a reply.
  std::deque<PendingAcknowledgement> pending_acknowledgements;
  Resources used;
  std::map<TaskRef, PlacedRun> runs;
  /// Last stop sent for each run that this owner does not track.
  std::map<std::string, TimePoint, std::less<>> untracked_stops;
  int failure_streak = 0;  ///< Failed or refused starts since the last task that succeeded.
  TimePoint avoid_until{};
  int serving_runs = 0;      ///< Runs with a latency target.
  int best_effort_runs = 0;  ///< Runs that use leftover CPU.
  int long_running_runs = 0;
  int stopping_runs = 0;  ///< Runs that have been ordered to stop.

  Resources free() const { return info.capacity - used; }
  /// Returns whether the worker has no runs and no ended runs to list or to acknowledge.
  bool idle() const { return runs.empty() && pending_acknowledgements.empty() && !more_ended; }
  /// Returns when an idle worker last had a run, or when it became known.
  TimePoint last_used() const { return std::max(last_removed, first_seen); }
  /// Returns whether the worker has listed its runs under a fence of this owner, in this
  /// incarnation, and the store has confirmed the ownership since. Without that, a worker that
  /// restarted after it had heard of a successor would accept orders of an owner that was replaced.
  /// @param confirmed sending time of the newest call that confirmed the ownership
  bool IsConfirmed(TimePoint confirmed) const { return reconciled && confirmed > reconciled_at; }
  /// Returns whether the worker's VM may be shut down: the worker has no runs, and the store has
  /// all ended runs that it listed. A worker that has not listed its runs to this owner may have
  /// some until its leases have expired.
  /// @param confirmed as for `IsConfirmed`
  bool MayBeTakenDown(TimePoint confirmed) const {
    return idle() && (reconciled || confirmed > lease_bound);
  }
  /// Returns whether a deadline by the clock of an earlier incarnation may be in force. It lies far
  /// ahead on the present clock, so the worker shortens it to the longest lease that it grants.
  bool MayHoldEarlierDeadline() const { return clock_start_unix_ms != info.started_unix_ms; }
  /// Returns the runs of the step of `step`; its index is not used.
  RunRange RunsOfStep(const TaskRef& step) const;
};

/// Returns the pause between two lease renewals of an idle worker. It bounds the owner's processor
/// time with thousands of workers, because each reply costs time and an idle worker has little to
/// report. If the worker is missing, the next start fails at once.
/// @param renewal_wait how long the worker may delay its reply to a renewal
Duration IdleRenewalPause(std::size_t workers, Duration renewal_wait);

/// Estimates the worker's clock at `now`. The estimate is never ahead of the true value by more
/// than the clock's drift since the sample.
std::int64_t EstimateClockMs(const ClockSample& sample, TimePoint now);

/// Returns an upper bound on the local duration in which the worker's clock advances by
/// `worker_time`, allowing for a slow worker clock.
Duration MaxLocalDuration(Duration worker_time);

/// Returns an upper bound on the local time at which the worker's clock shows `worker_ms`, allowing
/// for a slow worker clock.
TimePoint LatestLocalTime(const ClockSample& sample, std::int64_t worker_ms);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_WORKER_TABLE_H_
