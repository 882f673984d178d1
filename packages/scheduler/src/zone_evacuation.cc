#include "cranberryplank/scheduler/zone_evacuation.h"

#include <algorithm>
#include <iterator>

namespace cranberryplank {

namespace {

constexpr Duration kMigrationInterval{500};

}  // namespace

TimePoint ZoneEvacuation::StartsUntil(Duration bound, Duration delivery) const {
  return m_known_until ? *m_known_until + std::max(bound - delivery, Duration(0))
                       : TimePoint::min();
}

Duration ZoneEvacuation::Age(TimePoint now) const {
  return m_known_until ? std::chrono::duration_cast<Duration>(now - *m_known_until) : Duration(0);
}

ZoneEvacuation::Changes ZoneEvacuation::TakeChanges() {
  Changes changes;
  if (m_zones == m_reported) {
    return changes;
  }
  std::set_difference(m_zones.begin(), m_zones.end(), m_reported.begin(), m_reported.end(),
                      std::back_inserter(changes.begun));
  std::set_difference(m_reported.begin(), m_reported.end(), m_zones.begin(), m_zones.end(),
                      std::back_inserter(changes.ended));
  m_reported = m_zones;
  return changes;
}

bool ZoneEvacuation::MigrationDue(TimePoint now) {
  if (m_zones.empty() || (m_last_migration && now - *m_last_migration < kMigrationInterval)) {
    return false;
  }
  m_last_migration = now;
  return true;
}

std::size_t ZoneEvacuation::NextFirst(std::size_t tasks, std::size_t considered) {
  const std::size_t first = tasks == 0 ? 0 : m_next_first % tasks;
  m_next_first = first + considered;
  return first;
}

}  // namespace cranberryplank
