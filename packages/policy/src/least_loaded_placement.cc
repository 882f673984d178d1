#include "cranberryplank/policy/least_loaded_placement.h"

#include <algorithm>

namespace cranberryplank {

std::optional<PlacementChoice> LeastLoadedPlacement::Choose(TimePoint /*now*/,
                                                            const PlacementRequest& request,
                                                            std::span<const WorkerView> workers,
                                                            const WorkerHealth& /*health*/,
                                                            RandomSource& /*random*/) const {
  const WorkerView* best = nullptr;
  int best_free = 0;
  for (const WorkerView& worker : workers) {
    const Vm& vm = *worker.vm;
    const bool excluded = std::find(request.excluded.begin(), request.excluded.end(), vm.id) !=
                          request.excluded.end();
    const int free = vm.slots - worker.running;
    if (!excluded && vm.pool == request.pool && vm.state == VmState::kServing && !worker.leaving &&
        free > best_free) {
      best = &worker;
      best_free = free;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return PlacementChoice{
      best->vm->id, false, best->vm->zone == request.zone, "most free slots", {}};
}

}  // namespace cranberryplank
