#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cranberryplank/entry/schedule_owner.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

/// Longest time in which a call about an unknown job must be answered.
constexpr Duration kAnswerBound{500};

/// An owner of the schedule, and another daemon with the same store.
class UnknownJobFixture {
 public:
  UnknownJobFixture() {
    m_ownership.Read(m_now);
    m_store.Deliver(m_now);
    m_ownership.Claim(m_now);
    m_store.Deliver(m_now);
    m_owner = std::make_unique<ScheduleOwner>(
        ScheduleOwnerParts{&m_store, &m_link, &m_format, &m_ownership, nullptr},
        SchedulerSettings{}, VmFleetSettings{});
    m_ownership.signal_lost().connect([this](TimePoint) { m_lost = true; });
    ClusterConfig config;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    config.queues.push_back(queue);
    m_owner->SetConfig({m_now, 0}, std::make_shared<const ClusterConfig>(config));
    m_owner->Begin({m_now, 0});
    Run(Duration(500));
    REQUIRE(m_owner->ready());
  }

  /// Calls the owner about a job that it does not know. @return the answer; it may come later
  std::shared_ptr<std::optional<OwnerStatus>> Call(OwnerCallKind kind) {
    OwnerCall call;
    call.kind = kind;
    call.job = "job";
    call.queue = "queue";
    auto status = std::make_shared<std::optional<OwnerStatus>>();
    m_owner->Handle({m_now, 0}, call,
                    [status](TimePoint, const OwnerReply& reply) { *status = reply.status; });
    return status;
  }

  /// Lets the other daemon take over. The owner has not heard of it, as after a freeze.
  void TakeOver() {
    m_other.Read(m_now);
    m_store.Deliver(m_now);
    m_other.Claim(m_now);
    m_store.Deliver(m_now);
    REQUIRE(m_other.owned());
  }

  void Run(Duration time, bool store_answers = true) {
    for (const TimePoint end = m_now + time; m_now < end;) {
      m_now += Duration(10);
      if (m_owner) {
        m_owner->Tick({m_now, 0});
      }
      if (store_answers) {
        m_store.Deliver(m_now);
      }
      if (m_lost && m_owner) {
        m_owner->End(m_now);
        m_owner.reset();
      }
    }
  }

 private:
  TimePoint m_now{std::chrono::seconds(50)};
  FakeKeyValueStore m_store;
  KeepingLink m_link;
  WaveFormat m_format;
  ScheduleOwnership m_ownership{
      &m_store, "duty/schedule", {"vm-1", "127.0.0.1:7000", "incarnation-1", 0, {}}};
  ScheduleOwnership m_other{
      &m_store, "duty/schedule", {"vm-2", "127.0.0.1:7001", "incarnation-2", 0, {}}};
  std::unique_ptr<ScheduleOwner> m_owner;
  bool m_lost = false;
};

}  // namespace

// Guards against a caller that believes its job is cancelled while it runs (review/5): an owner
// that was replaced while it was frozen answered "no such job" from memory, though its successor
// had accepted the job.
TEST_CASE("an owner that was replaced does not deny a job that its successor may have") {
  const OwnerCallKind kind = GENERATE(OwnerCallKind::kCancel, OwnerCallKind::kGetState);
  UnknownJobFixture fixture;
  fixture.TakeOver();
  const auto status = fixture.Call(kind);
  fixture.Run(kAnswerBound);
  REQUIRE(status->has_value());
  CHECK(*status != OwnerStatus::kNoSuchJob);
}

// Guards against calls about unknown jobs that are never answered, or not truthfully.
TEST_CASE("an owner that the store confirms denies a job that does not exist") {
  const OwnerCallKind kind = GENERATE(OwnerCallKind::kCancel, OwnerCallKind::kGetState);
  UnknownJobFixture fixture;
  const auto status = fixture.Call(kind);
  fixture.Run(Duration(100));
  CHECK(*status == OwnerStatus::kNoSuchJob);
}

// Guards against a call that is held until its caller's deadline although it can't be answered.
TEST_CASE("a call about an unknown job is rejected soon while the store does not answer") {
  UnknownJobFixture fixture;
  const auto status = fixture.Call(OwnerCallKind::kGetState);
  fixture.Run(kAnswerBound, false);
  CHECK(*status == OwnerStatus::kNotReady);
}

}  // namespace cranberryplank
