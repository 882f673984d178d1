#include <algorithm>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/run_watch.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

namespace {

constexpr Duration kWatchInterval{100};
/// Minimum time between speed changes of a run, so that the latency reflects the previous one.
constexpr Duration kThrottleInterval{700};
/// Time for which task placement treats a worker that had a straggler as suspect.
constexpr Duration kAvoidStraggler{3'000};

Duration Since(TimePoint now, TimePoint then) {
  return std::chrono::duration_cast<Duration>(now - then);
}

/// Returns the highest ratio of tail latency to latency target among the worker's running tasks
/// that have a target.
double WorstTailRatio(const Worker& worker) {
  double worst = 0;
  for (const auto& [task, run] : worker.runs) {
    const std::int64_t target = task.spec().latency_target_ms;
    if (target > 0 && run.phase == RunPhase::kRunning) {
      worst = std::max(worst, static_cast<double>(run.usage) / static_cast<double>(target));
    }
  }
  return worst;
}

}  // namespace

void Scheduler::WatchRuns(TimePoint now) {
  if (now - m_last_watch < kWatchInterval) {
    return;
  }
  m_last_watch = now;
  for (auto& [id, worker] : m_workers) {
    if (worker.failed_renewals > 0 || !worker.reconciled) {
      continue;
    }
    StopStragglers(now, &worker);
    if (worker.best_effort_runs > 0) {
      ThrottleBestEffortRuns(now, &worker);
    }
  }
}

void Scheduler::StopStragglers(TimePoint now, Worker* worker) {
  for (auto& [task, run] : worker->runs) {
    const StepSpec& spec = task.spec();
    const bool watched = run.phase == RunPhase::kRunning && !run.stopping && !spec.long_running &&
                         !spec.gang && !spec.uses_leftover_cpu;
    if (!watched) {
      continue;
    }
    RunProgress progress;
    // The percentage is from the worker's last report, so the times are measured up to that report.
    progress.elapsed = Since(run.listed_at, run.placed_at);
    progress.since_progress = Since(run.listed_at, run.progressed_at);
    progress.percent = run.percent;
    progress.estimate = Duration(spec.estimate_ms);
    if (!IsStraggler(progress)) {
      continue;
    }
    worker->avoid_until = std::max(worker->avoid_until, now + kAvoidStraggler);
    if (JobTaskState* state = task.state()) {
      state->failed_worker = worker->info.id;
    }
    StopRun(now, worker, task, &run, "the run stalls or is too slow");
  }
}

void Scheduler::ThrottleBestEffortRuns(TimePoint now, Worker* worker) {
  if (!MayAct(now)) {
    return;
  }
  const double worst = worker->serving_runs > 0 ? WorstTailRatio(*worker) : 0;
  for (auto& [task, run] : worker->runs) {
    const bool due = task.spec().uses_leftover_cpu && run.phase == RunPhase::kRunning &&
                     !run.stopping && now - run.throttled_at >= kThrottleInterval;
    if (!due) {
      continue;
    }
    const int speed_percent = NextBestEffortSpeed(worst, run.speed_percent);
    if (speed_percent == run.speed_percent) {
      continue;
    }
    // `tail_part` is the worst ratio of tail latency to latency target on the worker.
    LogLine(LogLevel::kInfo, "pace")
        .Field("task", task.Id().Name())
        .Field("worker", worker->info.id)
        .Field("tail_part", worst)
        .Field("from", run.speed_percent)
        .Field("to", speed_percent);
    run.speed_percent = speed_percent;
    run.throttled_at = now;
    m_link->Throttle(worker->info,
                     {task.Id(), run.run, speed_percent, worker->fence, m_authority.until});
  }
}

}  // namespace cranberryplank
