#include "cranberryplank/entry/claim_rules.h"

#include <catch2/catch.hpp>

namespace cranberryplank {

TEST_CASE("a daemon claims only if the owner is silent or cannot reach the store") {
  ClaimInput input;
  input.owner_known = true;
  input.known_for = Duration(60'000);
  input.silence = Duration(200);
  CHECK_FALSE(ShouldClaim(input));
  input.silence = Duration(1'200);
  CHECK(ShouldClaim(input));
  // Guards against taking a busy owner for a failed one. Daemons that had not heard a saturated
  // owner for a second claimed twice, and tasks that had ended were started again.
  input.since_write = Duration(150);
  CHECK_FALSE(ShouldClaim(input));
  input.silence = Duration(3'500);
  CHECK(ShouldClaim(input));
  input.silence = Duration(1'200);
  input.since_write = Duration(900);
  CHECK(ShouldClaim(input));
  // Guards against claims by a daemon that cannot reach the store itself.
  input.store_age = Duration(5'000);
  CHECK_FALSE(ShouldClaim(input));
  input.store_age = Duration(0);
  input.silence = Duration(0);
  input.owner_store_unreachable = true;
  CHECK(ShouldClaim(input));
  // Guards against daemons that take over from a new owner before it has started.
  input.known_for = Duration(500);
  CHECK_FALSE(ShouldClaim(input));
}

// Guards against a weak VM that wins the claim: reading the state takes it seconds, in which
// nothing keeps running work alive.
TEST_CASE("a weak VM claims later than the strongest VM known") {
  CHECK(ClaimDelay(1, 1, true) == Duration(0));
  CHECK(ClaimDelay(2, 1, true) == Duration(0));
  CHECK(ClaimDelay(0.5, 1, true) == Duration(250));
  CHECK(ClaimDelay(0.5, 1, false) == Duration(750));
}

// Guards against a claim that waits for a stronger VM that does not exist.
TEST_CASE("a VM claims without delay if no stronger one is known") {
  CHECK(ClaimDelay(0.5, 0, true) == Duration(0));
  CHECK(ClaimDelay(0.25, 0, true) == Duration(250));
}

}  // namespace cranberryplank
