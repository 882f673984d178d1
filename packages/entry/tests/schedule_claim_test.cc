#include "cranberryplank/entry/schedule_claim.h"

#include <event2/event.h>

#include <catch2/catch.hpp>
#include <memory>

#include "cranberryplank/platform/http_client.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

/// A daemon whose pings to the owner are never answered.
class WaitingDaemon {
 public:
  explicit WaitingDaemon(FakeKeyValueStore* store)
      : m_store(store),
        m_base(event_base_new(), &event_base_free),
        m_http(m_base.get()),
        m_owner_client(&m_http, "127.0.0.1:7002", 1),
        ownership(store, "duty/schedule", {"vm-2", "127.0.0.1:7002", "incarnation-2", 0, {}}),
        m_claim(store, &ownership, &m_owner_client, &m_random) {}

  void ReadRecord(TimePoint now) {
    ownership.Read(now);
    m_store->Deliver(now);
  }

  /// Stops hearing of the owner from now on.
  void LoseOwner(TimePoint now) {
    m_owner_client.SetOwner(now, "127.0.0.1:7001");
    m_owner_client.Tick(now, 0);
  }

  void RunUntil(TimePoint* now, TimePoint end) {
    for (; *now < end; *now += Duration(10)) {
      m_claim.Tick(*now, 1, *now);
      m_store->Deliver(*now);
    }
  }

 private:
  FakeKeyValueStore* m_store;
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  HttpClient m_http;
  OwnerClient m_owner_client;
  SystemRandom m_random;

 public:
  ScheduleOwnership ownership;

 private:
  ScheduleClaim m_claim;
};

struct ClaimFixture {
  ClaimFixture() {
    Claim(&owner);
    daemon.ReadRecord(now);
    now += Duration(10'000);
    daemon.LoseOwner(now);
  }

  void Claim(ScheduleOwnership* claimer) {
    claimer->Read(now);
    store.Deliver(now);
    claimer->Claim(now);
    store.Deliver(now);
    REQUIRE(claimer->owned());
  }

  /// Writes the cursor as the owner of an epoch does with each transaction.
  void WriteAs(const ScheduleOwnership& writer, int transaction) {
    store.Put(std::string(kCursorKey),
              std::to_string(writer.revision()) + kCursorSeparator + std::to_string(transaction));
  }

  TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  ScheduleOwnership owner{
      &store, "duty/schedule", {"vm-1", "127.0.0.1:7001", "incarnation-1", 0, {}}};
  ScheduleOwnership successor{
      &store, "duty/schedule", {"vm-3", "127.0.0.1:7003", "incarnation-3", 0, {}}};
  WaitingDaemon daemon{&store};
};

constexpr Duration kKnownWithin{500};

}  // namespace

// Guards against calls that are refused for seconds after the owner was killed: the writes of its
// successor were taken for signs of life of the killed owner.
TEST_CASE("a new owner is known shortly after its claim, whether it has written or not") {
  const bool writes = GENERATE(false, true);
  ClaimFixture fixture;
  const TimePoint silent_since = fixture.now;
  fixture.daemon.RunUntil(&fixture.now, silent_since + Duration(450));
  fixture.Claim(&fixture.successor);
  const TimePoint claimed = fixture.now;
  for (int transaction = 1; fixture.now < claimed + kKnownWithin; ++transaction) {
    if (writes) {
      fixture.WriteAs(fixture.successor, transaction);
    }
    fixture.daemon.RunUntil(&fixture.now, fixture.now + Duration(50));
  }
  CHECK(fixture.daemon.ownership.revision() == fixture.successor.revision());
}

// Guards against a takeover from an owner that is too busy to answer pings.
TEST_CASE("an owner that writes to the store is not replaced while it is silent") {
  ClaimFixture fixture;
  const TimePoint silent_since = fixture.now;
  for (int transaction = 1; fixture.now < silent_since + Duration(2'500); ++transaction) {
    fixture.WriteAs(fixture.owner, transaction);
    fixture.daemon.RunUntil(&fixture.now, fixture.now + Duration(100));
  }
  CHECK_FALSE(fixture.daemon.ownership.owned());
  CHECK(fixture.daemon.ownership.revision() == fixture.owner.revision());
}

}  // namespace cranberryplank
