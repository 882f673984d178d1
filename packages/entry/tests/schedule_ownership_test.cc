#include "cranberryplank/entry/schedule_ownership.h"

#include <catch2/catch.hpp>

#include "fake_key_value_store.h"

namespace cranberryplank {

namespace {

struct OwnershipFixture {
  OwnershipFixture() { Claim(&ownership); }

  void Claim(ScheduleOwnership* claimer) {
    claimer->Read(now);
    store.Deliver(now);
    claimer->Claim(now);
    store.Deliver(now);
    REQUIRE(claimer->owned());
  }

  /// Lets the time pass while a decision waits for a confirmation.
  void RunWithRequests(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += Duration(10);
      ownership.RequestConfirmation(now);
      store.Deliver(now);
    }
  }

  TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  ScheduleOwnership ownership{
      &store, "duty/schedule", {"vm-1", "127.0.0.1:7000", "incarnation-1", 0, {}}};
  ScheduleOwnership other{
      &store, "duty/schedule", {"vm-2", "127.0.0.1:7001", "incarnation-2", 0, {}}};
};

}  // namespace

// Guards against decisions that wait for the timeout of a read that was sent in the last moments of
// a silent outage, though the store answers again.
TEST_CASE("a read that is never answered delays the next confirmation only shortly") {
  OwnershipFixture fixture;
  fixture.now += Duration(1'000);
  fixture.ownership.RequestConfirmation(fixture.now);
  fixture.store.Hold();
  const TimePoint hung = fixture.now;
  fixture.RunWithRequests(Duration(400));
  CHECK(fixture.ownership.confirmed() > hung);
}

// Guards against a crowd of reads while the store does not answer.
TEST_CASE("at most two reads of the ownership are under way") {
  OwnershipFixture fixture;
  int reads = 0;
  for (int i = 0; i < 300; ++i) {
    fixture.now += Duration(10);
    fixture.ownership.RequestConfirmation(fixture.now);
    reads += fixture.store.queued_replies();
    fixture.store.Hold();
  }
  CHECK(reads == 2);
}

// Guards against an owner that takes its lost ownership for its own again: the reply to a read on a
// connection that was silent for a while arrived after the reply to a later read.
TEST_CASE("the reply to an earlier read does not replace that to a later one") {
  OwnershipFixture fixture;
  fixture.now += Duration(1'000);
  fixture.ownership.Read(fixture.now);
  fixture.store.Hold();
  fixture.Claim(&fixture.other);
  fixture.RunWithRequests(Duration(400));
  REQUIRE_FALSE(fixture.ownership.owned());
  fixture.store.DeliverHeld(fixture.now);
  CHECK_FALSE(fixture.ownership.owned());
  CHECK_FALSE(fixture.ownership.is_own_stale_record());
}

}  // namespace cranberryplank
