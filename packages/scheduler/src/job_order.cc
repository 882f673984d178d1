#include "cranberryplank/scheduler/job_order.h"

namespace cranberryplank {

namespace {

enum Rank : int { kLongRunning, kInTime, kTooLate, kBestEffort, kOverShare, kWorthless };

/// Spare time that work which has not begun must have: a fraction of its estimated time, and time
/// for each step to be placed, reported as ended and stored. Work that begins without it misses its
/// objective.
constexpr int kSpareDivisor = 5;
constexpr Duration kStepOverhead{80};

/// Work that ends later than this many times its objective has no value.
constexpr int kWorthlessFactor = 3;

/// Returns how long the work takes from its start, with the spare time that it must have.
Duration TimeNeeded(const OrderInput& input) {
  Duration needed = input.remaining_chain;
  if (!input.begun) {
    needed += input.remaining_chain / kSpareDivisor +
              input.remaining_steps * (kStepOverhead + input.step_delay);
  }
  return needed;
}

/// Returns the rank of batch work by the time at which it can end.
Rank RankInTime(const OrderInput& input, TimePoint now) {
  const TimePoint earliest_end = now + TimeNeeded(input);
  if (earliest_end <= input.due + input.objective) {
    return kInTime;
  }
  if (earliest_end <= input.due + kWorthlessFactor * input.objective) {
    return kTooLate;
  }
  return kWorthless;
}

Rank RankOf(const OrderInput& input, TimePoint now) {
  if (input.over_share) {
    return kOverShare;
  }
  if (input.best_effort) {
    return kBestEffort;
  }
  if (input.long_running) {
    return kLongRunning;
  }
  return RankInTime(input, now);
}

}  // namespace

OrderKey OrderOf(const OrderInput& input, TimePoint now) {
  OrderKey key;
  key.rank = RankOf(input, now);
  key.priority = input.priority;
  key.objective = input.due + input.objective;
  key.serial = input.serial;
  return key;
}

bool IsWorthless(const OrderInput& input, TimePoint now) {
  return !input.best_effort && !input.long_running && RankInTime(input, now) == kWorthless;
}

TimePoint LatestStart(const OrderInput& input) {
  return input.due + input.objective - TimeNeeded(input);
}

}  // namespace cranberryplank
