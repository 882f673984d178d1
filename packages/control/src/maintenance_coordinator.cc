#include "cranberryplank/control/maintenance_coordinator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/control/acting_daemon.h"

namespace cranberryplank {

namespace {

/// Multiple of `max_document_age` within which the document must have been confirmed before a
/// request is sent to a worker. A coordinator that was paused therefore reads the document first.
constexpr int kMaxDocumentAgeFactor = 3;

WorkerAddress AddressOf(const Vm& vm) { return WorkerAddress{vm.host, vm.port}; }

const Vm* FindVm(const Fleet& fleet, std::string_view id) {
  const auto vm = fleet.vms.find(id);
  return vm == fleet.vms.end() ? nullptr : &vm->second;
}

}  // namespace

std::vector<std::string> PickInOrder(TimePoint, const WaveView& view) {
  std::vector<std::string> ids;
  for (const Vm* vm : view.waiting) {
    ids.push_back(vm->id);
  }
  return ids;
}

MaintenanceCoordinator::MaintenanceCoordinator(HeadControl* head, Store* store,
                                               VmListReader* vm_list, WorkerClient* workers,
                                               RandomSource* random, WavePicker picker,
                                               const MaintenanceOptions& options)
    : m_head(head),
      m_store(store),
      m_workers(workers),
      m_random(random),
      m_picker(std::move(picker)),
      m_options(options),
      m_availability(vm_list, workers, options.availability) {}

void MaintenanceCoordinator::Start(TimePoint now, std::string_view pool,
                                   std::span<const std::string> vms, ResultCallback done,
                                   const ChangeIdentity& identity) {
  Request request;
  request.at = now;
  request.identity = identity;
  request.vms.assign(vms.begin(), vms.end());
  request.done = std::move(done);
  Submit(now, std::string(pool), std::move(request));
}

void MaintenanceCoordinator::Stop(TimePoint now, std::string_view pool, ResultCallback done,
                                  const ChangeIdentity& identity) {
  Request request;
  request.at = now;
  request.identity = identity;
  request.start = false;
  request.done = std::move(done);
  Submit(now, std::string(pool), std::move(request));
}

void MaintenanceCoordinator::Submit(TimePoint now, const std::string& pool, Request request) {
  if (!m_head->fleet().pools.contains(pool)) {
    request.done(now, WaveResult{false, false, "", fmt::format("pool {} is unknown", pool)});
    return;
  }
  if (request.identity.nonce.empty()) {
    request.identity.nonce = m_random->Nonce();
  }
  StateOf(pool).requests.push_back(std::move(request));
}

std::optional<MaintenanceWave> MaintenanceCoordinator::Status(std::string_view pool) const {
  const auto state = m_pools.find(pool);
  return state == m_pools.end() ? std::nullopt : state->second.wave;
}

void MaintenanceCoordinator::ObserveWorker(TimePoint now, std::string_view vm,
                                           const WorkerStatus&) {
  m_availability.Observe(now, vm);
}

void MaintenanceCoordinator::Tick(TimePoint now) {
  m_availability.Tick();
  for (const auto& [name, pool] : m_head->fleet().pools) {
    TickPool(now, name, &StateOf(name));
  }
}

MaintenanceCoordinator::PoolState& MaintenanceCoordinator::StateOf(const std::string& pool) {
  PoolState& state = m_pools[pool];
  if (!state.document) {
    state.document = std::make_unique<StoreDocument>(m_store, m_random, MaintenanceKey(pool),
                                                     m_options.store_retry);
    state.document->signal_resolved().connect(
        [this, pool](TimePoint now) { OnResolved(now, pool); });
  }
  return state;
}

void MaintenanceCoordinator::OnResolved(TimePoint now, const std::string& pool) {
  PoolState& state = m_pools.find(pool)->second;
  for (Request& request : state.requests) {
    request.writing = false;
  }
  std::string reason;
  state.wave = DecodeMaintenanceWave(state.document->content(), &reason);
  if (!state.wave) {
    m_decision.emit(
        now, fmt::format("maintenance event=unreadable pool={} reason=\"{}\"", pool, reason));
    return;
  }
  for (const auto& [vm, entry] : state.wave->vms) {
    Progress& progress = state.progress[vm];
    if (progress.state != entry.state) {
      progress = Progress{};
      progress.state = entry.state;
      progress.since = progress.next = now;
    }
  }
  std::erase_if(state.progress,
                [&](const auto& item) { return !state.wave->vms.contains(item.first); });
  AnswerRequests(now, pool, &state);
}

void MaintenanceCoordinator::AnswerRequests(TimePoint now, const std::string& pool,
                                            PoolState* state) {
  const std::optional<TimePoint> confirmed = state->document->ConfirmedAt();
  std::vector<std::pair<ResultCallback, WaveResult>> answers;
  std::erase_if(state->requests, [&](Request& request) {
    if (!confirmed || *confirmed < request.at) {
      return false;
    }
    const std::optional<WaveResult> answer = AnswerTo(request, pool, *state->wave);
    if (answer) {
      answers.emplace_back(request.done, *answer);
    }
    return answer.has_value();
  });
  for (const auto& [done, answer] : answers) {
    m_decision.emit(now, fmt::format("maintenance event=request pool={} accepted={} wave={} "
                                     "reason=\"{}\"",
                                     pool, answer.accepted, answer.wave, answer.reason));
    done(now, answer);
  }
}

void MaintenanceCoordinator::ExpireRequests(TimePoint now, const std::string& pool,
                                            PoolState* state) {
  std::vector<ResultCallback> expired;
  std::erase_if(state->requests, [&](Request& request) {
    if (request.writing || now - request.at < m_options.request_limit) {
      return false;
    }
    expired.push_back(std::move(request.done));
    return true;
  });
  const WaveResult answer{false, true, "", "the maintenance document cannot be read or written"};
  for (const ResultCallback& done : expired) {
    m_decision.emit(now, fmt::format("maintenance event=request pool={} accepted=false wave= "
                                     "reason=\"{}\"",
                                     pool, answer.reason));
    done(now, answer);
  }
}

std::optional<WaveResult> MaintenanceCoordinator::AnswerTo(const Request& request,
                                                           const std::string& pool,
                                                           const MaintenanceWave& wave) const {
  if (const WaveChange* recorded = wave.FindChange(request.identity.nonce)) {
    const bool same = recorded->identity == request.identity;
    return WaveResult{same, false, recorded->wave, same ? "" : std::string(kNonceOfAnotherChange)};
  }
  if (request.start && wave.Active()) {
    return WaveResult{false, false, wave.id,
                      fmt::format("wave {} is under way on pool {}", wave.id, pool)};
  }
  if (request.start) {
    const std::optional<std::string> refusal = StartRefusalReason(pool, request);
    return refusal ? std::optional(WaveResult{false, false, "", *refusal}) : std::nullopt;
  }
  if (!wave.Active()) {
    return WaveResult{false, false, wave.id, fmt::format("no wave is under way on pool {}", pool)};
  }
  return std::nullopt;
}

std::optional<std::string> MaintenanceCoordinator::StartRefusalReason(
    const std::string& pool, const Request& request) const {
  for (const std::string& id : request.vms) {
    const Vm* vm = FindVm(m_head->fleet(), id);
    if (vm == nullptr || vm->pool != pool) {
      return fmt::format("VM {} is not in pool {}", id, pool);
    }
  }
  return std::nullopt;
}

bool MaintenanceCoordinator::WriteNextRequest(TimePoint now, const std::string& pool,
                                              PoolState* state) {
  if (state->requests.empty()) {
    return false;
  }
  Request& request = state->requests.front();
  const std::optional<TimePoint> confirmed = state->document->ConfirmedAt();
  if (!confirmed || *confirmed < request.at) {
    state->document->Refresh(now);
    return true;
  }
  MaintenanceWave next = *state->wave;
  if (request.start) {
    next = MaintenanceWave{};
    next.id = m_random->Nonce();
    next.changes = state->wave->changes;
    for (const auto& [id, vm] : m_head->fleet().vms) {
      const bool chosen = request.vms.empty() || std::find(request.vms.begin(), request.vms.end(),
                                                           id) != request.vms.end();
      if (vm.pool == pool && chosen) {
        next.vms[id] = MaintenanceEntry{};
      }
    }
  } else {
    next.stopping = true;
    std::erase_if(next.vms, [](const auto& item) {
      return item.second.state == MaintenanceState::kWaiting ||
             item.second.state == MaintenanceState::kPermitted;
    });
  }
  next.AddChange(request.identity);
  request.writing = true;
  state->document->Swap(now, EncodeMaintenanceWave(next));
  return true;
}

bool MaintenanceCoordinator::MayAdvanceWave(TimePoint now, std::string_view pool,
                                            const PoolState& state) const {
  const DaemonRecord* acting = ActingDaemon(m_head->head(), MaintenanceKey(pool));
  const std::optional<TimePoint> confirmed = state.document->ConfirmedAt();
  std::string reason;
  return acting != nullptr && acting->incarnation == m_head->incarnation() &&
         m_head->FreshUntil(now, &reason) && confirmed &&
         now - *confirmed <= kMaxDocumentAgeFactor * m_options.max_document_age;
}

void MaintenanceCoordinator::TickPool(TimePoint now, const std::string& pool, PoolState* state) {
  StoreDocument& document = *state->document;
  document.Tick(now);
  document.KeepWatching(now, m_options.watch_timeout);
  SignalCheckpoints(now, state);
  ExpireRequests(now, pool, state);
  if (!document.Idle()) {
    return;
  }
  if (!document.Current()) {
    document.Refresh(now);
    return;
  }
  if (!state->wave || WriteNextRequest(now, pool, state) || !state->wave->Active()) {
    return;
  }
  const DaemonRecord* acting = ActingDaemon(m_head->head(), MaintenanceKey(pool));
  if (acting == nullptr || acting->incarnation != m_head->incarnation()) {
    return;
  }
  const std::optional<TimePoint> confirmed = document.ConfirmedAt();
  if (!confirmed || now - *confirmed > m_options.max_document_age) {
    document.Refresh(now);
    return;
  }
  if (!MayAdvanceWave(now, pool, *state)) {
    return;
  }
  for (const auto& [vm, entry] : state->wave->vms) {
    AdvanceVm(now, pool, vm, entry, state);
  }
  GrantPermits(now, pool, state);
  WriteChanges(now, state);
}

void MaintenanceCoordinator::AdvanceVm(TimePoint now, const std::string& pool,
                                       const std::string& id, const MaintenanceEntry& entry,
                                       PoolState* state) {
  Progress& progress = state->progress[id];
  const bool ended =
      entry.state == MaintenanceState::kDone || entry.state == MaintenanceState::kFailed;
  if (ended || progress.busy || now < progress.next || state->changes.contains(id)) {
    return;
  }
  const Vm* vm = FindVm(m_head->fleet(), id);
  if (vm == nullptr || vm->pool != pool) {
    QueueChange(now, state, id, entry, MaintenanceState::kFailed,
                "the VM is no longer in the pool");
    return;
  }
  switch (entry.state) {
    case MaintenanceState::kPermitted:
      AdvancePermitted(now, *vm, entry, state);
      return;
    case MaintenanceState::kDraining:
      AdvanceDraining(now, *vm, entry, state);
      return;
    case MaintenanceState::kRebooting:
      AdvanceRebooting(now, *vm, entry, state);
      return;
    default:
      return;
  }
}

void MaintenanceCoordinator::AdvancePermitted(TimePoint now, const Vm& vm,
                                              const MaintenanceEntry& entry, PoolState* state) {
  // The conditions are checked again before a request is sent to the worker, because the write of
  // the permit may have taken effect late and the VM may have begun to move.
  if (!m_availability.IsListCurrent(now)) {
    return;
  }
  if (vm.state != VmState::kServing) {
    QueueChange(now, state, vm.id, entry, MaintenanceState::kWaiting, "the VM moves between pools");
    return;
  }
  // The count includes every permit, so one count per tick is enough for all VMs.
  if (state->usage_at != now) {
    state->usage = UsageOf(now, vm.pool, *state->wave, nullptr);
    state->usage_at = now;
  }
  const auto pool = m_head->fleet().pools.find(vm.pool);
  if (m_availability.IsDown(now, vm) || !state->usage.IsWithinBudget(vm, pool->second.budget)) {
    QueueChange(now, state, vm.id, entry, MaintenanceState::kWaiting, "the budget is used up");
    return;
  }
  QueueChange(now, state, vm.id, entry, MaintenanceState::kDraining, "permitted");
}

void MaintenanceCoordinator::AdvanceDraining(TimePoint now, const Vm& vm,
                                             const MaintenanceEntry& entry, PoolState* state) {
  Progress& progress = state->progress[vm.id];
  if (now - progress.since > m_options.drain_limit) {
    QueueChange(now, state, vm.id, entry, MaintenanceState::kFailed, "draining took too long");
    return;
  }
  if (!entry.checkpoint && now - progress.since > m_options.checkpoint_after) {
    MaintenanceEntry next = entry;
    next.checkpoint = true;
    state->changes[vm.id] = {entry, next};
    return;
  }
  progress.busy = true;
  const auto on_status = [this, alive = std::weak_ptr<bool>(m_alive), vm](
                             TimePoint answered, const std::optional<WorkerStatus>& status,
                             std::string_view) {
    if (!alive.expired()) {
      OnDrainStatus(answered, vm, status);
    }
  };
  m_workers->SetDraining(AddressOf(vm), true,
                         [this, alive = std::weak_ptr<bool>(m_alive), vm, on_status](
                             TimePoint, bool, std::string_view) {
                           if (!alive.expired()) {
                             m_workers->GetStatus(AddressOf(vm), on_status);
                           }
                         });
}

void MaintenanceCoordinator::OnDrainStatus(TimePoint now, const Vm& vm,
                                           const std::optional<WorkerStatus>& status) {
  PoolState* state = FinishWorkerCall(now, vm, MaintenanceState::kDraining);
  if (state == nullptr || !status) {
    return;
  }
  ObserveWorker(now, vm.id, *status);
  if (status->draining && status->running == 0) {
    MaintenanceEntry next = state->wave->vms.at(vm.id);
    next.state = MaintenanceState::kRebooting;
    next.boot_id = status->boot_id;
    state->changes[vm.id] = {state->wave->vms.at(vm.id), next};
  }
}

void MaintenanceCoordinator::AdvanceRebooting(TimePoint now, const Vm& vm,
                                              const MaintenanceEntry& entry, PoolState* state) {
  Progress& progress = state->progress[vm.id];
  if (now - progress.since > m_options.reboot_limit) {
    QueueChange(now, state, vm.id, entry, MaintenanceState::kFailed,
                "the VM did not come back in time");
    return;
  }
  progress.busy = true;
  m_workers->GetStatus(
      AddressOf(vm),
      [this, alive = std::weak_ptr<bool>(m_alive), vm](
          TimePoint answered, const std::optional<WorkerStatus>& status, std::string_view) {
        if (!alive.expired()) {
          OnRebootStatus(answered, vm, status);
        }
      });
}

void MaintenanceCoordinator::OnRebootStatus(TimePoint now, const Vm& vm,
                                            const std::optional<WorkerStatus>& status) {
  PoolState* state = FinishWorkerCall(now, vm, MaintenanceState::kRebooting);
  if (state == nullptr || !status || !MayAdvanceWave(now, vm.pool, *state)) {
    return;
  }
  ObserveWorker(now, vm.id, *status);
  const MaintenanceEntry& entry = state->wave->vms.at(vm.id);
  Progress& progress = state->progress[vm.id];
  const auto ignore = [](TimePoint, bool, std::string_view) {};
  if (status->boot_id != entry.boot_id) {
    const Vm* record = FindVm(m_head->fleet(), vm.id);
    const bool serving = record != nullptr && record->state == VmState::kServing;
    if (serving && status->draining) {
      m_workers->SetDraining(AddressOf(vm), false, ignore);
    } else if (status->slots >= vm.slots) {
      QueueChange(now, state, vm.id, entry, MaintenanceState::kDone, "the VM has rebooted");
    }
    return;
  }
  if (!status->draining) {
    m_workers->SetDraining(AddressOf(vm), true, ignore);
  } else if (status->running == 0 &&
             (!progress.reboot_sent || now - *progress.reboot_sent >= m_options.reboot_repeat)) {
    progress.reboot_sent = now;
    m_decision.emit(now, fmt::format("maintenance event=reboot vm={}", vm.id));
    m_workers->Reboot(AddressOf(vm), entry.boot_id, ignore);
  }
}

void MaintenanceCoordinator::QueueChange(TimePoint now, PoolState* state, const std::string& vm,
                                         const MaintenanceEntry& entry, MaintenanceState to,
                                         std::string_view reason) {
  MaintenanceEntry next = entry;
  next.state = to;
  state->changes[vm] = {entry, next};
  m_decision.emit(now, fmt::format("maintenance event=step vm={} from={} to={} reason=\"{}\"", vm,
                                   ToString(entry.state), ToString(to), reason));
}

void MaintenanceCoordinator::WriteChanges(TimePoint now, PoolState* state) {
  MaintenanceWave next = *state->wave;
  for (const auto& [vm, change] : std::exchange(state->changes, {})) {
    const auto entry = next.vms.find(vm);
    if (entry == next.vms.end() || entry->second != change.from) {
      continue;
    }
    entry->second = change.to;
    // A VM that lost its permit is removed from a stopped wave, which starts no further VMs.
    if (next.stopping && change.to.state == MaintenanceState::kWaiting) {
      next.vms.erase(entry);
    }
  }
  if (next != *state->wave) {
    state->document->Swap(now, EncodeMaintenanceWave(next));
  }
}

void MaintenanceCoordinator::GrantPermits(TimePoint now, const std::string& pool,
                                          PoolState* state) {
  if (now < state->next_permit) {
    return;
  }
  state->next_permit = now + m_options.retry_interval;
  WaveView view;
  view.pool = &m_head->fleet().pools.find(pool)->second;
  for (const auto& [id, entry] : state->wave->vms) {
    const Vm* vm = FindVm(m_head->fleet(), id);
    if (entry.state == MaintenanceState::kWaiting && vm != nullptr && vm->pool == pool &&
        vm->state == VmState::kServing) {
      view.waiting.push_back(vm);
    }
  }
  if (view.waiting.empty()) {
    return;
  }
  m_availability.Probe(now, m_head->fleet(), pool);
  if (!m_availability.IsListCurrent(now)) {
    return;
  }
  std::erase_if(view.waiting, [&](const Vm* vm) { return m_availability.IsDown(now, *vm); });
  PoolUsage usage = UsageOf(now, pool, *state->wave, &view.unavailable);
  for (const std::string& id : m_picker(now, view)) {
    const Vm* vm = FindVm(m_head->fleet(), id);
    const bool waits =
        std::find(view.waiting.begin(), view.waiting.end(), vm) != view.waiting.end();
    if (!waits || state->changes.contains(id) || !usage.Fits(*vm, view.pool->budget)) {
      continue;
    }
    usage.Add(*vm);
    QueueChange(now, state, id, state->wave->vms.at(id), MaintenanceState::kPermitted,
                "within the budget");
    if (!m_options.test_permit_before_drain) {
      m_workers->SetDraining(AddressOf(*vm), true, [](TimePoint, bool, std::string_view) {});
    }
  }
}

PoolUsage MaintenanceCoordinator::UsageOf(TimePoint now, std::string_view pool,
                                          const MaintenanceWave& wave,
                                          std::vector<const Vm*>* unavailable) const {
  PoolUsage usage;
  for (const auto& [id, vm] : m_head->fleet().vms) {
    if (vm.pool != pool || !(wave.HasPermit(id) || m_availability.IsDown(now, vm))) {
      continue;
    }
    usage.Add(vm);
    if (unavailable != nullptr) {
      unavailable->push_back(&vm);
    }
  }
  return usage;
}

void MaintenanceCoordinator::SignalCheckpoints(TimePoint now, PoolState* state) {
  if (!state->wave) {
    return;
  }
  for (const auto& [vm, entry] : state->wave->vms) {
    if (entry.state != MaintenanceState::kDraining || !entry.checkpoint) {
      continue;
    }
    Progress& progress = state->progress[vm];
    if (!progress.checkpoint_signalled ||
        now - *progress.checkpoint_signalled >= m_options.checkpoint_repeat) {
      progress.checkpoint_signalled = now;
      m_checkpoint.emit(now, vm);
    }
  }
}

MaintenanceCoordinator::PoolState* MaintenanceCoordinator::FinishWorkerCall(
    TimePoint now, const Vm& vm, MaintenanceState expected) {
  const auto state = m_pools.find(vm.pool);
  if (state == m_pools.end()) {
    return nullptr;
  }
  const auto progress = state->second.progress.find(vm.id);
  if (progress == state->second.progress.end() || progress->second.state != expected) {
    return nullptr;
  }
  progress->second.busy = false;
  progress->second.next = now + m_options.retry_interval;
  return state->second.wave ? &state->second : nullptr;
}

}  // namespace cranberryplank
