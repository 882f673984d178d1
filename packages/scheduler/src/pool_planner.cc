#include "cranberryplank/scheduler/pool_planner.h"

#include <algorithm>
#include <cmath>

namespace cranberryplank {

namespace {

/// Part of a pool's cores that whole tasks can fill.
constexpr double kUsablePart = 0.85;
/// Time over which arrivals are averaged.
constexpr double kRateSeconds = 0.8;
/// VMs that every pool keeps for the first jobs of a turn.
constexpr int kSpareVms = 3;

}  // namespace

int WantedVms(const PoolLoad& load) {
  const double cores = std::max(load.vm_cores, 1.0) * kUsablePart;
  const double batch = std::max(load.running_cores + load.waiting_cores, load.arriving_cores);
  const int needed =
      static_cast<int>(std::ceil((load.long_running_cores + batch) / cores)) + kSpareVms;
  return std::max(needed, load.long_running_vms);
}

std::vector<PlannedMove> PlanMoves(std::span<const PoolLoad> loads,
                                   const std::map<std::string, int>& movable) {
  struct Pool {
    const PoolLoad* load = nullptr;
    int short_of = 0;  ///< Negative: more than wanted.
    int can_go = 0;
  };
  std::vector<Pool> pools;
  const PoolLoad* standby = nullptr;
  int standby_can_go = 0;
  for (const PoolLoad& load : loads) {
    const auto it = movable.find(load.pool);
    const int can_go = it == movable.end() ? 0 : it->second;
    if (load.standby) {
      standby = &load;
      standby_can_go = can_go;
      continue;
    }
    pools.push_back({&load, WantedVms(load) - load.vms, can_go});
  }
  std::sort(pools.begin(), pools.end(),
            [](const Pool& a, const Pool& b) { return a.short_of > b.short_of; });
  std::vector<PlannedMove> moves;
  for (Pool& needy : pools) {
    for (auto donor = pools.rbegin(); donor != pools.rend() && needy.short_of > 0; ++donor) {
      while (needy.short_of > 0 && donor->short_of < 0 && donor->can_go > 0) {
        moves.push_back({donor->load->pool, needy.load->pool});
        --needy.short_of;
        ++donor->short_of;
        --donor->can_go;
      }
    }
    while (standby != nullptr && needy.short_of > 0 && standby_can_go > 0) {
      moves.push_back({standby->pool, needy.load->pool});
      --needy.short_of;
      --standby_can_go;
    }
  }
  for (Pool& pool : pools) {
    while (standby != nullptr && pool.short_of < 0 && pool.can_go > 0) {
      moves.push_back({pool.load->pool, standby->pool});
      ++pool.short_of;
      --pool.can_go;
    }
  }
  return moves;
}

void ArrivalRate::Decay(TimePoint now) {
  const double elapsed = std::chrono::duration<double>(now - m_updated).count();
  m_rate *= std::exp(-elapsed / kRateSeconds);
  m_updated = now;
}

void ArrivalRate::Add(TimePoint now, double core_s) {
  Decay(now);
  m_rate += core_s / kRateSeconds;
}

double ArrivalRate::Current(TimePoint now) const {
  ArrivalRate decayed = *this;
  decayed.Decay(now);
  return decayed.m_rate;
}

}  // namespace cranberryplank
