#include "cranberryplank/policy/retry_after.h"

#include <algorithm>

namespace cranberryplank {

namespace {

constexpr Duration kMinWait{100};
constexpr Duration kMaxWait{30'000};

}  // namespace

Duration RetryAfter::Compute(const RefusalState& state, RandomSource& random) {
  const Duration::rep rounds = (state.waiting + 1) / std::max(1, state.slots) + 1;
  const Duration base = std::clamp(state.run_time * rounds, kMinWait, kMaxWait);
  const auto jitter = static_cast<Duration::rep>(random.Below(base.count() + 1));
  return base / 2 + Duration(jitter);
}

}  // namespace cranberryplank
