#include <algorithm>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

namespace {

constexpr double kMillisPerUnit = 1'000;

/// Returns the work of the unfinished tasks of a step, in core-seconds.
double RemainingWork(const StepSpec& spec, const StepState& state) {
  const auto tasks = static_cast<double>(state.tasks.size()) - state.done;
  return tasks * (static_cast<double>(spec.estimate_ms) / kMillisPerUnit) *
         (static_cast<double>(spec.per_task.cpu_millis) / kMillisPerUnit);
}

/// Adds the load of one occurrence. @param worthless it will end too late to have any value
void AddOccurrence(const Job& job, const OccurrenceState& occurrence, bool worthless,
                   JobPoolLoad* load) {
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const StepSpec& spec = job.spec.steps[i];
    const StepState& state = occurrence.steps[i];
    const double cores = static_cast<double>(spec.Footprint().cpu_millis) / kMillisPerUnit;
    if (spec.long_running) {
      load->long_running_cores += spec.count * cores;
      if (spec.max_per_vm > 0) {
        const int vms = (spec.count + spec.max_per_vm - 1) / spec.max_per_vm;
        load->long_running_vms = std::max(load->long_running_vms, vms);
      }
    } else if (!spec.uses_leftover_cpu) {
      load->backlog_core_s += RemainingWork(spec, state);
      load->running_cores += state.placed * cores;
      if (job.StepReady(occurrence, i)) {
        const double waiting = std::max(state.waiting(), 0) * cores;
        load->waiting_cores += waiting;
        load->worthless_cores += worthless ? waiting : 0;
      }
    }
  }
}

}  // namespace

/// Returns whether one more task of a step may become unavailable. A task counts as ready only
/// while its worker replies.
bool Scheduler::CanMissOneMore(const TaskRef& task) const {
  std::set<int> ready;
  for (const auto& [id, worker] : m_workers) {
    if (worker.failed_renewals > 0 || worker.long_running_runs == 0) {
      continue;
    }
    for (const auto& [other, run] : worker.RunsOfStep(task)) {
      const bool counts = other.index != task.index && !run.stopping && other.state() != nullptr;
      if (counts && other.state()->ready) {
        ready.insert(other.index);
      }
    }
  }
  const int others_unavailable = task.spec().count - 1 - static_cast<int>(ready.size());
  return others_unavailable < std::max(task.spec().max_unavailable, 1);
}

void Scheduler::RetireWorker(TimePoint now, const std::string& id) {
  DropSuspects(now, m_crashes.TakeOfWorker(id));
  Worker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  worker->registered = false;
  worker->failed_renewals = std::max(worker->failed_renewals, 1);
  worker->lease_bound = now - Duration(1);
  for (auto& [task, run] : worker->runs) {
    run.ended_by = {};
  }
  LoseRuns(now, worker, "the VM was taken down");
  m_unreconciled.erase(id);
  m_schedule_needed = true;
}

void Scheduler::VacateWorker(TimePoint now, const std::string& id, bool all) {
  Worker* worker = FindWorker(id);
  if (worker == nullptr || worker->failed_renewals > 0) {
    return;
  }
  for (auto& [task, run] : worker->runs) {
    if (run.stopping || run.phase != RunPhase::kRunning) {
      continue;
    }
    const JobTaskState* state = task.state();
    if (state == nullptr) {
      continue;
    }
    if (!task.spec().long_running) {
      if (all) {
        StopRun(now, worker, task, &run, "the VM is to be taken down");
      }
      continue;
    }
    if (CanMissOneMore(task)) {
      task.state()->ready = false;
      StopRun(now, worker, task, &run, "the VM is to be taken down");
    }
  }
}

std::vector<JobPoolLoad> Scheduler::PoolLoads(TimePoint now, bool with_value) {
  std::map<std::string, JobPoolLoad> loads;
  if (!m_config) {
    return {};
  }
  for (const auto& [name, pool] : m_config->pools) {
    JobPoolLoad& load = loads[name];
    load.pool = name;
    load.standby = pool.standby;
    if (const auto it = m_arrivals.find(name); it != m_arrivals.end()) {
      load.arriving_cores = it->second.Current(now);
    }
  }
  std::vector<std::int64_t> ends;
  for (const auto& [id, job] : m_jobs.active()) {
    const QueueConfig& queue = QueueOfJob(*job);
    const auto it = loads.find(queue.pool);
    if (it == loads.end()) {
      continue;
    }
    JobPoolLoad& load = it->second;
    const bool batch = !job->spec.steps.front().long_running;
    load.priority = batch ? std::min(load.priority, queue.priority) : load.priority;
    for (const auto& [number, occurrence] : job->open) {
      const bool worthless =
          with_value && batch && IsWorthless(OrderInputOf(*job, occurrence, queue, &ends), now);
      AddOccurrence(*job, occurrence, worthless, &load);
    }
  }
  for (const auto& [id, worker] : m_workers) {
    const auto it = loads.find(worker.info.pool);
    if (it != loads.end()) {
      it->second.vm_cores =
          std::max(it->second.vm_cores,
                   static_cast<double>(worker.info.capacity.cpu_millis) / kMillisPerUnit);
    }
  }
  std::vector<JobPoolLoad> result;
  result.reserve(loads.size());
  for (auto& [name, load] : loads) {
    result.push_back(std::move(load));
  }
  return result;
}

}  // namespace cranberryplank
