#include "cranberryplank/scheduler/upkeep_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace cranberryplank {

namespace {

/// Time from the start of vacating a VM until it is back in its pool.
constexpr Duration kCycle{4'500};
/// The wave is planned to end after this share of its time.
constexpr double kPlannedShare = 0.5;
/// Share of a pool that may be unavailable at once while work waits there.
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

/// Returns the sort key of a VM in its wave. VMs with long-running tasks take longest, because only
/// a few tasks of a step may be unavailable at a time. They begin first, so that they do not delay
/// the end of the wave.
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
    // VMs of a standby pool run nothing, so only the wave's own limit applies to them.
    const int limit = candidate.standby ? wave.max_at_once : at_once;
    if (unavailable < limit && PoolAllows(candidate, urgent)) {
      chosen.push_back(candidate.vm);
      ++unavailable;
    }
  }
  return chosen;
}

}  // namespace cranberryplank
