#include "cranberryplank/daemon/task_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "cranberryplank/model/invariant.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// Finding the probes that are due visits every known worker, so it is not done in every tick.
constexpr Duration kProbeInterval{200};
constexpr int kProbesPerInterval = 64;

/// Added to the lease and the start-by deadline to allow for clock differences.
constexpr Duration kLeaseMargin{1'000};

constexpr Duration kShortestBusyTime{50};
constexpr Duration kLongestBusyTime{1'000};

/// Lowest HTTP status that counts as a failure of the task.
constexpr int kFirstFailureStatus = 500;

/// HTTP status with which a worker answers after it has checkpointed and stopped a task.
constexpr int kCheckpointedStatus = 503;

std::string_view Describe(FailureEffect effect) {
  switch (effect) {
    case FailureEffect::kCounted:
      return "counted";
    case FailureEffect::kQuarantined:
      return "worker quarantined";
    case FailureEffect::kFaultyJob:
      return "faulty job";
  }
  return "unknown";
}

}  // namespace

TaskRunner::TaskRunner(WorkerClient* client, SlotControl* slots, bool keep_uncertain_slots)
    : m_client(client),
      m_slots(slots),
      m_keep_uncertain_slots(keep_uncertain_slots),
      m_uncertain(client) {}

void TaskRunner::Start(TimePoint now, const TaskAttempt& attempt, const Queue& queue,
                       EndCallback ended, OutcomeCallback resolved) {
  const Vm* vm = m_workers.Find(attempt.vm);
  const auto start_by = m_workers.StartByOf(attempt.vm, attempt.start_limit);
  CP_INVARIANT(vm != nullptr && start_by.has_value(), "worker {} has no clock reading", attempt.vm);
  CP_INVARIANT(vm->pool == queue.pool && vm->state == VmState::kServing,
               "task {} of pool {} placed on {} of pool {} in state {}", attempt.task_id,
               queue.pool, attempt.vm, vm->pool, ToString(vm->state));
  CP_INVARIANT(!m_running.contains(attempt.attempt_id), "attempt {} started twice",
               attempt.attempt_id);

  RunningTask task;
  task.task_id = attempt.task_id;
  task.team = attempt.team;
  task.pool = queue.pool;
  task.queue = queue.name;
  task.declared = queue.max_run;
  task.vm = attempt.vm;
  task.started = now;
  task.ends_by = attempt.start_limit + queue.max_run + kLeaseMargin;
  task.start_by = *start_by;
  m_running.insert_or_assign(attempt.attempt_id, std::move(task));
  ++m_counts[queue.pool][attempt.team];
  m_workers.TaskStarted(attempt.vm);

  TaskStart start;
  start.task_id = attempt.attempt_id;
  start.queue = queue.name;
  start.content_type = attempt.content_type;
  start.body = attempt.body;
  start.boot_id = start_by->boot_id;
  start.start_by = start_by->worker_clock;
  start.lease = queue.max_run;
  const auto timeout = std::chrono::duration_cast<Duration>(attempt.deadline - now);
  m_client->Start(
      WorkerAddress{vm->host, vm->port}, start, std::max(timeout, Duration(1)),
      [this, alive = std::weak_ptr<bool>(m_alive), attempt_id = attempt.attempt_id,
       ended = std::move(ended), resolved = std::move(resolved)](TimePoint at, TaskResult result) {
        if (!alive.expired()) {
          OnResult(at, attempt_id, std::move(result), ended, resolved);
        }
      });
}

void TaskRunner::OnResult(TimePoint now, const std::string& attempt_id, TaskResult result,
                          const EndCallback& ended, const OutcomeCallback& resolved) {
  const auto found = m_running.find(attempt_id);
  const RunningTask task = std::move(found->second);
  m_running.erase(found);
  m_workers.OnClock(now, task.vm, result.worker_clock);
  AttemptResult end;
  switch (result.verdict) {
    case Verdict::kCompleted:
      ReleaseSlot(now, task);
      end = OnCompleted(now, task, std::move(result));
      break;
    case Verdict::kNotRun:
      ReleaseSlot(now, task);
      OnRefused(now, task, result);
      end.result = std::move(result);
      break;
    case Verdict::kMayHaveRun:
      LogLine(LogLevel::kWarning, "no_answer")
          .Field("task", task.task_id)
          .Field("vm", task.vm)
          .Field("reason", result.reason);
      OnNoAnswer(now, attempt_id, task, resolved);
      end.result = std::move(result);
      break;
  }
  ended(now, end);
}

AttemptResult TaskRunner::OnCompleted(TimePoint now, const RunningTask& task, TaskResult result) {
  const auto run_time = std::chrono::duration_cast<Duration>(now - task.started);
  AttemptResult end;
  if (task.checkpoint_requested && result.status == kCheckpointedStatus) {
    end.checkpointed = true;
    end.result = std::move(result);
    return end;
  }
  end.failed = result.status >= kFirstFailureStatus;
  if (!end.failed) {
    m_estimates.Record(task.team, task.queue, run_time);
    m_health.RecordSuccess(now, RunOf(task));
  } else {
    const Duration expected = m_estimates.Estimate(task.team, task.queue, task.declared).mean;
    end.effect = m_health.RecordFailure(now, RunOf(task), expected);
    LogLine(LogLevel::kWarning, "task_failed")
        .Field("task", task.task_id)
        .Field("vm", task.vm)
        .Field("status", result.status)
        .Field("effect", Describe(end.effect));
  }
  end.result = std::move(result);
  return end;
}

void TaskRunner::OnRefused(TimePoint now, const RunningTask& task, const TaskResult& result) {
  if (result.refusal == WorkerRefusal::kNone) {
    m_workers.OnNoAnswer(task.vm);
    return;
  }
  const Duration expected = m_estimates.Estimate(task.team, task.queue, kLongestBusyTime).mean;
  m_workers.OnRefusal(now, task.vm, result.refusal,
                      std::clamp(expected, kShortestBusyTime, kLongestBusyTime));
}

void TaskRunner::OnNoAnswer(TimePoint now, const std::string& attempt_id, const RunningTask& task,
                            OutcomeCallback resolved) {
  m_workers.OnNoAnswer(task.vm);
  if (!m_keep_uncertain_slots) {
    ReleaseSlot(now, task);
    return;
  }
  // If the VM's record was removed, the worker cannot be queried, and the task counts as ended only
  // when its lease has expired.
  const WorkerAddress address = m_workers.AddressOf(task.vm).value_or(WorkerAddress{});
  m_uncertain.Add(now,
                  UncertainTask{attempt_id, address, task.start_by.boot_id,
                                task.start_by.worker_clock, task.ends_by},
                  [this, task, resolved = std::move(resolved)](TimePoint at, TaskOutcome outcome) {
                    ReleaseSlot(at, task);
                    LogLine(LogLevel::kInfo, "task_resolved")
                        .Field("task", task.task_id)
                        .Field("vm", task.vm)
                        .Field("fate", outcome == TaskOutcome::kNeverRan ? "never_ran" : "ended");
                    resolved(at, outcome);
                  });
}

void TaskRunner::ReleaseSlot(TimePoint now, const RunningTask& task) {
  m_slots->Release(now, task.team);
  m_workers.TaskEnded(task.vm);
  int& running = m_counts[task.pool][task.team];
  CP_INVARIANT(running > 0, "team {} has ended more tasks in pool {} than it started", task.team,
               task.pool);
  --running;
}

void TaskRunner::Tick(TimePoint now) {
  m_uncertain.Tick(now);
  Probe(now);
}

void TaskRunner::Probe(TimePoint now) {
  if (now < m_next_probe) {
    return;
  }
  m_next_probe = now + kProbeInterval;
  for (const std::string& vm : m_workers.DueProbes(now, kProbesPerInterval)) {
    m_client->GetStatus(
        *m_workers.AddressOf(vm),
        [this, alive = std::weak_ptr<bool>(m_alive), vm](
            TimePoint at, const std::optional<WorkerStatus>& status, std::string_view /*reason*/) {
          if (!alive.expired() && status) {
            m_workers.OnStatus(at, vm, *status);
            m_status.emit(at, vm, *status);
          }
        });
  }
}

int TaskRunner::Running(std::string_view pool, std::string_view team) const {
  const auto in_pool = m_counts.find(pool);
  if (in_pool == m_counts.end()) {
    return 0;
  }
  const auto count = in_pool->second.find(team);
  return count == in_pool->second.end() ? 0 : count->second;
}

Duration TaskRunner::ExpectedRunTime(std::string_view team, const Queue& queue) const {
  return m_estimates.Estimate(team, queue.name, queue.max_run).mean;
}

Duration TaskRunner::ExpectedDrain(std::string_view vm) const {
  Duration longest{0};
  for (const auto& [attempt_id, task] : m_running) {
    if (task.vm == vm) {
      longest = std::max(longest, m_estimates.Estimate(task.team, task.queue, task.declared).high);
    }
  }
  return longest;
}

void TaskRunner::CheckpointTeam(std::string_view team, int tasks) {
  std::vector<std::pair<TimePoint, std::string>> newest;
  for (const auto& [attempt_id, task] : m_running) {
    if (task.team == team) {
      newest.emplace_back(task.started, attempt_id);
    }
  }
  std::sort(newest.rbegin(), newest.rend());
  for (std::size_t i = 0; i < newest.size() && static_cast<int>(i) < tasks; ++i) {
    Checkpoint(newest[i].second, "the team is above its lowered limit");
  }
}

void TaskRunner::CheckpointVm(std::string_view vm, std::string_view reason) {
  for (const auto& [attempt_id, task] : m_running) {
    if (vm.empty() || task.vm == vm) {
      Checkpoint(attempt_id, reason);
    }
  }
}

void TaskRunner::Checkpoint(const std::string& attempt_id, std::string_view reason) {
  RunningTask& task = m_running.at(attempt_id);
  task.checkpoint_requested = true;
  const auto address = m_workers.AddressOf(task.vm);
  if (!address) {
    return;
  }
  LogLine(LogLevel::kInfo, "checkpoint")
      .Field("task", attempt_id)
      .Field("vm", task.vm)
      .Field("reason", reason);
  m_client->Checkpoint(*address, attempt_id,
                       [](TimePoint /*now*/, bool /*ok*/, std::string_view /*reason*/) {});
}

JobRun TaskRunner::RunOf(const RunningTask& task) const {
  const Vm* vm = m_workers.Find(task.vm);
  return JobRun{task.vm, vm == nullptr ? std::string() : vm->rack, task.task_id,
                fmt::format("{}/{}", task.queue, task.team), task.started};
}

}  // namespace cranberryplank
