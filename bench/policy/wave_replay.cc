#include "wave_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <vector>

namespace cranberryplank::bench {

namespace {

constexpr int kTasksPerVm = 8;
// Maximum relative deviation of a reboot's duration from its estimate.
constexpr double kRebootSpread = 0.1;

struct VmReboot {
  WaveVm estimate;
  Duration actual{0};  // Actual drain plus reboot.
};

struct VmReturn {
  Duration time{0};
  std::size_t vm = 0;
  bool operator>(const VmReturn& other) const { return time > other.time; }
};

Duration ToDuration(double seconds) { return Duration(std::llround(seconds * 1e3)); }

std::vector<VmReboot> DrawWave(const Deployment& deployment, const QueueShape& shape,
                               RandomSource& random) {
  std::vector<VmReboot> reboots;
  for (const auto& [id, vm] : deployment.fleet.vms) {
    if (vm.pool != shape.pool) {
      continue;
    }
    // A drain lasts until the longest remaining task ends. The estimate ignores how long the tasks
    // have already run.
    double drain = 0;
    double estimate = 0;
    const auto running = random.Below(kTasksPerVm + 1);
    for (std::uint64_t i = 0; i < running; ++i) {
      const double run = DrawRunSeconds(shape.run_seconds, random);
      estimate = std::max(estimate, run);
      drain = std::max(drain, run * random.Fraction());
    }
    const double reboot = std::chrono::duration<double>(deployment.reboot).count() *
                          (1 + kRebootSpread * (2 * random.Fraction() - 1));
    reboots.push_back(
        VmReboot{WaveVm{id, vm.zone, vm.rack, ToDuration(estimate)}, ToDuration(drain + reboot)});
  }
  return reboots;
}

bool WithinBudget(const AvailabilityBudget& budget, const std::vector<WaveVm>& down) {
  std::map<std::string, int> racks;
  std::map<std::string, int> zones;
  bool within = static_cast<int>(down.size()) <= budget.per_pool;
  for (const WaveVm& vm : down) {
    within = within && ++racks[vm.rack] <= budget.per_rack && ++zones[vm.zone] <= budget.per_zone;
  }
  return within;
}

// Simulates the wave of one pool and returns its rollout time.
Duration RunWave(const AvailabilityBudget& budget, Duration reboot,
                 const std::vector<VmReboot>& reboots, const WavePlanner& planner,
                 int* budget_violations) {
  WaveState state;
  state.budget = budget;
  state.reboot = reboot;
  for (const VmReboot& vm_reboot : reboots) {
    state.pending.push_back(vm_reboot.estimate);
  }
  std::priority_queue<VmReturn, std::vector<VmReturn>, std::greater<>> returns;
  Duration now{0};
  while (!state.pending.empty() || !returns.empty()) {
    for (const std::string& id : planner.Next(state)) {
      const auto pending = std::find_if(state.pending.begin(), state.pending.end(),
                                        [&](const WaveVm& vm) { return vm.id == id; });
      state.down.push_back(*pending);
      state.pending.erase(pending);
      const auto vm_reboot = std::find_if(reboots.begin(), reboots.end(),
                                          [&](const VmReboot& t) { return t.estimate.id == id; });
      returns.push(
          VmReturn{now + vm_reboot->actual, static_cast<std::size_t>(vm_reboot - reboots.begin())});
    }
    *budget_violations += WithinBudget(budget, state.down) ? 0 : 1;
    if (returns.empty()) {
      break;
    }
    now = returns.top().time;
    const std::string& id = reboots[returns.top().vm].estimate.id;
    std::erase_if(state.down, [&](const WaveVm& vm) { return vm.id == id; });
    returns.pop();
  }
  return now;
}

}  // namespace

WaveResult ReplayWaves(const Deployment& deployment, const WavePlanner& planner, int waves,
                       std::uint64_t seed) {
  SeededRandom random(seed);
  WaveResult result;
  for (int wave = 0; wave < waves; ++wave) {
    Duration rollout{0};
    Duration bound{0};
    for (const QueueShape& shape : deployment.queues) {
      const std::vector<VmReboot> reboots = DrawWave(deployment, shape, random);
      const AvailabilityBudget& budget = deployment.fleet.pools.at(shape.pool).budget;
      rollout = std::max(
          rollout, RunWave(budget, deployment.reboot, reboots, planner, &result.budget_violations));
      // The bound is computed from the actual times.
      std::vector<WaveVm> actual;
      for (const VmReboot& vm_reboot : reboots) {
        actual.push_back(vm_reboot.estimate);
        actual.back().drain = vm_reboot.actual;
      }
      bound = std::max(bound, WaveDurationLowerBound(budget, actual, Duration(0)));
    }
    const double ratio_to_bound =
        std::chrono::duration<double>(rollout) / std::chrono::duration<double>(bound);
    result.mean_ratio_to_bound += ratio_to_bound / waves;
    result.worst_ratio_to_bound = std::max(result.worst_ratio_to_bound, ratio_to_bound);
    result.mean_seconds += std::chrono::duration<double>(rollout).count() / waves;
  }
  return result;
}

}  // namespace cranberryplank::bench
