#include <algorithm>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

namespace {

constexpr Duration kStopRetry{400};
constexpr Duration kRetryAfterRefusal{100};
constexpr Duration kRetryAfterFailure{20};
/// Time for which a worker is avoided after consecutive failures. It doubles with each failure up
/// to the second value.
constexpr Duration kAvoidFirst{300};
constexpr Duration kAvoidMax{8'000};
constexpr int kStreakBeforeAvoiding = 2;
/// A worker's clock that is further behind its estimate than this began anew.
constexpr Duration kClockLag{500};

Duration AvoidTime(int streak) {
  const int doublings = std::clamp(streak - kStreakBeforeAvoiding, 0, 5);
  return std::min(kAvoidFirst * (1 << doublings), kAvoidMax);
}

}  // namespace

PlacedRun* Scheduler::AddRun(TimePoint now, Worker* worker, const TaskRef& task, int run) {
  PlacedRun& placed = worker->runs[task];
  placed.job = m_jobs.jobs().at(task.job->spec.id);
  placed.run = run;
  placed.footprint = task.spec().Footprint();
  placed.customer = task.job->spec.customer;
  placed.placed_at = placed.resolved_at = placed.progressed_at = now;
  worker->used += placed.footprint;
  worker->serving_runs += task.spec().latency_target_ms > 0 ? 1 : 0;
  worker->best_effort_runs += task.spec().uses_leftover_cpu ? 1 : 0;
  worker->long_running_runs += task.spec().long_running ? 1 : 0;
  m_usage[placed.customer] += task.spec().per_task;
  ++task.job->placed_runs;
  if (JobTaskState* state = task.state(); state != nullptr && !state->done) {
    if (++state->placed == 1) {
      ++task.step_state()->placed;
    }
  }
  return &placed;
}

void Scheduler::RemoveRun(TimePoint now, Worker* worker, const TaskRef& task) {
  const auto it = worker->runs.find(task);
  if (it == worker->runs.end()) {
    return;
  }
  const JobPointer keep = it->second.job;
  worker->used -= it->second.footprint;
  worker->serving_runs -= task.spec().latency_target_ms > 0 ? 1 : 0;
  worker->best_effort_runs -= task.spec().uses_leftover_cpu ? 1 : 0;
  worker->long_running_runs -= task.spec().long_running ? 1 : 0;
  m_usage[it->second.customer] -= task.spec().per_task;
  worker->stopping_runs -= it->second.stopping ? 1 : 0;
  --task.job->placed_runs;
  worker->runs.erase(it);
  worker->last_removed = now;
  if (worker->trial == task) {
    worker->trial.reset();
  }
  if (JobTaskState* state = task.state(); state != nullptr && !state->done) {
    state->ready = false;
    if (--state->placed == 0) {
      --task.step_state()->placed;
    }
  }
  m_schedule_needed = true;
}

void Scheduler::TaskDone(TimePoint now, const TaskRef& task) {
  ++m_counters.tasks_done;
  const int members = task.spec().gang ? task.spec().count : 1;
  for (int i = 0; i < members; ++i) {
    TaskRef member = task;
    member.index = task.spec().gang ? i : task.index;
    StopOtherRuns(now, member);
    m_jobs.MarkDone(now, member, m_unix_ms);
  }
  if (task.job->state == JobState::kDone) {
    ++m_counters.jobs_done;
    LogLine(LogLevel::kInfo, "job_done")
        .Field("job", task.job->spec.id)
        .Field("queue", task.job->spec.queue)
        .Field("ms", std::chrono::duration_cast<Duration>(now - task.job->accepted).count());
    m_advice.ForgetJob(task.job->spec.id);
  }
}

void Scheduler::StopOtherRuns(TimePoint now, const TaskRef& task) {
  const JobTaskState* state = task.state();
  if (state == nullptr || state->placed == 0) {
    return;
  }
  for (auto& [id, worker] : m_workers) {
    if (const auto it = worker.runs.find(task); it != worker.runs.end()) {
      StopRun(now, &worker, task, &it->second, "another run of the task is done");
    }
  }
}

void Scheduler::TaskFailed(TimePoint now, Worker* worker, const TaskRef& task, int run) {
  ++m_counters.tasks_failed;
  ++worker->failure_streak;
  if (worker->failure_streak >= kStreakBeforeAvoiding) {
    worker->avoid_until = now + AvoidTime(worker->failure_streak);
  }
  JobTaskState* state = task.state();
  state->failed_worker = worker->info.id;
  state->retry_at = now + kRetryAfterFailure;
  if (task.spec().long_running) {
    return;
  }
  const int members = task.spec().gang ? task.spec().count : 1;
  for (int i = 0; i < members; ++i) {
    TaskRef member = task;
    member.index = task.spec().gang ? i : task.index;
    member.state()->failed_runs.insert(run);
  }
  m_jobs.MarkChanged(now, task.job);
  const int attempts = QueueOfJob(*task.job).max_attempts;
  if (static_cast<int>(state->failed_runs.size()) >= attempts) {
    ++m_counters.jobs_failed;
    LogLine(LogLevel::kInfo, "job_failed")
        .Field("job", task.job->spec.id)
        .Field("task", task.Id().Name())
        .Field("attempts", attempts);
    EndJob(now, task.job, JobState::kFailed);
  }
}

void Scheduler::EndJob(TimePoint now, Job* job, JobState state) {
  StopRunsOf(now, job, ToString(state));
  m_jobs.SetState(now, job, state, m_unix_ms);
  m_advice.ForgetJob(job->spec.id);
}

void Scheduler::StopRunsOf(TimePoint now, Job* job, std::string_view reason) {
  if (job->placed_runs == 0) {
    return;
  }
  for (auto& [id, worker] : m_workers) {
    for (auto& [task, run] : worker.runs) {
      if (task.job == job) {
        StopRun(now, &worker, task, &run, reason);
      }
    }
  }
}

void Scheduler::StopRun(TimePoint now, Worker* worker, const TaskRef& task, PlacedRun* run,
                        std::string_view reason) {
  if (!run->stopping) {
    run->stopping = true;
    ++worker->stopping_runs;
    run->stop_reason = reason;
    LogLine(LogLevel::kInfo, "stop")
        .Field("task", task.Id().Name())
        .Field("run", run->run)
        .Field("worker", worker->info.id)
        .Field("reason", reason);
  }
  if (now - run->stop_sent < kStopRetry || !MayAct(now)) {
    return;
  }
  run->stop_sent = now;
  ++m_counters.stops;
  m_link->Stop(worker->info, {task.Id(), run->run, worker->fence, m_authority.until});
}

void Scheduler::SendStops(TimePoint now) {
  for (auto& [id, worker] : m_workers) {
    if (worker.failed_renewals > 0 || worker.stopping_runs == 0) {
      continue;
    }
    for (auto& [task, run] : worker.runs) {
      if (run.stopping) {
        StopRun(now, &worker, task, &run, run.stop_reason);
      }
    }
  }
}

bool Scheduler::StartTask(TimePoint now, Worker* worker, const TaskRef& task, int run,
                          std::string_view ticket) {
  if (!MayStart(now)) {
    return false;
  }
  JobTaskState* state = task.state();
  state->last_run = std::max(state->last_run, run);
  const bool was_idle = worker->idle();
  PlacedRun* placed = AddRun(now, worker, task, run);
  StartOrder order;
  order.task = task.Id();
  order.run = run;
  order.payload = task.job->spec.payload;
  order.lease_until_ms = GrantLease(now, worker);
  order.fence = worker->fence;
  order.saved = task.spec().saves_progress ? state->saved : std::string();
  order.ticket = ticket;
  order.not_after = StartsUntil();
  ++m_counters.starts;
  placed->phase = RunPhase::kStarting;
  m_link->Start(worker->info, order);
  if (was_idle && worker->renewals.empty()) {
    SendRenewal(now, worker);  // Ends the pause of an idle worker.
  }
  return true;
}

void Scheduler::OnStart(TimePoint now, const std::string& id, const StartOrder& order,
                        const OrderReply& reply) {
  Worker* worker = FindWorker(id);
  const TaskRef task = m_jobs.Resolve(order.task.Name());
  if (worker == nullptr || task.job == nullptr || !m_active) {
    return;
  }
  const std::int64_t least_clock_ms =
      order.lease_until_ms - std::min(m_settings.lease, m_settings.max_lease).count();
  if (reply.clock_ms > 0 && reply.clock_ms + kClockLag.count() < least_clock_ms) {
    SuspectRestart(now, worker);
  }
  const auto it = worker->runs.find(task);
  if (it == worker->runs.end() || it->second.run != order.run ||
      it->second.phase == RunPhase::kRunning) {
    return;
  }
  PlacedRun& run = it->second;
  if (reply.outcome == CallOutcome::kOk) {
    run.phase = RunPhase::kRunning;
    run.job->started = true;
    run.began_clock_ms = reply.clock_ms;
    run.resolved_at = run.progressed_at = now;
    return;
  }
  ++m_counters.start_failures;
  LogLine(LogLevel::kInfo, "start_failed")
      .Field("task", order.task.Name())
      .Field("run", order.run)
      .Field("worker", id)
      .Field("outcome", ToString(reply.outcome));
  if (reply.outcome == CallOutcome::kUnknown) {
    // The order may still be executed; a higher fence resolves it.
    ++m_counters.uncertain_starts;
    ++worker->fence;
    run.phase = RunPhase::kUncertain;
    run.fence_needed = worker->fence;
    run.ended_by = now + LongestEarlierLease();
    RecordSuspects(now, *worker);
    SendRenewal(now, worker);
    return;
  }
  ResolveFailedStart(now, worker, task, order, reply.outcome);
}

void Scheduler::ResolveFailedStart(TimePoint now, Worker* worker, const TaskRef& task,
                                   const StartOrder& order, CallOutcome outcome) {
  DropSuspects(now, m_crashes.TakeRun(task, order.run));
  RemoveRun(now, worker, task);
  JobTaskState* state = task.state();
  Duration retry = kRetryAfterRefusal;
  switch (outcome) {
    case CallOutcome::kFenced:
      OnFenceRefused(*worker, order.fence);
      retry = Duration(0);
      break;
    case CallOutcome::kStaleRun:
      // The worker may have a run of the task that this owner does not track; the list shows it.
      worker->next_renewal = now;
      break;
    case CallOutcome::kBadTicket:
      m_advice.Reject(order.task.StepName(), worker->info.id);
      retry = Duration(0);
      break;
    case CallOutcome::kNoRoom:
    case CallOutcome::kLate:
      worker->next_renewal = now;
      worker->avoid_until = std::max(worker->avoid_until, now + kRetryAfterRefusal);
      break;
    default:
      ++worker->failure_streak;
      worker->avoid_until = now + AvoidTime(worker->failure_streak);
      break;
  }
  if (state != nullptr) {
    state->retry_at = now + retry;
  }
}

void Scheduler::OnStop(TimePoint now, const std::string& id, const StopOrder& order,
                       const OrderReply& reply) {
  Worker* worker = FindWorker(id);
  if (worker == nullptr || reply.outcome == CallOutcome::kOk) {
    return;
  }
  LogLine(LogLevel::kInfo, "stop_failed")
      .Field("task", order.task.Name())
      .Field("run", order.run)
      .Field("worker", id)
      .Field("outcome", ToString(reply.outcome));
  if (reply.outcome == CallOutcome::kFenced) {
    OnFenceRefused(*worker, order.fence);
  }
  worker->next_renewal = std::min(worker->next_renewal, now);
}

void Scheduler::OnThrottle(TimePoint now, const std::string& id, const ThrottleOrder& order,
                           const OrderReply& reply) {
  Worker* worker = FindWorker(id);
  const TaskRef task = m_jobs.Resolve(order.task.Name());
  if (worker == nullptr || task.job == nullptr || reply.outcome == CallOutcome::kOk) {
    return;
  }
  if (const auto it = worker->runs.find(task); it != worker->runs.end()) {
    it->second.throttled_at = now - kStopRetry;
    it->second.speed_percent = -1;  // Unknown, so the speed limit is ordered again.
  }
}

void Scheduler::OnAdvice(TimePoint now, const AdviceOrder& order, const AdviceReply& reply) {
  LogLine(LogLevel::kInfo, "advice")
      .Field("step", order.step.StepName())
      .Field("answered", reply.answered)
      .Field("asked", order.workers.size())
      .Field("granted", reply.tickets.size());
  m_advice.OnReply(now, order, reply);
  m_schedule_needed = true;
}

}  // namespace cranberryplank
