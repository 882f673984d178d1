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
/// @param demand slots that each team of `teams` requests; capped at the team's limit
/// @return slots per team, in the order of `teams`; they add up to the smaller of the capacity and
///   the capped demand
std::vector<double> WeightedMaxMin(double capacity, std::span<const TeamShare> teams,
                                   std::span<const double> demand);

/// Method of rounding fractional slots to whole slots.
enum class Rounding {
  /// Rounds up the largest remainders; ties are broken in a rotating order.
  kLargestRemainder,
  /// Accumulates the remainders from a rotating offset and grants a slot at each whole number that
  /// the sum crosses. Over one rotation each entry receives exactly its fraction.
  kRotatingSum,
};

/// Settings of `MaxMinShareAllocator`.
struct MaxMinSettings {
  std::string daemon;  ///< Name of this daemon in the demand reports.
  Rounding rounding = Rounding::kLargestRemainder;
  /// Idle time after which slots reserved for one daemon may be used by others. Otherwise a
  /// daemon that reports demand but starts no work would keep the pool idle. Twice the period of
  /// the demand reports.
  Duration borrow_after{400};
  /// Slots added to a team's share per slot-second of its accumulated shortfall; 0 disables the
  /// correction.
  double correction = 2.0;
  /// Teams whose demand is below their share start at once, regardless of portions, because
  /// portions are computed from demand reports that are up to 200 ms old.
  bool satisfied_first = true;
};

/// Whole number of slots assigned to one team on one daemon.
struct Portion {
  std::string daemon;
  std::string team;
  int slots = 0;
};

/// Weighted max-min fair shares. Each team's share is split among the daemons in proportion to
/// their demand for the team; all daemons compute the same portions from the same reports.
class MaxMinShareAllocator : public ShareAllocator {
 public:
  explicit MaxMinShareAllocator(MaxMinSettings settings);

  void Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
              const PoolDemand& demand) override;
  std::optional<TeamChoice> NextTeam(TimePoint now, std::string_view pool, const FreeCapacity& free,
                                     std::span<const LocalTeam> teams) const override;
  RouteChoice Route(TimePoint now, std::string_view pool, const LocalTeam& local,
                    const FreeCapacity& free, std::span<const SlotHolder> holders) const override;

  /// Returns the portions of all daemons and teams of `pool` as of the last update. They add up to
  /// the capacity, or to the sum of the teams' limits if that is lower.
  std::vector<Portion> Portions(std::string_view pool) const;

  /// Returns the slots assigned to `team` on this daemon.
  int OwnPortion(std::string_view pool, std::string_view team) const;

 private:
  // State of one team on one daemon.
  struct Cell {
    int slots = 0;
    int running = 0;
    int waiting = 0;
  };
  // Share of one team over all daemons. A team within its share may start work on any daemon.
  struct Entitlement {
    bool satisfied = false;        // The share covers the team's whole demand.
    double fair_slots = 0;         // Max-min fair slots with unlimited demand.
    double running_elsewhere = 0;  // Tasks on other daemons.
  };
  struct PoolShare {
    std::map<std::string, std::map<std::string, Cell, std::less<>>, std::less<>> cells;  // By team.
    std::map<std::string, Entitlement, std::less<>> entitlements;                        // By team.
    std::map<std::string, double, std::less<>> shortfall;  // By team, slot-seconds.
    TimePoint updated;
    bool full = false;        // Demand reaches or exceeds the capacity.
    int unmet_elsewhere = 0;  // Slots that other daemons are entitled to and have work for.
  };

  // Totals over all daemons, in the order of the teams.
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
