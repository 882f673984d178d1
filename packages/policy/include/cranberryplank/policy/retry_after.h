#ifndef CRANBERRYPLANK_POLICY_RETRY_AFTER_H_
#define CRANBERRYPLANK_POLICY_RETRY_AFTER_H_

#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// State that led to a refusal.
struct RefusalState {
  int waiting = 0;           ///< Requests of the team ahead of the refused one.
  int slots = 0;             ///< Slots that the team can count on; 0 if unknown.
  Duration run_time{1'000};  ///< Estimated mean.
};

/// Computes how long a refused caller is asked to wait.
class RetryAfter {
 public:
  /// Returns the estimated time until the backlog is served, spread evenly from half to one and a
  /// half times that, so that callers refused together do not return together. Between
  /// 100 ms and 30 s before the spread.
  static Duration Compute(const RefusalState& state, RandomSource& random);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_RETRY_AFTER_H_
