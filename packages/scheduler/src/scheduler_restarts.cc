#include <algorithm>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

void Scheduler::BeginIncarnation(TimePoint now, Worker* worker, std::int64_t started_unix_ms) {
  const bool restarted = worker->info.started_unix_ms != 0 && worker->reconciled;
  if (restarted) {
    RecordLostRuns(now, *worker);
    AwaitEarlierDeadlines(now, worker);
  }
  worker->info.started_unix_ms = started_unix_ms;
  worker->restart_suspected_at.reset();
  m_crashes.AddStart(worker->info);
  worker->has_drained = worker->info.draining;
  worker->first_seen = now;
  worker->last_ended_number = worker->acknowledged = 0;
  worker->acknowledged_sent = worker->acknowledged_by_worker = 0;
  worker->pending_acknowledgements.clear();
  worker->more_ended = worker->awaits_earlier_ends = false;
  worker->untracked_stops.clear();
  worker->lease_until_ms = worker->heard_clock_ms = 0;
  worker->failure_streak = 0;
  if (restarted) {
    ++m_counters.restarted_workers;
    LogLine(LogLevel::kInfo, "worker_reborn")
        .Field("worker", worker->info.id)
        .Field("born", started_unix_ms)
        .Field("lost_runs", worker->runs.size());
    // Orders meant for the earlier incarnation, including late renewals that acknowledge its ended
    // runs, must have no effect in this one. The worker is used again once it has received a higher
    // fence.
    ++worker->fence;
    worker->reconciled = false;
    MarkRecentStartsUncertain(worker);
    WaitForConfirmation(now, *worker);
    LoseRuns(now, worker, "the worker restarted");
  }
}

void Scheduler::SuspectRestart(TimePoint now, Worker* worker) {
  if (worker->restart_suspected_at) {
    return;
  }
  LogLine(LogLevel::kInfo, "worker_restart_suspected")
      .Field("worker", worker->info.id)
      .Field("born", worker->info.started_unix_ms)
      .Field("registered_born", worker->registered_start_unix_ms);
  worker->restart_suspected_at = now;
  AwaitEarlierDeadlines(now, worker);
  worker->next_renewal = now;
  SendRenewal(now, worker);  // One that is under way may wait for the earlier incarnation.
}

void Scheduler::AwaitEarlierDeadlines(TimePoint now, Worker* worker) const {
  if (worker->lease_until_ms > 0) {
    worker->lease_bound = std::max(worker->lease_bound, now + LongestEarlierLease());
  }
}

void Scheduler::ForgetEarlierClock(TimePoint now, Worker* worker) {
  if (worker->MayHoldEarlierDeadline() && worker->reconciled &&
      now > worker->reconciled_at + LongestEarlierLease()) {
    worker->clock_start_unix_ms = worker->info.started_unix_ms;
    m_record_changed = true;
  }
}

/// Marks as uncertain every run that is not known to run, or was placed since the last list was
/// requested. The restarted worker has not yet seen a fence, so it may have accepted these starts
/// or may still do so. Only a lease renewal with a higher fence resolves them.
void Scheduler::MarkRecentStartsUncertain(Worker* worker) {
  const auto recent = [&](const PlacedRun& run) {
    return run.phase != RunPhase::kRunning || run.placed_at >= worker->last_list_sent;
  };
  for (auto& [task, run] : worker->runs) {
    if (recent(run)) {
      run.phase = RunPhase::kUncertain;
      run.fence_needed = worker->fence;
      run.began_clock_ms = 0;  // If it is present, it began in the new incarnation.
    }
  }
}

void Scheduler::WaitForConfirmation(TimePoint now, const Worker& worker) {
  WantConfirmation(now);
  for (const auto& [task, run] : worker.runs) {
    if (JobTaskState* state = task.state()) {
      state->lost_at = now;
    }
  }
}

}  // namespace cranberryplank
