#ifndef CRANBERRYPLANK_POLICY_SHARE_ALLOCATOR_H_
#define CRANBERRYPLANK_POLICY_SHARE_ALLOCATOR_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// What a team may use of one pool.
struct TeamShare {
  std::string team;
  double weight = 1.0;
  int limit = 0;  ///< Most tasks in this pool: upper limit less what runs in other pools.
};

/// Demand of one team on one pool as last reported by one daemon.
struct DaemonDemand {
  std::string daemon;
  std::string team;
  int running = 0;
  int waiting = 0;
};

/// All that is known of one pool's demand.
struct PoolDemand {
  int capacity = 0;                  ///< Slots of the workers that take new work.
  std::vector<std::string> daemons;  ///< All daemons that may dispatch, this one included.
  std::vector<TeamShare> teams;
  std::vector<DaemonDemand> demand;  ///< Entries of other daemons or teams are ignored.
};

/// This daemon's present state of one team in one pool.
struct LocalTeam {
  std::string team;
  int running = 0;
  int waiting = 0;
  bool may_start = true;  ///< This daemon holds a free slot of the team's upper limit.
  TimePoint oldest;       ///< Enqueue time of the oldest waiting request.
};

/// Free worker slots that this daemon sees in a pool.
struct FreeCapacity {
  int slots = 0;
  Duration idle_for{0};  ///< How long the pool has had at least one free slot without a break.
};

/// Team chosen for a free slot, with the reason for the log line.
struct TeamChoice {
  std::string team;
  std::string_view reason;
};

/// Free slots of a team's upper limit that another daemon reports.
struct SlotHolder {
  std::string daemon;
  int free = 0;
};

/// Where a request is to run.
struct RouteChoice {
  bool forward = false;
  std::string daemon;       ///< Set if `forward`.
  std::string_view reason;  ///< For the log line.
};

/// Decides which team uses a free worker slot of a pool, and which daemon runs a request.
class ShareAllocator {
 public:
  virtual ~ShareAllocator() = default;

  /// Takes in the newest demand of `pool`.
  /// @param rotation number of the current rounding period, equal on all daemons (see
  ///   `kRotationPeriod`): wall-clock time divided by the period.
  virtual void Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
                      const PoolDemand& demand) = 0;

  /// Chooses the team whose request is started next, or nothing if the free slots are to be left
  /// to other daemons or no team may start.
  virtual std::optional<TeamChoice> NextTeam(TimePoint now, std::string_view pool,
                                             const FreeCapacity& free,
                                             std::span<const LocalTeam> teams) const = 0;

  /// Decides whether a request of `team` that has just arrived is kept here or forwarded.
  /// @param local this daemon's state of the team, without the request
  /// @param free free worker slots of the pool
  /// @param holders other daemons with a free slot of the team's upper limit
  virtual RouteChoice Route(TimePoint now, std::string_view pool, const LocalTeam& local,
                            const FreeCapacity& free,
                            std::span<const SlotHolder> holders) const = 0;
};

/// How long one rounding order is kept. Short against the 10 s window over which shares are
/// measured, so that each fraction of a slot averages out within it.
inline constexpr Duration kRotationPeriod{500};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_SHARE_ALLOCATOR_H_
