#include "cranberryplank/entry/owner_load_meter.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

constexpr Duration kReportInterval{1'000};
constexpr double kAveragedTurns = 20;

}  // namespace

int OwnerLoadMeter::Record(TimePoint now, OwnerLoad load, std::uint64_t ends_stored) {
  const auto ends = static_cast<double>(ends_stored - std::exchange(m_ends_stored, ends_stored));
  m_ends_per_turn += (ends - m_ends_per_turn) / kAveragedTurns;
  load.ends_per_pass = m_ends_per_turn;
  const int starts = StartsAllowed(load);
  if (m_last_turn != TimePoint{}) {
    const auto turn = std::chrono::duration_cast<Duration>(now - m_last_turn);
    m_current.longest_turn = std::max(m_current.longest_turn, turn);
    m_average_turn_ms += (static_cast<double>(turn.count()) - m_average_turn_ms) / kAveragedTurns;
  }
  m_last_turn = now;
  m_current.oldest_unstored = std::max(m_current.oldest_unstored, load.oldest_unstored);
  m_current.fewest_starts =
      m_current.fewest_starts < 0 ? starts : std::min(m_current.fewest_starts, starts);
  return starts;
}

std::optional<OwnerLoadReport> OwnerLoadMeter::TakeReport(TimePoint now) {
  if (now < m_next_report) {
    return std::nullopt;
  }
  m_next_report = now + kReportInterval;
  m_last_report = std::exchange(m_current, {});
  return m_last_report;
}

}  // namespace cranberryplank
