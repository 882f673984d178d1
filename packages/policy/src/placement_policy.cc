#include "cranberryplank/policy/placement_policy.h"

#include <algorithm>

namespace cranberryplank {

int FreeSlotsOf(TimePoint now, const WorkerView& worker, std::string_view pool,
                const WorkerHealth& health) {
  const Vm& vm = *worker.vm;
  if (vm.pool != pool || vm.state != VmState::kServing || worker.leaving ||
      health.Quarantined(vm.id)) {
    return 0;
  }
  return std::max(0, vm.slots - worker.running - health.PenaltySlots(now, vm.id));
}

}  // namespace cranberryplank
