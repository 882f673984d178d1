#include "cranberryplank/scheduler/start_limit.h"

#include <algorithm>
#include <cmath>

namespace cranberryplank {

namespace {

constexpr int kMaxStartsPerPass = 100;
/// Storing is behind if a change waits longer than this, besides two transactions.
constexpr Duration kBehind{300};
/// No task is started if a change waits longer than this.
constexpr Duration kStop{4'000};
/// Starts per stored end when storing has just fallen behind. It is above 1 so that the backlog
/// does not run empty while the demand lasts.
constexpr double kStartsPerEnd = 1.3;

}  // namespace

int StartsAllowed(const OwnerLoad& load) {
  const Duration behind = kBehind + 2 * load.transaction_time;
  if (load.store_failing || load.oldest_unstored <= behind) {
    return kMaxStartsPerPass;
  }
  if (load.oldest_unstored >= kStop) {
    return 0;
  }
  const double left = static_cast<double>((kStop - load.oldest_unstored).count()) /
                      static_cast<double>((kStop - behind).count());
  const double starts = std::ceil(load.ends_per_pass * kStartsPerEnd * left);
  return std::clamp(static_cast<int>(starts), 1, kMaxStartsPerPass);
}

}  // namespace cranberryplank
