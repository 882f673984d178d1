#include <string_view>
#include <vector>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

bool Scheduler::MayLose(TimePoint now, const Worker& worker, const PlacedRun& run) const {
  // A start without a reply may still take effect until the lease that it carries has expired.
  return run.phase == RunPhase::kRunning || (now > worker.lease_bound && HasExpired(run.ended_by));
}

void Scheduler::LoseRuns(TimePoint now, Worker* worker, std::string_view reason) {
  std::vector<TaskRef> lost;
  for (const auto& [task, run] : worker->runs) {
    if (MayLose(now, *worker, run)) {
      lost.push_back(task);
    }
  }
  for (const TaskRef& task : lost) {
    ++m_counters.runs_lost;
    LogLine(LogLevel::kInfo, "run_lost")
        .Field("task", task.Id().Name())
        .Field("worker", worker->info.id)
        .Field("reason", reason);
    RemoveRun(now, worker, task);
  }
}

void Scheduler::RecordWorkerEnded(TimePoint now, const std::string& id) {
  if (m_unreconciled.contains(id) && m_ended_unreconciled.emplace(id, now).second) {
    LogLine(LogLevel::kInfo, "unheard_worker_ended").Field("worker", id);
    WantConfirmation(now);
  }
}

void Scheduler::ExpireSilentWorker(TimePoint now, Worker* worker) {
  const bool any_lost =
      std::any_of(worker->runs.begin(), worker->runs.end(),
                  [&](const auto& item) { return MayLose(now, *worker, item.second); });
  if (any_lost) {
    RecordLostRuns(now, *worker);
    LoseRuns(now, worker, "the lease expired on an unresponsive worker");
    m_schedule_needed = true;
  }
  for (const auto& [task, run] : worker->runs) {
    if (now > run.ended_by) {
      WantConfirmation(run.ended_by);
    }
  }
  // What it has not listed is started again, as all whose lease expired.
  worker->more_ended = worker->awaits_earlier_ends = false;
  if (worker->recorded && worker->runs.empty()) {
    // Nothing runs there, so the next owner need not wait for the worker.
    worker->recorded = false;
    m_recorded.erase(worker->info.id);
    m_record_changed = true;
  }
}

void Scheduler::ExpireWorkers(TimePoint now) {
  for (auto it = m_workers.begin(); it != m_workers.end();) {
    Worker& worker = it->second;
    ForgetEarlierClock(now, &worker);
    const bool silent = worker.failed_renewals > 0 || !worker.reconciled;
    const bool expired = silent && HasExpired(worker.lease_bound);
    const bool in_use = worker.recorded || !worker.registered || !worker.runs.empty();
    if (expired) {
      ExpireSilentWorker(now, &worker);
    } else if (silent && in_use && now > worker.lease_bound) {
      WantConfirmation(worker.lease_bound);
    }
    if (expired && !worker.registered && worker.runs.empty()) {
      LogLine(LogLevel::kInfo, "worker_gone").Field("worker", it->first);
      m_unreconciled.erase(it->first);
      m_record_changed = true;
      // It may come back with the highest fence that this owner has sent to it.
      m_first_fence = std::max(m_first_fence, worker.fence);
      it = m_workers.erase(it);
    } else {
      ++it;
    }
  }
  ExpireUnreconciled(now);
}

void Scheduler::ExpireUnreconciled(TimePoint now) {
  for (auto it = m_ended_unreconciled.begin(); it != m_ended_unreconciled.end();) {
    if (!HasExpired(it->second)) {
      ++it;
      continue;
    }
    m_unreconciled.erase(it->first);
    it = m_ended_unreconciled.erase(it);
    m_record_changed = m_schedule_needed = true;
  }
  if (m_unreconciled.empty()) {
    return;
  }
  if (now > m_unreconciled_bound) {
    WantConfirmation(m_unreconciled_bound);
  }
  if (HasExpired(m_unreconciled_bound)) {
    LogLine(LogLevel::kInfo, "unheard_workers_expired").Field("workers", m_unreconciled.size());
    m_unreconciled.clear();
    m_record_changed = true;
    m_schedule_needed = true;
  }
}

}  // namespace cranberryplank
