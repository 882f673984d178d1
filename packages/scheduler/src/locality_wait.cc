#include "cranberryplank/scheduler/locality_wait.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cranberryplank {

namespace {

/// Least time until the end of a run that has reached its estimate: the owner examines the waiting
/// tasks only every few milliseconds.
constexpr Duration kLeastRemaining{20};

/// Returns how many tasks fit, at most `count`.
int TasksThatFit(Resources free, const Resources& footprint, int count) {
  int fit = 0;
  while (fit < count && footprint.FitsIn(free)) {
    free -= footprint;
    ++fit;
  }
  return fit;
}

}  // namespace

RackRoom::RackRoom(std::vector<Resources> free, std::vector<ExpectedEnd> ends)
    : m_free(std::move(free)), m_ends(std::move(ends)) {
  std::stable_sort(m_ends.begin(), m_ends.end(),
                   [](const ExpectedEnd& a, const ExpectedEnd& b) { return a.at < b.at; });
}

std::optional<TimePoint> RackRoom::FitTime(TimePoint now, const Resources& footprint, int count,
                                           TimePoint limit) const {
  std::vector<Resources> free = m_free;
  std::vector<int> fits;
  fits.reserve(free.size());
  int total = 0;
  for (const Resources& room : free) {
    fits.push_back(TasksThatFit(room, footprint, count));
    total += fits.back();
  }
  if (total >= count) {
    return now;
  }
  for (auto it = m_ends.begin(); it != m_ends.end() && it->at <= limit; ++it) {
    free[it->worker] += it->freed;
    total -= fits[it->worker];
    fits[it->worker] = TasksThatFit(free[it->worker], footprint, count);
    total += fits[it->worker];
    // All ends and claims of one time take effect together.
    const auto next = std::next(it);
    if (total >= count && (next == m_ends.end() || next->at != it->at)) {
      return std::max(now, it->at);
    }
  }
  return std::nullopt;
}

void RackRoom::Claim(TimePoint at, const Resources& footprint, int count) {
  std::vector<Resources> free = m_free;
  auto it = m_ends.begin();
  for (; it != m_ends.end() && it->at <= at; ++it) {
    free[it->worker] += it->freed;
  }
  std::vector<ExpectedEnd> claims;
  for (std::size_t i = 0; i < free.size() && count > 0; ++i) {
    const int fit = TasksThatFit(free[i], footprint, count);
    for (int n = 0; n < fit; ++n) {
      claims.push_back({at, i, Resources{} - footprint});
    }
    count -= fit;
  }
  m_ends.insert(it, claims.begin(), claims.end());
}

TimePoint ExpectedEndOf(TimePoint now, TimePoint begun, Duration duration) {
  const TimePoint end = begun + duration;
  if (end > now) {
    return end;
  }
  return now + std::max<TimePoint::duration>(now - end, kLeastRemaining);
}

std::optional<TimePoint> WaitForRack(TimePoint now, const LocalityInput& input,
                                     const RackRoom& room) {
  if (input.far_factor <= 1 || input.estimate <= Duration(0)) {
    return std::nullopt;
  }
  const auto break_even = Duration(static_cast<std::int64_t>(
      static_cast<double>(input.estimate.count()) * (input.far_factor - 1)));
  const TimePoint limit = std::min<TimePoint>(input.since + break_even, input.latest_start);
  if (limit <= now) {
    return std::nullopt;
  }
  const std::optional<TimePoint> fit = room.FitTime(now, input.footprint, input.count, limit);
  return fit && *fit > now && *fit < limit ? fit : std::nullopt;
}

}  // namespace cranberryplank
