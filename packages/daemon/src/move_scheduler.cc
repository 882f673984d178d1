#include "cranberryplank/daemon/move_scheduler.h"

#include "cranberryplank/control/acting_daemon.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// The planner must be called about once a second.
constexpr Duration kPlanInterval{1'000};

constexpr std::string_view kActingRole = "moves";

}  // namespace

void MoveScheduler::Tick(TimePoint now) {
  if (m_next_plan && now < *m_next_plan) {
    return;
  }
  m_next_plan = now + kPlanInterval;
  const DaemonRecord* acting = ActingDaemon(m_parts.head->head(), kActingRole);
  std::string reason;
  const bool acts = acting != nullptr && acting->incarnation == m_parts.head->incarnation() &&
                    m_parts.head->FreshUntil(now, &reason).has_value();
  if (!acts) {
    return;
  }
  const std::vector<PoolLoad> loads = Loads(now);
  for (const PlannedMove& move : m_parts.planner->Plan(now, loads)) {
    Start(now, move);
  }
}

std::vector<PoolLoad> MoveScheduler::Loads(TimePoint now) const {
  std::vector<PoolLoad> loads;
  for (const auto& [name, pool] : m_parts.head->fleet().pools) {
    loads.push_back(LoadOf(now, pool));
  }
  return loads;
}

PoolLoad MoveScheduler::LoadOf(TimePoint now, const Pool& pool) const {
  PoolLoad load;
  load.pool = pool;
  for (const DaemonDemand& demand : m_parts.router->demand().TotalDemand(now, pool.name).demand) {
    load.running += demand.running;
    load.waiting += demand.waiting;
  }
  load.lost = m_parts.router->demand().LostIn(pool.name);
  load.run_time = m_parts.router->demand().ExpectedRunTimeIn(pool.name);
  TaskRunner& runner = m_parts.router->runner();
  for (const WorkerView& view : runner.workers().Views(now, pool.name)) {
    MovableVm vm;
    vm.id = view.vm->id;
    vm.zone = view.vm->zone;
    vm.rack = view.vm->rack;
    vm.slots = view.vm->slots;
    vm.running = view.running;
    vm.serving = view.vm->state == VmState::kServing && !view.leaving &&
                 !m_parts.router->suspects().OutOfService(now, vm.id);
    vm.target_pool = view.vm->target_pool;
    load.vms.push_back(std::move(vm));
  }
  return load;
}

void MoveScheduler::Start(TimePoint now, const PlannedMove& move) {
  LogLine(LogLevel::kInfo, "move_planned")
      .Field("vm", move.vm)
      .Field("from", move.from)
      .Field("to", move.to)
      .Field("reason", move.reason);
  m_parts.mover->Start(now, move.vm, move.to, [](TimePoint /*at*/, const ChangeResult& /*result*/) {
    // The mover logs the outcome. A refused move is planned again while the shortage lasts.
  });
}

}  // namespace cranberryplank
