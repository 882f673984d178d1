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

/// Share weight and limit of a team in one pool.
struct TeamShare {
  std::string team;
  double weight = 1.0;
  int limit = 0;  ///< Maximum tasks in this pool: upper limit minus tasks in other pools.
};

/// Demand of one team on one pool as last reported by one daemon.
struct DaemonDemand {
  std::string daemon;
  std::string team;
  int running = 0;
  int waiting = 0;
};

/// Capacity and reported demand of one pool.
struct PoolDemand {
  int capacity = 0;                  ///< Slots of the workers that accept new work.
  std::vector<std::string> daemons;  ///< All daemons that may dispatch, including this one.
  std::vector<TeamShare> teams;
  std::vector<DaemonDemand> demand;  ///< Entries of unlisted daemons or teams are ignored.
};

/// Current state of one team in one pool on this daemon.
struct LocalTeam {
  std::string team;
  int running = 0;
  int waiting = 0;
  bool may_start = true;  ///< This daemon holds a free slot of the team's upper limit.
  TimePoint oldest;       ///< Enqueue time of the oldest waiting request.
};

/// Free worker slots of a pool as known to this daemon.
struct FreeCapacity {
  int slots = 0;
  Duration idle_for{0};  ///< Time for which the pool has continuously had a free slot.
};

/// Team chosen for a free slot, with the reason for the log line.
struct TeamChoice {
  std::string team;
  std::string_view reason;
};

/// Free slots of a team's upper limit reported by another daemon.
struct SlotHolder {
  std::string daemon;
  int free = 0;
};

/// Decision whether a request is forwarded to another daemon.
struct RouteChoice {
  bool forward = false;
  std::string daemon;       ///< Set if `forward`.
  std::string_view reason;  ///< For the log line.
};

/// Decides which team uses a free worker slot of a pool, and which daemon runs a request.
class ShareAllocator {
 public:
  virtual ~ShareAllocator() = default;

  /// Applies the latest demand of `pool`.
  /// @param rotation number of the current rounding period, equal on all daemons (see
  ///   `kRotationPeriod`), which is the wall-clock time divided by the period
  virtual void Update(TimePoint now, std::uint64_t rotation, std::string_view pool,
                      const PoolDemand& demand) = 0;

  /// Chooses the team whose request is started next, or nothing if the free slots are reserved
  /// for other daemons or no team may start.
  virtual std::optional<TeamChoice> NextTeam(TimePoint now, std::string_view pool,
                                             const FreeCapacity& free,
                                             std::span<const LocalTeam> teams) const = 0;

  /// Decides whether a newly arrived request stays on this daemon or is forwarded.
  /// @param local this daemon's state of the request's team, not counting the request
  /// @param free free worker slots of the pool
  /// @param holders other daemons with a free slot of the team's upper limit
  virtual RouteChoice Route(TimePoint now, std::string_view pool, const LocalTeam& local,
                            const FreeCapacity& free,
                            std::span<const SlotHolder> holders) const = 0;
};

/// Time for which one rounding order is used. It is short compared with the 10 s window over which
/// shares are measured, so that fractions of slots average out within the window.
inline constexpr Duration kRotationPeriod{500};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_SHARE_ALLOCATOR_H_
