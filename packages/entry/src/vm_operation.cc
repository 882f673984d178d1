#include "cranberryplank/entry/vm_operation.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// Short tasks on a VM to be taken down for upkeep are stopped after this time.
constexpr Duration kVacateBound{3'500};
constexpr Duration kMoveVacateBound{2'500};
/// Vacating a VM is abandoned after this time. It may be tried again later.
constexpr Duration kVacateGiveUp{12'000};
/// The same if no task is stopped. The load that the move answers has changed by then.
constexpr Duration kEndOfTasksGiveUp{4'000};
/// Added to the expected duration of an operation, during which the VM counts as away.
constexpr Duration kAwayMargin{400};

}  // namespace

TimePoint AwayUntil(TimePoint now, Duration expected) { return now + expected + kAwayMargin; }

bool HasEnded(const VmOperation& operation, TimePoint now, TimePoint list_sent,
              const ListedVm* listed) {
  const Duration give_up = operation.lets_tasks_end ? kEndOfTasksGiveUp : kVacateGiveUp;
  const bool gave_up =
      operation.phase == VmOperation::Phase::kVacating && now - operation.since > give_up;
  // A VM counts as away until a list that was read about then or later shows it out of upkeep.
  const bool back = operation.phase == VmOperation::Phase::kAway && now >= operation.away_until &&
                    list_sent >= operation.away_until - kAwayMargin &&
                    (listed == nullptr || listed->state != ListedVmState::kInUpkeep);
  return gave_up || back;
}

Duration VacateBound(const VmOperation& operation) {
  return operation.upkeep ? kVacateBound : kMoveVacateBound;
}

int AwayForWave(std::int64_t wave, const VmOperations& operations,
                const std::map<std::string, ListedVm>& vms) {
  const auto ordered = std::count_if(operations.begin(), operations.end(), [&](const auto& item) {
    return item.second.upkeep && item.second.wave == wave;
  });
  // Orders of an earlier owner may be executed late and show only in the list.
  const auto listed = std::count_if(vms.begin(), vms.end(), [&](const auto& item) {
    return item.second.state == ListedVmState::kInUpkeep && !operations.contains(item.first);
  });
  return static_cast<int>(ordered + listed);
}

PoolSizes CountPoolSizes(const std::map<std::string, ListedVm>& vms, const VmOperations& operations,
                         const std::function<bool(const std::string& pool)>& is_standby,
                         const ZoneEvacuation& evacuated) {
  PoolSizes sizes;
  for (const auto& [id, vm] : vms) {
    const auto operation = operations.find(id);
    if (operation != operations.end()) {
      // A VM that is vacated for upkeep, or in it, runs nothing for a while, so the pool needs
      // another one instead.
      if (!operation->second.upkeep) {
        sizes.vms[operation->second.pool] += evacuated.Covers(vm.zone) ? 0 : 1;
        ++sizes.moving;
      }
    } else if (vm.state == ListedVmState::kInUpkeep || evacuated.Covers(vm.zone)) {
      continue;  // In upkeep that an earlier owner ordered, or closed for new tasks.
    } else if (vm.state != ListedVmState::kDown || is_standby(vm.pool)) {
      ++sizes.vms[vm.pool];
    }
  }
  return sizes;
}

}  // namespace cranberryplank
