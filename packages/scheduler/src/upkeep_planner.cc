#include "cranberryplank/scheduler/upkeep_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cranberryplank {

namespace {

/// Time from beginning to vacate a VM until it is back in its pool.
constexpr Duration kCycle{4'500};
/// The wave is planned to end after this part of its time.
constexpr double kPlannedShare = 0.5;
/// Part of a pool that may be away at once while work waits there.
constexpr double kMaxUnavailableShareOfBusyPool = 0.2;
constexpr double kBusyPressure = 0.3;

int WantedAtOnce(const UpkeepWaveState& wave) {
  const double left =
      std::max<double>(static_cast<double>(wave.time_left.count()) * kPlannedShare, 1.0);
  const double needed = std::ceil(wave.remaining * static_cast<double>(kCycle.count()) / left);
  return std::min(wave.max_at_once, std::max(static_cast<int>(std::min(needed, 1e6)), 1));
}

bool PoolAllows(const UpkeepCandidate& candidate, bool urgent) {
  if (candidate.standby || urgent || candidate.pool_pressure < kBusyPressure) {
    return true;
  }
  return candidate.pool_unavailable + 1 <=
         std::max(1.0, kMaxUnavailableShareOfBusyPool * candidate.pool_size);
}

/// VMs with long-running tasks take longest, since a step may miss only a few of its tasks at a
/// time: they begin first, so that the wave does not end with them.
auto PlaceInWave(const UpkeepCandidate& candidate) {
  return std::make_tuple(!candidate.standby, -candidate.long_running,
                         candidate.pool_pressure >= kBusyPressure, candidate.runs, candidate.vm);
}

}  // namespace

std::vector<std::string> ChooseUpkeep(const UpkeepWaveState& wave,
                                      std::span<const UpkeepCandidate> candidates) {
  std::vector<UpkeepCandidate> order(candidates.begin(), candidates.end());
  std::sort(order.begin(), order.end(),
            [](const auto& a, const auto& b) { return PlaceInWave(a) < PlaceInWave(b); });
  const int at_once = WantedAtOnce(wave);
  const bool urgent = at_once >= wave.max_at_once;
  std::vector<std::string> chosen;
  int unavailable = wave.unavailable;
  for (const UpkeepCandidate& candidate : order) {
    // VMs of a standby pool run nothing: only the wave's own limit holds for them.
    const int limit = candidate.standby ? wave.max_at_once : at_once;
    if (unavailable < limit && PoolAllows(candidate, urgent)) {
      chosen.push_back(candidate.vm);
      ++unavailable;
    }
  }
  return chosen;
}

}  // namespace cranberryplank
