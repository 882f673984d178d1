#include "cranberryplank/scheduler/pool_planner.h"

#include <algorithm>
#include <cmath>

namespace cranberryplank {

namespace {

/// Share of a pool's cores that whole tasks can use.
constexpr double kUsableShare = 0.85;
/// Time over which arrivals are averaged.
constexpr double kRateSeconds = 0.8;
/// VMs that every pool keeps for the first jobs of a load peak.
constexpr int kSpareVms = 3;

}  // namespace

int WantedVms(const JobPoolLoad& load) {
  const double cores = std::max(load.vm_cores, 1.0) * kUsableShare;
  const double batch = std::max(load.running_cores + load.waiting_cores, load.arriving_cores);
  const int needed =
      static_cast<int>(std::ceil((load.long_running_cores + batch) / cores)) + kSpareVms;
  return std::max(needed, load.long_running_vms);
}

std::vector<PoolMove> PlanMoves(std::span<const JobPoolLoad> loads,
                                const std::map<std::string, int>& movable) {
  struct Pool {
    const JobPoolLoad* load = nullptr;
    int shortage = 0;  ///< Negative if the pool has a surplus.
    int movable_vms = 0;
  };
  std::vector<Pool> pools;
  const JobPoolLoad* standby = nullptr;
  int movable_standby_vms = 0;
  for (const JobPoolLoad& load : loads) {
    const auto it = movable.find(load.pool);
    const int movable_vms = it == movable.end() ? 0 : it->second;
    if (load.standby) {
      standby = &load;
      movable_standby_vms = movable_vms;
      continue;
    }
    pools.push_back({&load, WantedVms(load) - load.vms, movable_vms});
  }
  std::sort(pools.begin(), pools.end(),
            [](const Pool& a, const Pool& b) { return a.shortage > b.shortage; });
  std::vector<PoolMove> moves;
  for (Pool& recipient : pools) {
    for (auto donor = pools.rbegin(); donor != pools.rend() && recipient.shortage > 0; ++donor) {
      while (recipient.shortage > 0 && donor->shortage < 0 && donor->movable_vms > 0) {
        moves.push_back({donor->load->pool, recipient.load->pool});
        --recipient.shortage;
        ++donor->shortage;
        --donor->movable_vms;
      }
    }
    while (standby != nullptr && recipient.shortage > 0 && movable_standby_vms > 0) {
      moves.push_back({standby->pool, recipient.load->pool});
      --recipient.shortage;
      --movable_standby_vms;
    }
  }
  for (Pool& pool : pools) {
    while (standby != nullptr && pool.shortage < 0 && pool.movable_vms > 0) {
      moves.push_back({pool.load->pool, standby->pool});
      ++pool.shortage;
      --pool.movable_vms;
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
