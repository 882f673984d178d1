#ifndef CRANBERRYPLANK_SCHEDULER_ZONE_EVACUATION_H_
#define CRANBERRYPLANK_SCHEDULER_ZONE_EVACUATION_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Names of availability zones.
using ZoneSet = std::set<std::string, std::less<>>;

/// Availability zones that operators evacuate, and how current that knowledge is.
///
/// Must stay correct while a zone with most of a pool's workers is evacuated and the store answers
/// late. Unused unless `SchedulerSettings::evacuation_bound` is set.
class ZoneEvacuation {
 public:
  /// Changes since the previous call of `TakeChanges`.
  struct Changes {
    std::vector<std::string> begun;
    std::vector<std::string> ended;
  };

  /// Replaces the set of evacuated zones.
  void SetZones(ZoneSet zones) { m_zones = std::move(zones); }
  /// Records that every change of the operators' keys acknowledged before `time` is known.
  void SetKnownUntil(TimePoint time) { m_known_until = time; }

  const ZoneSet& zones() const { return m_zones; }
  /// Returns whether no task may be started in `zone`. An empty name is no zone.
  bool Covers(std::string_view zone) const { return m_zones.contains(zone); }
  /// Returns the time after which no start may be sent, because a key may have been written that is
  /// not known. It is the earliest time if the keys were never read.
  /// @param bound a worker may begin starts in the zone for this long after the key was written
  /// @param delivery longest time that an order takes to reach the worker
  TimePoint StartsUntil(Duration bound, Duration delivery) const;
  /// Returns how old the knowledge of the operators' keys is; 0 if they were never read.
  Duration Age(TimePoint now) const;
  /// Returns the zones whose evacuation began or ended since the previous call.
  Changes TakeChanges();

  /// Returns whether tasks may be migrated out of the zones now. Migrations are limited to one pass
  /// in an interval, because each check visits all workers.
  bool MigrationDue(TimePoint now);
  /// Returns at which of `tasks` running tasks the next pass begins. Passes take turns, so that
  /// tasks that cannot leave do not keep others from being considered.
  /// @param considered tasks that the pass considers
  std::size_t NextFirst(std::size_t tasks, std::size_t considered);

 private:
  ZoneSet m_zones;
  ZoneSet m_reported;  ///< As of the previous call of `TakeChanges`.
  std::optional<TimePoint> m_known_until;
  std::optional<TimePoint> m_last_migration;
  std::size_t m_next_first = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_ZONE_EVACUATION_H_
