#include "cranberryplank/control/vm_mover.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/control/acting_daemon.h"
#include "cranberryplank/control/maintenance_wave.h"
#include "cranberryplank/control/store_document.h"

namespace cranberryplank {

namespace {

/// Minimum time between two undrain attempts for one worker, so that a slow worker does not receive
/// a second request while the first is pending.
constexpr Duration kUndrainInterval{2'000};

WorkerAddress AddressOf(const Vm& vm) { return WorkerAddress{vm.host, vm.port}; }

bool IsMoving(const Vm& vm) { return vm.state != VmState::kServing; }

std::optional<std::string> MoveRefusalReason(const Fleet& fleet, std::string_view id,
                                             std::string_view from, std::string_view to) {
  const auto vm = fleet.vms.find(id);
  if (vm == fleet.vms.end()) {
    return fmt::format("VM {} is unknown", id);
  }
  if (!to.empty() && !fleet.pools.contains(to)) {
    return fmt::format("pool {} is unknown", to);
  }
  if (IsMoving(vm->second)) {
    return fmt::format("VM {} already moves to pool {}", id, vm->second.target_pool);
  }
  if (vm->second.pool == to) {
    return fmt::format("VM {} is in pool {} already", id, to);
  }
  if (vm->second.pool != from) {
    return fmt::format("VM {} was moved to pool {} meanwhile", id, vm->second.pool);
  }
  return std::nullopt;
}

/// Returns whether `vm` holds a maintenance permit, or nothing if this is unknown.
std::optional<bool> UnderMaintenance(const StoreReadReply& reply, std::string_view vm) {
  if (reply.status != StoreStatus::kOk) {
    return std::nullopt;
  }
  std::string reason;
  const std::optional<std::string> content =
      reply.found ? StoreDocument::ContentOf(reply.value) : std::optional<std::string>("");
  const std::optional<MaintenanceWave> wave =
      content ? DecodeMaintenanceWave(*content, &reason) : std::nullopt;
  return wave ? std::optional(wave->HasPermit(vm)) : std::nullopt;
}

}  // namespace

VmMover::VmMover(HeadControl* head, Store* store, WorkerClient* workers, RandomSource* random,
                 const VmMoverOptions& options)
    : m_head(head), m_store(store), m_workers(workers), m_random(random), m_options(options) {}

void VmMover::Start(TimePoint now, std::string_view vm, std::string_view pool,
                    HeadControl::ChangeCallback done, const ChangeIdentity& identity) {
  const auto record = m_head->fleet().vms.find(vm);
  const std::string from = record == m_head->fleet().vms.end() ? "" : record->second.pool;
  const Request request{std::string(vm), from, std::string(pool), identity, std::move(done)};
  if (const auto refusal = MoveRefusalReason(m_head->fleet(), vm, from, pool)) {
    Refuse(now, request, *refusal, ChangeOutcome::kRejected);
    return;
  }
  m_store->Read(MaintenanceKey(from), [this, alive = std::weak_ptr<bool>(m_alive), request](
                                          TimePoint answered, const StoreReadReply& reply) {
    if (!alive.expired()) {
      StartChecked(answered, request, UnderMaintenance(reply, request.vm));
    }
  });
}

void VmMover::StartChecked(TimePoint now, const Request& request,
                           std::optional<bool> under_maintenance) {
  if (!under_maintenance) {
    Refuse(now, request, "the maintenance document cannot be read", ChangeOutcome::kUnavailable);
    return;
  }
  if (*under_maintenance) {
    Refuse(now, request, fmt::format("VM {} is under maintenance", request.vm),
           ChangeOutcome::kRejected);
    return;
  }
  const std::string move_id = m_random->Nonce();
  const auto edit = [id = request.vm, from = request.from, to = request.to, move_id](
                        const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    if (const auto refusal = MoveRefusalReason(current, id, from, to)) {
      *last_reason = *refusal;
      return std::nullopt;
    }
    Fleet next = current;
    Vm& vm = next.vms.at(id);
    vm.state = VmState::kDraining;
    vm.target_pool = to;
    vm.move_id = move_id;
    return next;
  };
  SubmitRecorded(now, m_head,
                 fmt::format("move VM {} from pool {} to {}", request.vm, request.from, request.to),
                 request.identity, edit, LoggingCallback("start", request.vm, request.done));
}

void VmMover::Cancel(TimePoint now, std::string_view vm, HeadControl::ChangeCallback done,
                     const ChangeIdentity& identity) {
  const std::string id(vm);
  const auto edit = [id](const Fleet& current, std::string* last_reason) -> std::optional<Fleet> {
    const auto found = current.vms.find(id);
    if (found == current.vms.end()) {
      *last_reason = fmt::format("VM {} is unknown", id);
      return std::nullopt;
    }
    if (!IsMoving(found->second)) {
      *last_reason = fmt::format("VM {} neither moves nor is drained", id);
      return std::nullopt;
    }
    Fleet next = current;
    Vm& record = next.vms.at(id);
    record.state = VmState::kServing;
    record.target_pool.clear();
    record.move_id.clear();
    record.boot_id.clear();
    return next;
  };
  SubmitRecorded(now, m_head, fmt::format("cancel the move of VM {}", id), identity, edit,
                 LoggingCallback("cancel", id, std::move(done)));
}

HeadControl::ChangeCallback VmMover::LoggingCallback(std::string_view event, const std::string& vm,
                                                     HeadControl::ChangeCallback done) {
  return [this, alive = std::weak_ptr<bool>(m_alive), event = std::string(event), vm,
          done = std::move(done)](TimePoint now, const ChangeResult& result) {
    if (alive.expired()) {
      return;
    }
    m_decision.emit(now, fmt::format("move event={} vm={} recorded={} reason=\"{}\"", event, vm,
                                     result.outcome == ChangeOutcome::kRecorded, result.reason));
    done(now, result);
  };
}

void VmMover::Refuse(TimePoint now, const Request& request, std::string_view reason,
                     ChangeOutcome outcome) {
  // For a repeated change the VM already moves because of the first submission.
  if (const auto recorded = FindRecorded(m_head->fleet(), request.identity)) {
    request.done(now, *recorded);
    return;
  }
  m_decision.emit(now, fmt::format("move event=refused vm={} reason=\"{}\"", request.vm, reason));
  request.done(now, ChangeResult{outcome, 0, std::string(reason)});
}

void VmMover::ObserveWorker(TimePoint now, std::string_view vm, const WorkerStatus& status) {
  const auto record = m_head->fleet().vms.find(vm);
  if (!status.draining || record == m_head->fleet().vms.end() || IsMoving(record->second) ||
      !IsActingDaemon(vm)) {
    return;
  }
  UndrainServingWorker(now, record->second);
}

std::vector<VmMover::Move> VmMover::Moves() const {
  std::vector<Move> moves;
  for (const auto& [id, vm] : m_head->fleet().vms) {
    if (vm.state == VmState::kServing) {
      continue;
    }
    const auto progress = m_progress.find(id);
    moves.push_back(Move{id, vm.pool, vm.target_pool, vm.state,
                         progress == m_progress.end() ? "not started" : progress->second.step});
  }
  return moves;
}

void VmMover::Tick(TimePoint now) {
  const Fleet& fleet = m_head->fleet();
  if (m_scanned_revision != fleet.revision) {
    m_scanned_revision = fleet.revision;
    m_moving.clear();
    for (const auto& [id, vm] : fleet.vms) {
      if (IsMoving(vm)) {
        m_moving.push_back(id);
      }
    }
    std::erase_if(m_progress, [&](const auto& item) {
      return !std::binary_search(m_moving.begin(), m_moving.end(), item.first);
    });
  }
  for (const std::string& id : m_moving) {
    const Vm& vm = fleet.vms.find(id)->second;
    const bool out_of_service = vm.state == VmState::kEmpty && vm.target_pool.empty();
    if (!out_of_service) {
      Advance(now, vm);
    }
  }
  SubmitSteps(now);
}

void VmMover::Advance(TimePoint now, const Vm& vm) {
  Progress& progress = m_progress[vm.id];
  if (progress.move_id != vm.move_id || progress.state != vm.state ||
      progress.boot_id != vm.boot_id) {
    progress = Progress{};
    progress.move_id = vm.move_id;
    progress.state = vm.state;
    progress.boot_id = vm.boot_id;
    progress.revision = m_head->head().revision;
    progress.next = now;
    progress.state_since = now;
  }
  std::string reason;
  if (progress.busy || now < progress.next || !IsActingDaemon(vm.id) ||
      m_head->head().revision < progress.recorded) {
    return;
  }
  if (!m_head->FreshUntil(now, &reason)) {
    RetryLater(now, vm, reason);
    return;
  }
  // The draining state was recorded at `progress.revision` or earlier. Once that revision is in
  // effect, no daemon starts tasks on the VM.
  if (m_options.test_wait_for_effect && vm.state == VmState::kDraining &&
      !m_head->StatusOf(progress.revision, now).in_effect) {
    RetryLater(now, vm, "draining is not in effect yet");
    return;
  }
  // A revision is in effect as soon as every daemon has acknowledged it. The last start request
  // sent under the previous revision may still reach the worker before its start-by deadline.
  if (m_options.test_wait_for_effect && vm.state == VmState::kEmpty &&
      now - progress.state_since < m_options.start_request_expiry) {
    RetryLater(now, vm, "earlier start requests may still reach the worker");
    return;
  }
  progress.busy = true;
  progress.step = "checking maintenance";
  if (vm.state == VmState::kDraining) {
    CheckMaintenance(vm);
  } else {
    CheckBoot(vm);
  }
}

void VmMover::CheckMaintenance(const Vm& vm) {
  m_store->Read(MaintenanceKey(vm.pool), [this, alive = std::weak_ptr<bool>(m_alive), vm](
                                             TimePoint now, const StoreReadReply& reply) {
    if (alive.expired() || !CheckStillValid(now, vm)) {
      return;
    }
    const std::optional<bool> under_maintenance = UnderMaintenance(reply, vm.id);
    if (!under_maintenance || *under_maintenance) {
      RetryLater(now, vm, under_maintenance ? "the VM is under maintenance" : reply.reason);
      return;
    }
    DrainWorker(vm);
  });
}

void VmMover::DrainWorker(const Vm& vm) {
  m_workers->SetDraining(AddressOf(vm), true,
                         [this, alive = std::weak_ptr<bool>(m_alive), vm](TimePoint now, bool ok,
                                                                          std::string_view reason) {
                           if (alive.expired() || !CheckStillValid(now, vm)) {
                             return;
                           }
                           if (!ok) {
                             RetryLater(now, vm,
                                        fmt::format("the worker was not drained: {}", reason));
                             return;
                           }
                           CheckEmpty(vm);
                         });
}

void VmMover::CheckEmpty(const Vm& vm) {
  m_workers->GetStatus(AddressOf(vm), [this, alive = std::weak_ptr<bool>(m_alive), vm](
                                          TimePoint now, const std::optional<WorkerStatus>& status,
                                          std::string_view reason) {
    if (alive.expired() || !CheckStillValid(now, vm)) {
      return;
    }
    if (!status || !status->draining || status->running > 0) {
      RetryLater(now, vm,
                 status ? fmt::format("{} tasks still run", status->running) : std::string(reason));
      return;
    }
    Vm empty = vm;
    empty.state = VmState::kEmpty;
    empty.boot_id = status->boot_id;
    QueueStep(vm, empty);
  });
}

void VmMover::CheckBoot(const Vm& vm) {
  m_workers->GetStatus(AddressOf(vm), [this, alive = std::weak_ptr<bool>(m_alive), vm](
                                          TimePoint now, const std::optional<WorkerStatus>& status,
                                          std::string_view reason) {
    if (alive.expired() || !CheckStillValid(now, vm)) {
      return;
    }
    if (!status || (status->boot_id == vm.boot_id && status->running > 0)) {
      RetryLater(now, vm, status ? "an empty VM runs tasks" : reason);
    } else if (status->boot_id != vm.boot_id) {
      DrainWorker(vm);  // The worker rebooted after the check, so drain and check it again.
    } else if (!m_head->fleet().pools.contains(vm.target_pool)) {
      RetryLater(now, vm, "the target pool no longer exists; cancel the move");
    } else {
      Undrain(vm);
    }
  });
}

void VmMover::Undrain(const Vm& vm) {
  // The worker is undrained before the pool changes. This is safe because no daemon sends tasks to
  // an empty VM, and if this daemon fails here, the next acting daemon completes the move.
  m_workers->SetDraining(
      AddressOf(vm), false,
      [this, alive = std::weak_ptr<bool>(m_alive), vm](TimePoint now, bool ok,
                                                       std::string_view reason) {
        if (alive.expired() || !CheckStillValid(now, vm)) {
          return;
        }
        if (!ok) {
          RetryLater(now, vm, fmt::format("the worker was not put back to work: {}", reason));
          return;
        }
        Vm serving = vm;
        serving.state = VmState::kServing;
        serving.pool = vm.target_pool;
        serving.target_pool.clear();
        serving.move_id.clear();
        serving.boot_id.clear();
        QueueStep(vm, serving);
      });
}

void VmMover::UndrainServingWorker(TimePoint now, const Vm& vm) {
  std::string reason;
  TimePoint& next = m_next_undrain[vm.id];
  if (now < next || !m_head->FreshUntil(now, &reason)) {
    return;
  }
  next = now + kUndrainInterval;
  m_store->Read(MaintenanceKey(vm.pool), [this, alive = std::weak_ptr<bool>(m_alive), vm](
                                             TimePoint answered, const StoreReadReply& reply) {
    std::string why;
    if (alive.expired() || UnderMaintenance(reply, vm.id).value_or(true) ||
        !m_head->FreshUntil(answered, &why) || !Unchanged(vm)) {
      return;
    }
    m_decision.emit(answered, fmt::format("move event=undrain vm={} reason=\"the VM is serving "
                                          "but its worker is draining\"",
                                          vm.id));
    m_workers->SetDraining(AddressOf(vm), false, [](TimePoint, bool, std::string_view) {});
  });
}

void VmMover::QueueStep(const Vm& from, const Vm& to) {
  m_progress[from.id].step = "submitting the head change";
  m_queued_steps.push_back(Step{from, to});
}

void VmMover::SubmitSteps(TimePoint now) {
  if (m_submitting || m_queued_steps.empty()) {
    return;
  }
  // All queued steps share one change, because changes of the head are made one at a time.
  m_submitting = true;
  const std::vector<Step> steps = std::exchange(m_queued_steps, {});
  const auto edit = [steps](const Fleet& current,
                            std::string* last_reason) -> std::optional<Fleet> {
    Fleet next = current;
    bool applied = false;
    for (const Step& step : steps) {
      const auto vm = next.vms.find(step.from.id);
      const bool pool_exists = next.pools.contains(step.to.pool);
      if (vm != next.vms.end() && vm->second == step.from && pool_exists) {
        vm->second = step.to;
        applied = true;
      }
    }
    *last_reason = "the VMs' records have changed";
    return applied ? std::optional(std::move(next)) : std::nullopt;
  };
  const auto done = [this, alive = std::weak_ptr<bool>(m_alive), steps](
                        TimePoint answered, const ChangeResult& result) {
    if (alive.expired()) {
      return;
    }
    m_submitting = false;
    for (const Step& step : steps) {
      m_decision.emit(
          answered, fmt::format("move event=step vm={} state={} pool={} recorded={} reason=\"{}\"",
                                step.to.id, ToString(step.to.state), step.to.pool,
                                result.outcome == ChangeOutcome::kRecorded, result.reason));
      const auto progress = m_progress.find(step.from.id);
      if (progress != m_progress.end() && result.outcome == ChangeOutcome::kRecorded) {
        progress->second.recorded = result.revision;
      }
      RetryLater(answered, step.from, result.reason);
    }
  };
  m_head->Submit(now, "advance moves of VMs", edit, done);
}

void VmMover::RetryLater(TimePoint now, const Vm& vm, std::string_view step) {
  const auto progress = m_progress.find(vm.id);
  if (progress == m_progress.end() || progress->second.move_id != vm.move_id ||
      progress->second.state != vm.state || progress->second.boot_id != vm.boot_id) {
    return;
  }
  progress->second.busy = false;
  progress->second.next = now + m_options.retry_interval;
  progress->second.step = step;
}

bool VmMover::CheckStillValid(TimePoint now, const Vm& vm) {
  std::string reason = "the VM's record has changed";
  if (Unchanged(vm) && m_head->FreshUntil(now, &reason)) {
    return true;
  }
  RetryLater(now, vm, reason);
  return false;
}

bool VmMover::Unchanged(const Vm& vm) const {
  const auto record = m_head->fleet().vms.find(vm.id);
  return record != m_head->fleet().vms.end() && record->second == vm;
}

bool VmMover::IsActingDaemon(std::string_view vm) const {
  const DaemonRecord* acting = ActingDaemon(m_head->head(), vm);
  return acting != nullptr && acting->incarnation == m_head->incarnation();
}

}  // namespace cranberryplank
