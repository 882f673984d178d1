#include "cranberryplank/daemon/wave_order.h"

#include <memory>

#include "cranberryplank/policy/budget_wave_planner.h"

namespace cranberryplank {

namespace {

/// Assumed duration of a VM reboot.
constexpr Duration kAssumedReboot{60'000};

WaveVm ToWaveVm(const Vm& vm, RequestRouter* router) {
  return WaveVm{vm.id, vm.zone, vm.rack, router->runner().ExpectedDrain(vm.id)};
}

}  // namespace

WavePicker WaveOrderOf(RequestRouter* router) {
  const auto planner = std::make_shared<BudgetWavePlanner>(WaveOrder::kTightestBudget);
  return [planner, router](TimePoint /*now*/, const WaveView& view) {
    WaveState state;
    state.budget = view.pool->budget;
    state.reboot = kAssumedReboot;
    for (const Vm* vm : view.waiting) {
      state.pending.push_back(ToWaveVm(*vm, router));
    }
    for (const Vm* vm : view.unavailable) {
      state.down.push_back(ToWaveVm(*vm, router));
    }
    return planner->Next(state);
  };
}

}  // namespace cranberryplank
