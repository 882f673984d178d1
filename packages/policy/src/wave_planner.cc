#include "cranberryplank/policy/wave_planner.h"

#include <algorithm>
#include <map>

namespace cranberryplank {

Duration WaveDurationLowerBound(const AvailabilityBudget& budget, std::span<const WaveVm> vms,
                                Duration reboot) {
  Duration longest{0};
  Duration total{0};
  std::map<std::string_view, Duration> racks;
  std::map<std::string_view, Duration> zones;
  for (const WaveVm& vm : vms) {
    const Duration time = vm.drain + reboot;
    longest = std::max(longest, time);
    total += time;
    racks[vm.rack] += time;
    zones[vm.zone] += time;
  }
  Duration bound = std::max(longest, total / std::max(1, budget.per_pool));
  for (const auto& [rack, time] : racks) {
    bound = std::max(bound, time / std::max(1, budget.per_rack));
  }
  for (const auto& [zone, time] : zones) {
    bound = std::max(bound, time / std::max(1, budget.per_zone));
  }
  return bound;
}

}  // namespace cranberryplank
