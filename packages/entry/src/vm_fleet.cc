#include "cranberryplank/entry/vm_fleet.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/pool_planner.h"
#include "cranberryplank/scheduler/upkeep_planner.h"

namespace cranberryplank {

namespace {

constexpr Duration kPlanInterval{100};
/// A large wave on many VMs is too much work for each iteration of the event loop.
constexpr Duration kAdvanceInterval{50};
constexpr Duration kOrderRetry{300};
constexpr std::uint64_t kTokensPerEpoch = 65'536;
/// Time without runs after which a VM may be moved to a standby pool.
constexpr Duration kIdleBeforeStandby{600};
constexpr Duration kPoolLogInterval{1'000};
/// The number of VMs divided by this is the maximum number of moves in progress.
constexpr std::size_t kMovingDivisor = 2;

/// Returns whether a worker that ran on the VM has ended. A worker that is cut off stays listed. A
/// VM that is up without a worker is about to list the one that it has.
bool HasLeft(const ListedVm& vm, std::string_view worker) {
  const bool unlisted = vm.state == ListedVmState::kUp && vm.worker.empty();
  return vm.worker != worker && !unlisted;
}

}  // namespace

VmFleet::VmFleet(const VmFleetParts& parts, const VmFleetSettings& settings, TimePoint begun)
    : m_parts(parts),
      m_settings(settings),
      m_started_at(begun),
      m_list(parts.machines, begun),
      m_waves(parts.writer, parts.format),
      m_last_token(parts.ownership->revision() * kTokensPerEpoch) {}

void VmFleet::SetWave(TimePoint now, const UpkeepWave& request) {
  m_waves.Set(now, request);
  m_list.ReadAt(now);
}

void VmFleet::LoadWaveProgress(std::int64_t wave, const std::set<std::string>& begun) {
  m_waves.LoadProgress(wave, begun);
}

bool VmFleet::MayOrder(TimePoint now) const {
  // An earlier owner that still reaches the platform may have sent orders until its authority
  // ended, and two holders must not send orders to one VM within the lease.
  return m_parts.scheduler->may_act(now) && now - m_started_at >= m_settings.machine_lease;
}

void VmFleet::Tick(TimePoint now) {
  m_list.Tick(now);
  if (!m_list.listed()) {
    return;
  }
  RecordEndedWorkers(now);
  if (now >= m_next_plan) {
    m_next_plan = now + kPlanInterval;
    const std::vector<JobPoolLoad> loads = m_parts.scheduler->PoolLoads(now, DividesFleet());
    PlanWaves(now, loads);
    PlanPoolMoves(now, loads);
  }
  if (now >= m_next_advance) {
    m_next_advance = now + kAdvanceInterval;
    Advance(now);
    CloseWorkers();
  }
}

std::vector<UpkeepCandidate> VmFleet::CandidatesOf(const WaveProgress& wave,
                                                   std::span<const JobPoolLoad> loads) const {
  std::map<std::string, double> pressure;
  std::map<std::string, int> sizes;
  std::map<std::string, int> unavailable;
  for (const JobPoolLoad& load : loads) {
    pressure[load.pool] = load.backlog_core_s;
  }
  for (const auto& [id, vm] : m_list.vms()) {
    ++sizes[vm.pool];
    unavailable[vm.pool] += m_operations.contains(id) ? 1 : 0;
  }
  std::vector<UpkeepCandidate> candidates;
  for (const std::string& id : wave.request.vms) {
    const auto vm = m_list.vms().find(id);
    if (vm == m_list.vms().end() || wave.IsSettled(id) || m_operations.contains(id)) {
      continue;
    }
    const ClusterConfig* config = m_parts.scheduler->config();
    UpkeepCandidate candidate;
    candidate.vm = id;
    candidate.standby = config != nullptr && config->IsStandby(vm->second.pool);
    // A VM listed without a worker may have just got one, which cannot be vacated yet.
    const bool usable = vm->second.state == ListedVmState::kUp && !vm->second.worker.empty();
    if (!usable && !candidate.standby) {
      continue;
    }
    candidate.pool_size = sizes[vm->second.pool];
    candidate.pool_unavailable = unavailable[vm->second.pool];
    if (const Worker* worker = m_parts.scheduler->FindWorker(vm->second.worker)) {
      candidate.runs = static_cast<int>(worker->runs.size());
      for (const auto& [task, run] : worker->runs) {
        candidate.long_running += task.spec().long_running ? 1 : 0;
      }
      const double cores = static_cast<double>(worker->info.capacity.cpu_millis) / 1'000;
      candidate.pool_pressure =
          pressure[vm->second.pool] / std::max(cores * candidate.pool_size, 1.0);
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void VmFleet::PlanWaves(TimePoint now, std::span<const JobPoolLoad> loads) {
  for (const auto& [number, wave] : m_waves.all()) {
    if (wave.request.vms.empty()) {
      continue;
    }
    m_waves.Update(now, m_list, wave);
    if (!MayOrder(now) || wave.done_reported) {
      continue;
    }
    UpkeepWaveState view;
    view.max_at_once = wave.request.max_at_once;
    view.unavailable = AwayForWave(number, m_operations, m_list.vms());
    if (view.unavailable >= view.max_at_once) {
      continue;
    }
    view.time_left = std::chrono::duration_cast<Duration>(wave.seen + wave.request.within - now);
    const std::vector<UpkeepCandidate> candidates = CandidatesOf(wave, loads);
    view.remaining = static_cast<int>(candidates.size());
    for (const std::string& vm : ChooseUpkeep(view, candidates)) {
      VmOperation operation;
      operation.upkeep = true;
      operation.wave = number;
      operation.worker = m_list.vms().at(vm).worker;
      operation.since = now;
      m_operations.emplace(vm, operation);
      LogLine(LogLevel::kInfo, "vacate")
          .Field("vm", vm)
          .Field("worker", operation.worker)
          .Field("wave", number);
    }
  }
}

std::map<std::string, VmFleet::PoolVms> VmFleet::MovableVmsByPool() const {
  std::map<std::string, PoolVms> movable;
  std::map<std::string, std::vector<std::pair<std::int64_t, std::string>>> busy;
  for (const auto& [id, vm] : m_list.vms()) {
    const ClusterConfig* config = m_parts.scheduler->config();
    const bool standby = config->IsStandby(vm.pool);
    if (m_operations.contains(id) || (vm.state != ListedVmState::kUp && !standby) ||
        m_parts.scheduler->evacuation().Covers(vm.zone)) {
      continue;
    }
    if (standby) {
      movable[vm.pool].idle.push_back(id);
      continue;
    }
    const Worker* worker = m_parts.scheduler->FindWorker(vm.worker);
    if (worker == nullptr || !worker->registered || worker->info.draining || !worker->reconciled) {
      continue;
    }
    if (worker->idle()) {
      movable[vm.pool].idle.push_back(id);
    } else if (worker->long_running_runs == 0) {
      busy[vm.pool].emplace_back(-worker->used.cpu_millis, id);
    }
  }
  for (auto& [pool, vms] : busy) {
    std::sort(vms.begin(), vms.end());
    for (auto& [used, id] : vms) {
      movable[pool].busy.push_back(std::move(id));
    }
  }
  return movable;
}

bool VmFleet::DividesFleet() const {
  return m_settings.divide_from_vms > 0 &&
         m_list.vms().size() >= static_cast<std::size_t>(m_settings.divide_from_vms);
}

std::vector<int> VmFleet::TargetsOf(std::span<const JobPoolLoad> loads) const {
  if (DividesFleet()) {
    return TargetVms(loads);
  }
  std::vector<int> targets;
  targets.reserve(loads.size());
  for (const JobPoolLoad& load : loads) {
    targets.push_back(load.standby ? 0 : WantedVms(load));
  }
  return targets;
}

void VmFleet::PlanPoolMoves(TimePoint now, std::vector<JobPoolLoad> loads) {
  if (!MayOrder(now) || m_parts.scheduler->config() == nullptr) {
    return;
  }
  PoolSizes sizes = CountPoolSizes(
      m_list.vms(), m_operations,
      [this](const std::string& pool) { return m_parts.scheduler->config()->IsStandby(pool); },
      m_parts.scheduler->evacuation());
  for (JobPoolLoad& load : loads) {
    load.vms = sizes.vms[load.pool];
    if (load.vm_cores <= 0) {
      load.vm_cores = 1;
      for (const JobPoolLoad& other : loads) {
        load.vm_cores = std::max(load.vm_cores, other.vm_cores);
      }
    }
  }
  const std::vector<int> targets = TargetsOf(loads);
  LogPools(now, loads, targets);
  const bool vacate_busy = DividesFleet() && IsShortOfVms(loads);
  auto movable = MovableVmsByPool();
  std::map<std::string, MovableVms> counts;
  for (const auto& [pool, vms] : movable) {
    counts[pool].idle = static_cast<int>(vms.idle.size());
    counts[pool].busy = vacate_busy ? static_cast<int>(vms.busy.size()) : 0;
  }
  for (const PoolMove& move : PlanMoves(loads, targets, counts)) {
    PoolVms& donor = movable[move.from];
    std::vector<std::string>& vms = move.vacate ? donor.busy : donor.idle;
    if (vms.empty() || sizes.moving >= m_list.vms().size() / kMovingDivisor) {
      continue;
    }
    const std::string vm = vms.back();
    vms.pop_back();
    const bool to_standby = m_parts.scheduler->config()->IsStandby(move.to);
    const Worker* known = m_parts.scheduler->FindWorker(m_list.vms().at(vm).worker);
    if (to_standby && (known == nullptr || now - known->last_used() < kIdleBeforeStandby)) {
      continue;
    }
    ++sizes.moving;
    BeginMove(now, vm, move);
  }
}

void VmFleet::BeginMove(TimePoint now, const std::string& vm, const PoolMove& move) {
  VmOperation operation;
  operation.pool = move.to;
  operation.worker = m_list.vms().at(vm).worker;
  operation.lets_tasks_end = move.vacate;
  operation.since = now;
  LogLine(LogLevel::kInfo, "move")
      .Field("vm", vm)
      .Field("worker", operation.worker)
      .Field("from", move.from)
      .Field("to", move.to)
      .Field("vacate", move.vacate);
  m_operations.emplace(vm, std::move(operation));
}

void VmFleet::LogPools(TimePoint now, std::span<const JobPoolLoad> loads,
                       std::span<const int> targets) {
  if (now < m_next_log) {
    return;
  }
  m_next_log = now + kPoolLogInterval;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const JobPoolLoad& load = loads[i];
    LogLine(LogLevel::kInfo, "pool")
        .Field("pool", load.pool)
        .Field("vms", load.vms)
        .Field("wanted", load.standby ? 0 : WantedVms(load))
        .Field("target", targets[i])
        .Field("running_cores", static_cast<int>(load.running_cores))
        .Field("waiting_cores", static_cast<int>(load.waiting_cores))
        .Field("backlog_core_s", static_cast<int>(load.backlog_core_s))
        .Field("arriving_cores", static_cast<int>(load.arriving_cores))
        .Field("long_running_cores", static_cast<int>(load.long_running_cores));
  }
}

void VmFleet::CloseWorkers() {
  std::set<std::string> closed;
  for (const auto& [vm, operation] : m_operations) {
    closed.insert(operation.worker);
  }
  m_parts.scheduler->SetClosedWorkers(std::move(closed));
}

bool VmFleet::MayTakeDown(const std::string& worker) const {
  const Worker* known = m_parts.scheduler->FindWorker(worker);
  return known == nullptr || known->MayBeTakenDown(m_parts.scheduler->authority().confirmed);
}

void VmFleet::RecordEndedWorkers(TimePoint now) {
  if (m_checked_list == m_list.sent()) {
    return;
  }
  m_checked_list = m_list.sent();
  for (const auto& [id, worker] : m_parts.scheduler->unreconciled()) {
    const auto vm = m_list.vms().find(worker.vm);
    const bool ended = vm == m_list.vms().end()
                           ? !worker.vm.empty() && m_list.IsRemoved(now, worker.vm)
                           : HasLeft(vm->second, id);
    if (ended) {
      m_parts.scheduler->RecordWorkerEnded(now, id);
    }
  }
}

void VmFleet::Advance(TimePoint now) {
  std::vector<std::string> ended;
  for (auto& [vm, operation] : m_operations) {
    const auto listed = m_list.vms().find(vm);
    // A move that was not ordered yet would bring a VM into the pool that cannot be used there.
    if (!operation.upkeep && operation.token == 0 && listed != m_list.vms().end() &&
        m_parts.scheduler->evacuation().Covers(listed->second.zone)) {
      ended.push_back(vm);
      continue;
    }
    AdvanceOne(now, vm, &operation);
    if (HasEnded(operation, now, m_list.sent(),
                 listed == m_list.vms().end() ? nullptr : &listed->second)) {
      ended.push_back(vm);
    }
  }
  for (const std::string& vm : ended) {
    m_operations.erase(vm);
  }
}

void VmFleet::AdvanceOne(TimePoint now, const std::string& vm, VmOperation* operation) {
  if (operation->phase == VmOperation::Phase::kVacating) {
    if (!MayTakeDown(operation->worker)) {
      const bool stop_all =
          !operation->lets_tasks_end && now - operation->since > VacateBound(*operation);
      m_parts.scheduler->VacateWorker(now, operation->worker, stop_all);
      return;
    }
    operation->phase = VmOperation::Phase::kOrdering;
  }
  if (operation->phase == VmOperation::Phase::kOrdering && !operation->in_flight &&
      now >= operation->retry_at && MayOrder(now)) {
    if (!MayTakeDown(operation->worker)) {
      operation->phase = VmOperation::Phase::kVacating;
      return;
    }
    SendOrder(now, vm, operation);
  }
}

void VmFleet::SendOrder(TimePoint now, const std::string& vm, VmOperation* operation) {
  if (operation->token == 0) {
    operation->token = ++m_last_token;
  }
  operation->in_flight = true;
  operation->retry_at = now + kOrderRetry;
  const std::weak_ptr<int> lifetime = m_lifetime;
  const auto done = [this, lifetime, vm, token = operation->token](TimePoint at,
                                                                   VmOrderOutcome outcome) {
    if (!lifetime.expired()) {
      OnOrder(at, vm, token, outcome);
    }
  };
  const VmOrderFence fence{m_settings.holder, operation->token,
                           m_parts.ownership->authority_until()};
  if (operation->upkeep) {
    m_parts.machines->Upkeep(vm, operation->wave, fence, done);
  } else {
    m_parts.machines->Move(vm, operation->pool, fence, done);
  }
}

void VmFleet::OnOrder(TimePoint now, const std::string& vm, std::uint64_t token,
                      VmOrderOutcome outcome) {
  const auto it = m_operations.find(vm);
  if (it == m_operations.end() || it->second.token != token) {
    return;
  }
  VmOperation& operation = it->second;
  operation.in_flight = false;
  LogLine(LogLevel::kInfo, "vm_order")
      .Field("vm", vm)
      .Field("wave", operation.wave)
      .Field("pool", operation.pool)
      .Field("token", token)
      .Field("outcome", static_cast<int>(outcome));
  switch (outcome) {
    case VmOrderOutcome::kDone:
      operation.phase = VmOperation::Phase::kAway;
      operation.away_until =
          AwayUntil(now, operation.upkeep ? m_settings.upkeep_time : m_settings.move_time);
      m_parts.scheduler->RetireWorker(now, operation.worker);
      m_list.ReadAt(std::min(m_list.next_read(), operation.away_until));
      if (operation.upkeep) {
        ++m_upkeeps;
        m_waves.RecordBegun(operation.wave, vm);
      } else {
        ++m_moves;
        m_list.SetMoving(vm, operation.pool);
      }
      return;
    case VmOrderOutcome::kNotDue:
      if (operation.upkeep) {
        m_waves.GiveUp(operation.wave, vm);
      }
      m_operations.erase(it);
      return;
    case VmOrderOutcome::kFenced:
      m_parts.ownership->Read(now);
      m_operations.erase(it);
      return;
    case VmOrderOutcome::kBusy:
    case VmOrderOutcome::kRefused:
      if (!operation.uncertain) {
        m_operations.erase(it);
        m_list.ReadAt(now);
        return;
      }
      operation.retry_at = now + kOrderRetry;
      return;
    case VmOrderOutcome::kUnknown:
      operation.uncertain = true;
      return;
    case VmOrderOutcome::kTryLater:
      return;
  }
}

}  // namespace cranberryplank
