#include "cranberryplank/daemon/worker_table.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// Time between probes of an available worker, mainly to keep its clock reading recent.
constexpr Duration kProbeInterval{30'000};

/// Time between probes of a worker that does not answer or drains.
constexpr Duration kUnavailableProbeInterval{1'000};

/// Maximum drift between two clocks, in parts per million.
constexpr std::int64_t kClockDriftPpm = 500;

}  // namespace

WorkerTable::Worker* WorkerTable::FindWorker(std::string_view vm) {
  const auto found = m_workers.find(vm);
  return found == m_workers.end() ? nullptr : &found->second;
}

const WorkerTable::Worker* WorkerTable::FindWorker(std::string_view vm) const {
  const auto found = m_workers.find(vm);
  return found == m_workers.end() ? nullptr : &found->second;
}

void WorkerTable::SetFleet(const Fleet& fleet) {
  std::erase_if(m_workers, [&](const auto& entry) { return !fleet.vms.contains(entry.first); });
  std::map<std::string, PoolWorkers, std::less<>> pools;
  for (const auto& [id, vm] : fleet.vms) {
    Worker& worker = m_workers[id];
    if (worker.vm.host != vm.host || worker.vm.port != vm.port) {
      worker = Worker{};
    }
    if (worker.vm.state != VmState::kServing && vm.state == VmState::kServing) {
      // The worker was drained for a move and accepts work again, so it is probed at once.
      worker.next_probe.reset();
    }
    worker.vm = vm;
    PoolWorkers& pool = pools[vm.pool];
    worker.pool = &pool;
    worker.index = pool.workers.size();
    pool.workers.push_back(&worker);
  }
  for (auto& [name, pool] : pools) {
    const auto old = m_pools.find(name);
    pool.running_elsewhere = old == m_pools.end() ? 0 : old->second.running_elsewhere;
  }
  // Swapping maps does not move their elements, so the workers' pool pointers remain valid.
  m_pools.swap(pools);
}

void WorkerTable::SetLeavingVms(const std::set<std::string, std::less<>>& leaving) {
  for (auto& [id, worker] : m_workers) {
    const bool leaves = leaving.contains(id);
    if (worker.leaving != leaves) {
      worker.leaving = leaves;
      MarkChanged(worker);
    }
  }
}

void WorkerTable::OnStatus(TimePoint now, std::string_view vm, const WorkerStatus& status) {
  Worker* worker = FindWorker(vm);
  if (worker == nullptr) {
    return;
  }
  const bool was_available = IsAvailable(*worker);
  worker->boot_id = status.boot_id;
  worker->clock = ClockReading{status.clock, now};
  worker->draining = status.draining;
  worker->answering = true;
  worker->next_probe = now + (status.draining ? kUnavailableProbeInterval : kProbeInterval);
  if (IsAvailable(*worker) != was_available) {
    MarkChanged(*worker);
  }
}

void WorkerTable::OnClock(TimePoint now, std::string_view vm, Duration worker_clock) {
  Worker* worker = FindWorker(vm);
  if (worker != nullptr && worker_clock.count() > 0) {
    worker->clock = ClockReading{worker_clock, now};
    MarkChanged(*worker);
  }
}

void WorkerTable::OnRefusal(TimePoint now, std::string_view vm, WorkerRefusal refusal,
                            Duration busy_for) {
  Worker* worker = FindWorker(vm);
  if (worker == nullptr) {
    return;
  }
  MarkChanged(*worker);
  switch (refusal) {
    case WorkerRefusal::kDraining:
      worker->draining = true;
      worker->next_probe = now + kUnavailableProbeInterval;
      break;
    case WorkerRefusal::kBusy:
      worker->busy_slots = std::max(0, worker->vm.slots - worker->running_here);
      worker->busy_until = now + busy_for;
      break;
    case WorkerRefusal::kExpired:
      // Either the clock reading is too old or the worker has rebooted.
      worker->clock.reset();
      worker->next_probe.reset();
      break;
    case WorkerRefusal::kNone:
      break;
  }
}

void WorkerTable::OnNoAnswer(std::string_view vm) {
  if (Worker* worker = FindWorker(vm)) {
    worker->answering = false;
    worker->next_probe.reset();
    MarkChanged(*worker);
  }
}

void WorkerTable::TaskStarted(std::string_view vm) {
  if (Worker* worker = FindWorker(vm)) {
    ++worker->running_here;
    MarkChanged(*worker);
  }
}

void WorkerTable::TaskEnded(std::string_view vm) {
  Worker* worker = FindWorker(vm);
  if (worker != nullptr && worker->running_here > 0) {
    --worker->running_here;
    MarkChanged(*worker);
  }
}

void WorkerTable::SetRunningElsewhere(std::string_view pool, int tasks) {
  const auto found = m_pools.find(pool);
  if (found == m_pools.end()) {
    return;
  }
  PoolWorkers& workers = found->second;
  const int spread = workers.TasksElsewherePerWorker();
  workers.running_elsewhere = tasks;
  workers.all_changed = workers.all_changed || workers.TasksElsewherePerWorker() != spread;
}

bool WorkerTable::IsAvailable(const Worker& worker) {
  return worker.answering && worker.clock && !worker.draining && !worker.leaving;
}

void WorkerTable::MarkChanged(const Worker& worker) {
  PoolWorkers* pool = worker.pool;
  if (pool == nullptr || pool->all_changed) {
    return;
  }
  pool->changed.push_back(worker.index);
  // Limits the size of the list for a pool whose views are never read.
  pool->all_changed = pool->changed.size() > pool->workers.size();
}

int WorkerTable::PoolWorkers::TasksElsewherePerWorker() const {
  return workers.empty() ? 0 : running_elsewhere / static_cast<int>(workers.size());
}

void WorkerTable::PoolWorkers::UpdateView(TimePoint now, std::size_t index) {
  const Worker& worker = *workers[index];
  const bool full = worker.busy_until > now;
  if (full) {
    valid_until = std::min(valid_until, worker.busy_until);
  }
  const int others =
      full ? std::max(worker.busy_slots, TasksElsewherePerWorker()) : TasksElsewherePerWorker();
  views[index] = WorkerView{&worker.vm, worker.running_here + others, !IsAvailable(worker)};
}

std::span<const WorkerView> WorkerTable::Views(TimePoint now, std::string_view name) {
  const auto found = m_pools.find(name);
  if (found == m_pools.end()) {
    return {};
  }
  PoolWorkers& pool = found->second;
  if (pool.all_changed || now >= pool.valid_until) {
    pool.all_changed = false;
    pool.valid_until = TimePoint::max();
    pool.views.resize(pool.workers.size());
    for (std::size_t index = 0; index < pool.workers.size(); ++index) {
      pool.UpdateView(now, index);
    }
  } else {
    for (const std::size_t index : pool.changed) {
      pool.UpdateView(now, index);
    }
  }
  pool.changed.clear();
  return pool.views;
}

std::optional<WorkerTable::StartBy> WorkerTable::StartByOf(std::string_view vm,
                                                           TimePoint deadline) const {
  const Worker* worker = FindWorker(vm);
  if (worker == nullptr || !worker->clock) {
    return std::nullopt;
  }
  // The worker read its clock before its answer was received, so counting from the receipt can only
  // make the deadline earlier. The drift is subtracted in case the worker's clock runs slower.
  const auto ahead = std::chrono::duration_cast<Duration>(deadline - worker->clock->received);
  const Duration drift(std::max<std::int64_t>(ahead.count(), 0) * kClockDriftPpm / 1'000'000);
  return StartBy{worker->boot_id, worker->clock->worker_clock + ahead - drift};
}

std::optional<WorkerAddress> WorkerTable::AddressOf(std::string_view vm) const {
  const Worker* worker = FindWorker(vm);
  if (worker == nullptr) {
    return std::nullopt;
  }
  return WorkerAddress{worker->vm.host, worker->vm.port};
}

const Vm* WorkerTable::Find(std::string_view vm) const {
  const Worker* worker = FindWorker(vm);
  return worker == nullptr ? nullptr : &worker->vm;
}

std::vector<std::string> WorkerTable::DueProbes(TimePoint now, int max_count) {
  std::vector<std::string> due;
  for (auto& [id, worker] : m_workers) {
    if (static_cast<int>(due.size()) >= max_count) {
      break;
    }
    if (!worker.next_probe || *worker.next_probe <= now) {
      worker.next_probe = now + kUnavailableProbeInterval;
      due.push_back(id);
    }
  }
  return due;
}

std::vector<std::string> WorkerTable::Draining() const {
  std::vector<std::string> draining;
  for (const auto& [id, worker] : m_workers) {
    if (worker.draining) {
      draining.push_back(id);
    }
  }
  return draining;
}

}  // namespace cranberryplank
