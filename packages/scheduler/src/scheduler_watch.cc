#include <algorithm>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/run_watch.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

namespace {

constexpr Duration kWatchInterval{100};
/// A change of pace shows in the tail after this time.
constexpr Duration kPaceInterval{700};
/// A worker whose tasks stand still or crawl is avoided for this long.
constexpr Duration kAvoidCrawling{3'000};

Duration Since(TimePoint now, TimePoint then) {
  return std::chrono::duration_cast<Duration>(now - then);
}

/// Highest tail latency of the serving tasks on a worker, as a part of its target.
double WorstTailPart(const Worker& worker) {
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
    if (worker.failed_holds > 0 || !worker.heard) {
      continue;
    }
    RescueCrawlingRuns(now, &worker);
    if (worker.filler_runs > 0) {
      PaceFillers(now, &worker);
    }
  }
}

void Scheduler::RescueCrawlingRuns(TimePoint now, Worker* worker) {
  for (auto& [task, run] : worker->runs) {
    const StepSpec& spec = task.spec();
    const bool watched = run.phase == RunPhase::kRunning && !run.stopping && !spec.long_running &&
                         !spec.gang && !spec.uses_leftover_cpu;
    if (!watched) {
      continue;
    }
    RunProgress progress;
    // The percentage is that of the newest list.
    progress.elapsed = Since(run.listed_at, run.placed_at);
    progress.since_progress = Since(run.listed_at, run.progressed_at);
    progress.percent = run.percent;
    progress.estimate = Duration(spec.estimate_ms);
    if (!IsCrawling(progress)) {
      continue;
    }
    worker->avoid_until = std::max(worker->avoid_until, now + kAvoidCrawling);
    if (TaskState* state = task.state()) {
      state->failed_worker = worker->info.id;
    }
    StopRun(now, worker, task, &run, "the run stands still or crawls");
  }
}

void Scheduler::PaceFillers(TimePoint now, Worker* worker) {
  if (!MayAct(now)) {
    return;
  }
  const double worst = worker->serving_runs > 0 ? WorstTailPart(*worker) : 0;
  for (auto& [task, run] : worker->runs) {
    const bool due = task.spec().uses_leftover_cpu && run.phase == RunPhase::kRunning &&
                     !run.stopping && now - run.paced_at >= kPaceInterval;
    if (!due) {
      continue;
    }
    const int pace = NextFillerPace(worst, run.pace);
    if (pace == run.pace) {
      continue;
    }
    LogLine(LogLevel::kInfo, "pace")
        .Field("task", task.Id().Name())
        .Field("worker", worker->info.id)
        .Field("tail_part", worst)
        .Field("from", run.pace)
        .Field("to", pace);
    run.pace = pace;
    run.paced_at = now;
    m_link->Pace(worker->info, {task.Id(), run.run, pace, worker->fence});
  }
}

}  // namespace cranberryplank
