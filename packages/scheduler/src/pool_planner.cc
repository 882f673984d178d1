#include "cranberryplank/scheduler/pool_planner.h"

#include <algorithm>
#include <cmath>

#include "cranberryplank/scheduler/fleet_division.h"

namespace cranberryplank {

namespace {

/// Share of a pool's cores that whole tasks can use.
constexpr double kUsableShare = 0.85;
/// Time over which arrivals are averaged.
constexpr double kRateSeconds = 0.8;
/// VMs that every pool keeps for the first jobs of a load peak.
constexpr int kSpareVms = 3;

/// Returns the number of VMs for the long-running tasks of a pool and the given batch work.
int VmsFor(const JobPoolLoad& load, double batch_cores) {
  const double cores = std::max(load.vm_cores, 1.0) * kUsableShare;
  const int needed =
      static_cast<int>(std::ceil((load.long_running_cores + batch_cores) / cores)) + kSpareVms;
  return std::max(needed, load.long_running_vms);
}

std::vector<PoolClaim> ClaimsOf(std::span<const JobPoolLoad> loads) {
  std::vector<PoolClaim> claims;
  for (const JobPoolLoad& load : loads) {
    PoolClaim claim;
    if (!load.standby) {
      const double valued = load.running_cores + load.waiting_cores - load.worthless_cores;
      claim.required = VmsFor(load, 0);
      claim.useful = VmsFor(load, std::max(valued, load.arriving_cores));
      claim.wanted = WantedVms(load);
      claim.held = load.vms;
      claim.priority = load.priority;
    }
    claims.push_back(claim);
  }
  return claims;
}

int CountVms(std::span<const JobPoolLoad> loads) {
  int vms = 0;
  for (const JobPoolLoad& load : loads) {
    vms += load.vms;
  }
  return vms;
}

/// A pool for which moves are planned.
struct PlannedPool {
  const JobPoolLoad* load = nullptr;
  int target = 0;
  int shortage = 0;  ///< Negative if the pool has a surplus.
  MovableVms movable;
};

/// Plans moves of idle VMs from pools with a surplus, the largest surplus first.
void TakeIdle(PlannedPool* recipient, std::span<PlannedPool> pools, std::vector<PoolMove>* moves) {
  for (auto donor = pools.rbegin(); donor != pools.rend() && recipient->shortage > 0; ++donor) {
    while (recipient->shortage > 0 && donor->shortage < 0 && donor->movable.idle > 0) {
      moves->push_back({donor->load->pool, recipient->load->pool});
      --recipient->shortage;
      ++donor->shortage;
      --donor->movable.idle;
    }
  }
}

void TakeFromStandby(PlannedPool* recipient, PlannedPool* standby, std::vector<PoolMove>* moves) {
  while (standby->load != nullptr && recipient->shortage > 0 && standby->movable.idle > 0) {
    moves->push_back({standby->load->pool, recipient->load->pool});
    --recipient->shortage;
    --standby->movable.idle;
  }
}

/// Plans moves of busy VMs to a pool that is far below its target.
void TakeBusy(PlannedPool* recipient, std::span<PlannedPool> pools, std::vector<PoolMove>* moves) {
  if (!IsFarBelow(recipient->target - recipient->shortage, recipient->target)) {
    return;
  }
  for (auto donor = pools.rbegin(); donor != pools.rend() && recipient->shortage > 0; ++donor) {
    while (recipient->shortage > 0 && donor->shortage < 0 && donor->movable.busy > 0) {
      moves->push_back({donor->load->pool, recipient->load->pool, true});
      --recipient->shortage;
      ++donor->shortage;
      --donor->movable.busy;
    }
  }
}

}  // namespace

int WantedVms(const JobPoolLoad& load) {
  return VmsFor(load, std::max(load.running_cores + load.waiting_cores, load.arriving_cores));
}

std::vector<int> TargetVms(std::span<const JobPoolLoad> loads) {
  return DivideFleet(CountVms(loads), ClaimsOf(loads));
}

bool IsShortOfVms(std::span<const JobPoolLoad> loads) {
  int wanted = 0;
  for (const PoolClaim& claim : ClaimsOf(loads)) {
    wanted += claim.wanted;
  }
  return wanted > CountVms(loads);
}

std::vector<PoolMove> PlanMoves(std::span<const JobPoolLoad> loads, std::span<const int> targets,
                                const std::map<std::string, MovableVms>& movable) {
  std::vector<PlannedPool> pools;
  PlannedPool standby;
  for (std::size_t i = 0; i < loads.size(); ++i) {
    const auto it = movable.find(loads[i].pool);
    const MovableVms vms = it == movable.end() ? MovableVms{} : it->second;
    if (loads[i].standby) {
      standby = {&loads[i], 0, 0, vms};
    } else {
      pools.push_back({&loads[i], targets[i], targets[i] - loads[i].vms, vms});
    }
  }
  std::sort(pools.begin(), pools.end(),
            [](const PlannedPool& a, const PlannedPool& b) { return a.shortage > b.shortage; });
  std::vector<PoolMove> moves;
  for (PlannedPool& recipient : pools) {
    TakeIdle(&recipient, pools, &moves);
    TakeFromStandby(&recipient, &standby, &moves);
  }
  for (PlannedPool& recipient : pools) {
    TakeBusy(&recipient, pools, &moves);
  }
  for (PlannedPool& pool : pools) {
    while (standby.load != nullptr && pool.shortage < 0 && pool.movable.idle > 0) {
      moves.push_back({pool.load->pool, standby.load->pool});
      ++pool.shortage;
      --pool.movable.idle;
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
