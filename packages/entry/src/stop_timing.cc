#include "stop_timing.h"

namespace cranberryplank {

namespace {

/// Time that the platform takes to detect that a daemon is not ready.
constexpr Duration kUnreadyTime{2'400};
/// Part of the grace period that remains when the process ends.
constexpr Duration kGraceReserve{900};
/// Time before the end of the process in which the last responses are written. The end is delayed
/// by at most this time if some are not yet written.
constexpr Duration kLastWrites{300};
/// Time at the end of a stop in which the owner hands over to a daemon on any VM. Before that, it
/// waits for one whose VM has at least `kSuccessorShare` of its own processing power.
constexpr Duration kHandOverToAny{2'000};
constexpr double kSuccessorShare = 0.5;

}  // namespace

bool MayEnd(const StopState& state) {
  const bool time_is_over = state.elapsed >= state.grace - kGraceReserve;
  const bool handed_over = state.elapsed >= kUnreadyTime && !state.owner;
  return (state.answered && (handed_over || time_is_over)) || MustEnd(state);
}

bool MustEnd(const StopState& state) {
  return state.elapsed >= state.grace - kGraceReserve + kLastWrites;
}

Duration AnswerTime(Duration grace) { return grace - kGraceReserve - kLastWrites; }

double LeastSuccessorCores(Duration elapsed, Duration grace, double own_cores) {
  // A weak VM takes seconds to read the state, in which nothing keeps running work alive.
  const Duration time_to_act = grace - kGraceReserve - kHandOverToAny;
  const bool waits = elapsed < time_to_act;
  return waits ? kSuccessorShare * own_cores : 0;
}

}  // namespace cranberryplank
