#include "cranberryplank/scheduler/fleet_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "cranberryplank/policy/max_min_share_allocator.h"

namespace cranberryplank {

namespace {

/// A pool that has less than this share of its target is far below it.
constexpr double kFarBelowShare = 0.75;

/// Rounds shares down, and gives the VMs that are left over to the pools that hold most beyond
/// their share, so that rounding causes no moves.
std::vector<int> RoundShares(int vms, std::span<const double> shares,
                             std::span<const PoolClaim> claims) {
  std::vector<int> rounded;
  std::vector<std::size_t> order(shares.size());
  std::iota(order.begin(), order.end(), 0);
  for (const double share : shares) {
    rounded.push_back(static_cast<int>(share));
  }
  const auto excess = [&](std::size_t i) { return claims[i].held - rounded[i]; };
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return excess(a) > excess(b); });
  int left =
      std::min(vms,
               static_cast<int>(std::lround(std::accumulate(shares.begin(), shares.end(), 0.0)))) -
      std::accumulate(rounded.begin(), rounded.end(), 0);
  for (const std::size_t i : order) {
    if (left > 0 && rounded[i] < shares[i]) {
      ++rounded[i];
      --left;
    }
  }
  return rounded;
}

/// Divides `vms` by weight among claims that each use at most `demand` of them.
std::vector<int> DivideByWeight(int vms, std::span<const PoolClaim> claims,
                                std::span<const double> demand) {
  std::vector<TeamShare> shares;
  for (std::size_t i = 0; i < claims.size(); ++i) {
    TeamShare share;
    share.weight = 1.0 / (1.0 + std::max(claims[i].priority, 0));
    share.limit = static_cast<int>(demand[i]);
    shares.push_back(share);
  }
  return RoundShares(vms, WeightedMaxMin(vms, shares, demand), claims);
}

}  // namespace

std::vector<int> DivideFleet(int vms, std::span<const PoolClaim> claims) {
  std::vector<int> targets(claims.size(), 0);
  int left = vms;
  const auto grant = [&](auto level) {
    std::vector<double> demand;
    for (std::size_t i = 0; i < claims.size(); ++i) {
      demand.push_back(std::max(level(claims[i]) - targets[i], 0));
    }
    const std::vector<int> granted = DivideByWeight(std::max(left, 0), claims, demand);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      targets[i] += granted[i];
      left -= granted[i];
    }
  };
  grant([](const PoolClaim& claim) { return std::min(claim.required, claim.wanted); });
  grant([](const PoolClaim& claim) { return std::min(claim.useful, claim.wanted); });
  grant([](const PoolClaim& claim) { return claim.wanted; });
  return targets;
}

bool IsFarBelow(int held, int target) { return held < kFarBelowShare * target; }

}  // namespace cranberryplank
