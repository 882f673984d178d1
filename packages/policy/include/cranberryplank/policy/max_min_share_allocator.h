#ifndef CRANBERRYPLANK_POLICY_MAX_MIN_SHARE_ALLOCATOR_H_
#define CRANBERRYPLANK_POLICY_MAX_MIN_SHARE_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/policy/share_allocator.h"

namespace cranberryplank {

/// Returns the weighted max-min allocation of `capacity` slots.
/// @param demand slots that each team of `teams` could use; capped by its limit
/// @return slots by team, in the order of `teams`; their sum is the smaller of capacity and demand
std::vector<double> WeightedMaxMin(double capacity, std::span<const TeamShare> teams,
                                   std::span<const double> demand);

/// How fractions of slots become whole slots.
enum class Rounding {
  /// The largest remainders are rounded up, equal ones in a rotating order.
  kLargestRemainder,
  /// Remainders are summed up from a start that rotates; each whole number crossed gives a slot.
  /// Over one rotation each cell receives exactly its fraction.
  kRotatingSum,
};

/// Settings of `MaxMinShareAllocator`.
struct MaxMinSettings {
  std::string daemon;  ///< Name of this daemon in the demand reports.
  Rounding rounding = Rounding::kLargestRemainder;
  /// Slots left to a daemon that is entitled to them may be used by others after this time, so
  /// that a daemon that reports demand but does not start it cannot idle the pool. Twice the
  /// period of the demand reports.
  Duration borrow_after{400};
  /// Part of a team's accumulated shortfall (slot-seconds) that is added to its slots. 0 switches
  /// the correction off.
  double correction = 2.0;
  /// Teams that ask for less than their share start at once, without regard to portions, which
  /// are computed from reports of up to 200 ms ago.
  bool satisfied_first = true;
};

/// Whole slots of one team at one daemon.
struct Portion {
  std::string daemon;
  std::string team;
  int slots = 0;
};

/// Weighted max-min shares, divided among the daemons by their part of each team's backlog. All
/// daemons compute the same portions from the same reports.
class MaxMinShareAllocator : public ShareAllocator {
 public:
  explicit MaxMinShareAllocator(MaxMinSettings settings);

  void Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
              const PoolDemand& demand) override;
  std::optional<TeamChoice> NextTeam(TimePoint now, std::string_view pool, const FreeCapacity& free,
                                     std::span<const LocalTeam> teams) const override;
  RouteChoice Route(TimePoint now, std::string_view pool, const LocalTeam& local,
                    const FreeCapacity& free, std::span<const SlotHolder> holders) const override;

  /// Portions of all daemons and teams of `pool` as of the last update. They add up to the
  /// capacity, or to the sum of the teams' limits if that is lower.
  std::vector<Portion> Portions(std::string_view pool) const;

  /// This daemon's portion for `team`.
  int OwnPortion(std::string_view pool, std::string_view team) const;

 private:
  struct Cell {
    int slots = 0;
    int running = 0;
    int waiting = 0;
  };
  // A team that asks for less than its share may start at once on any daemon.
  struct Entitlement {
    bool satisfied = false;        // Its whole demand is within its share.
    double fair_slots = 0;         // Slots it would have if it asked for more.
    double running_elsewhere = 0;  // On other daemons.
  };
  struct PoolShare {
    std::map<std::string, std::map<std::string, Cell, std::less<>>, std::less<>> cells;  // By team.
    std::map<std::string, Entitlement, std::less<>> entitlements;                        // By team.
    std::map<std::string, double, std::less<>> shortfall;  // By team, slot-seconds.
    TimePoint updated;
    bool full = false;        // Demand is at or above the capacity.
    int unmet_elsewhere = 0;  // Slots that other daemons may still start work on.
  };

  // Sums over all daemons, in the order of the teams.
  struct TeamSums {
    std::vector<double> running;
    std::vector<double> demand;
  };

  static void ComputeEntitlements(const PoolDemand& demand, const TeamSums& sums,
                                  std::span<const double> exact, PoolShare* share);
  static bool BelowShare(const PoolShare& share, const LocalTeam& team);
  const Cell* OwnCell(const PoolShare& share, std::string_view team) const;
  void ComputePortions(TimePoint now, std::uint64_t rotation, const PoolDemand& demand,
                       PoolShare* share) const;
  std::vector<double> CorrectForShortfall(TimePoint now, int capacity,
                                          std::span<const TeamShare> teams, const TeamSums& sums,
                                          std::span<const double> exact, PoolShare* share) const;

  MaxMinSettings m_settings;
  std::map<std::string, PoolShare, std::less<>> m_pools;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_MAX_MIN_SHARE_ALLOCATOR_H_
