#include "cranberryplank/policy/capacity_estimator.h"

namespace cranberryplank {

PoolCapacity CapacityEstimator::Estimate(TimePoint now, std::string_view pool,
                                         std::span<const WorkerView> workers,
                                         const WorkerHealth& health) {
  PoolCapacity capacity;
  for (const WorkerView& worker : workers) {
    const Vm& vm = *worker.vm;
    if (vm.pool != pool) {
      continue;
    }
    capacity.total += vm.slots;
    if (vm.state == VmState::kServing && !worker.leaving && !health.Quarantined(vm.id)) {
      capacity.usable += vm.slots;
    }
    capacity.free += FreeSlotsOf(now, worker, pool, health);
  }
  return capacity;
}

}  // namespace cranberryplank
