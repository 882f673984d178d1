#ifndef CRANBERRYPLANK_ENTRY_OWNER_LOAD_METER_H_
#define CRANBERRYPLANK_ENTRY_OWNER_LOAD_METER_H_

#include <cstdint>
#include <optional>

#include "cranberryplank/model/time.h"
#include "cranberryplank/scheduler/start_limit.h"

namespace cranberryplank {

/// Load of the owner during an interval.
struct OwnerLoadReport {
  Duration longest_turn{0};     ///< Longest time between two turns of the owner's timed work.
  Duration oldest_unstored{0};  ///< Highest age of a change that was not stored.
  int fewest_starts = -1;       ///< Lowest limit of starts in a placement pass; -1 if none was set.
};

/// Measures the owner's load for the log and the metrics, and limits its starts accordingly.
class OwnerLoadMeter {
 public:
  /// Records a turn of the owner's timed work and decides how many tasks it may start.
  /// @param load its `ends_per_pass` is set by this object
  /// @param ends_stored number of ended runs stored by this owner so far
  /// @return limit of starts in the placement pass of this turn
  int Record(TimePoint now, OwnerLoad load, std::uint64_t ends_stored);
  /// Returns the average time between two turns of the owner's timed work.
  Duration average_turn() const { return Duration(static_cast<Duration::rep>(m_average_turn_ms)); }
  /// Returns the load since the last report once a reporting interval has passed.
  std::optional<OwnerLoadReport> TakeReport(TimePoint now);
  /// Returns the newest report.
  const OwnerLoadReport& last_report() const { return m_last_report; }

 private:
  OwnerLoadReport m_current;
  OwnerLoadReport m_last_report;
  double m_ends_per_turn = 0;
  double m_average_turn_ms = 0;
  std::uint64_t m_ends_stored = 0;
  TimePoint m_last_turn{};
  TimePoint m_next_report{};
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_OWNER_LOAD_METER_H_
