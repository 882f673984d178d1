#ifndef CRANBERRYPLANK_POLICY_RETRY_AFTER_H_
#define CRANBERRYPLANK_POLICY_RETRY_AFTER_H_

#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Load of a team's queue when a request was refused.
struct RefusalState {
  int waiting = 0;           ///< Requests of the team ahead of the refused one.
  int slots = 0;             ///< Slots assigned to the team; 0 if unknown.
  Duration run_time{1'000};  ///< Estimated mean run time.
};

/// Computes the delay after which a refused caller should retry.
class RetryAfter {
 public:
  /// Returns the estimated time until the backlog is served, clamped to 100 ms to 30 s and then
  /// multiplied by a random factor from 0.5 to 1.5, so that callers refused at the same time do
  /// not retry at the same time.
  static Duration Compute(const RefusalState& state, RandomSource& random);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_RETRY_AFTER_H_
