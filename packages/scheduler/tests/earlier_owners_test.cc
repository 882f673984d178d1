#include "cranberryplank/scheduler/earlier_owners.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace cranberryplank {

namespace {

constexpr Duration kAuthority{8'000};
constexpr TimePoint kClaimed{std::chrono::seconds(100)};

EarlierOwner OwnerWithEpoch(std::uint64_t epoch) {
  const std::string number = std::to_string(epoch);
  return {"vm-" + number, "127.0.0.1:" + number, "incarnation-" + number, epoch};
}

}  // namespace

// Guards against a wait that ends with the direct predecessor, while the owner before it, cut off
// from the store, still renews leases (review/2).
TEST_CASE("earlier owners may act until each of them has stopped") {
  EarlierOwners owners(std::vector{OwnerWithEpoch(1), OwnerWithEpoch(2)}, kClaimed + kAuthority);
  owners.RecordStopped(kClaimed, "incarnation-2");
  CHECK(owners.act_until() == kClaimed + kAuthority);
  REQUIRE(owners.Askable(kClaimed).size() == 1);
  CHECK(owners.Askable(kClaimed).front().address == "127.0.0.1:1");
  owners.RecordStopped(kClaimed + Duration(500), "incarnation-1");
  CHECK(owners.act_until() == kClaimed + Duration(500));
  CHECK(owners.Askable(kClaimed + Duration(600)).empty());
}

// Guards against a wait that begins anew with each owner. What remained of it is handed on.
TEST_CASE("a bound from the predecessor covers the owners before it, and not itself") {
  EarlierOwners owners(std::vector{OwnerWithEpoch(1), OwnerWithEpoch(2)}, kClaimed + kAuthority);
  owners.RecordBoundBefore(kClaimed + Duration(3'000), "incarnation-2");
  CHECK(owners.act_until() == kClaimed + kAuthority);
  owners.RecordStopped(kClaimed, "incarnation-2");
  CHECK(owners.act_until() == kClaimed + Duration(3'000));
  owners.RecordBound(kClaimed, 2);
  CHECK(owners.act_until() == kClaimed);
}

// Guards against a wait for owners that ended long ago, and against a list that grows with each
// claim.
TEST_CASE("a claim lists only the owners that may still act") {
  const std::vector before{OwnerWithEpoch(1), OwnerWithEpoch(2)};
  CHECK(OwnersBeforeClaim(OwnerWithEpoch(3), before, kAuthority, kAuthority).size() == 1);
  CHECK(OwnersBeforeClaim(OwnerWithEpoch(3), before, Duration(7'999), kAuthority).size() == 3);
}

// Guards against an owner that is forgotten because too many claims followed in a short time.
TEST_CASE("the oldest of too many earlier owners cannot be asked, and is waited for") {
  std::vector<EarlierOwner> owners;
  for (std::uint64_t epoch = 1; epoch <= 2 * kMaxEarlierOwners; ++epoch) {
    owners = OwnersBeforeClaim(OwnerWithEpoch(epoch), owners, Duration(100), kAuthority);
  }
  CHECK(owners.size() == kMaxEarlierOwners);
  EarlierOwners earlier(owners, kClaimed + kAuthority);
  for (const EarlierOwner& owner : earlier.Askable(kClaimed)) {
    earlier.RecordStopped(kClaimed, owner.incarnation);
  }
  CHECK(earlier.act_until() == kClaimed + kAuthority);
}

}  // namespace cranberryplank
