#include "cranberryplank/entry/claim_rules.h"

#include <algorithm>

namespace cranberryplank {

namespace {

/// Time without an answer to a ping after which an owner counts as failed.
constexpr Duration kSilenceBound{1'000};
/// The same for an owner that still writes to the store: it is busy, or this daemon cannot reach
/// it.
constexpr Duration kSilenceBoundWhileWriting{3'000};
/// A busy owner writes more often than this.
constexpr Duration kRecentWrite{700};
/// Time that a new owner has to start before its silence counts.
constexpr Duration kFirstAnswerBound{1'800};
/// A daemon claims only if the store has answered it within this time.
constexpr Duration kMaxStoreAge{1'500};
/// Claim delays of a VM without processing power. A VM as strong as the strongest one known, or
/// with `kStrongVmCores` if none is known, claims without delay.
constexpr Duration kWeakVmDelay{500};
constexpr Duration kWeakVmFirstDelay{1'500};  ///< A starting fleet has no work to delay.
constexpr double kStrongVmCores = 0.5;

}  // namespace

bool ShouldClaim(const ClaimInput& input) {
  if (input.store_age > kMaxStoreAge) {
    return false;
  }
  if (!input.owner_known || input.own_stale_record || input.denies_ownership || input.refused) {
    return true;
  }
  if (input.known_for < kFirstAnswerBound) {
    return false;
  }
  if (input.owner_store_unreachable || input.silence > kSilenceBoundWhileWriting) {
    return true;
  }
  return input.silence > kSilenceBound && input.since_write > kRecentWrite;
}

Duration ClaimDelay(double cores, double strongest_cores, bool had_owner) {
  const double strongest = strongest_cores > 0 ? strongest_cores : kStrongVmCores;
  const double missing = std::clamp(1 - cores / strongest, 0.0, 1.0);
  const Duration longest = had_owner ? kWeakVmDelay : kWeakVmFirstDelay;
  return Duration(static_cast<Duration::rep>(missing * static_cast<double>(longest.count())));
}

}  // namespace cranberryplank
