#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/entry/schedule_owner.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

constexpr Duration kDrainTime{2'000};  ///< How long a worker that drains accepts starts.
constexpr Duration kTick{50};

/// Decodes a registration of which the value is the worker's state.
class StateFormat : public WaveFormat {
 public:
  std::optional<WorkerInfo> DecodeWorker(const KvItem& item) const override {
    WorkerInfo info;
    info.id = item.key;
    info.pool = "pool";
    info.capacity = {8'000, 8'000, 0};
    info.started_unix_ms = 1;
    info.draining = item.value == "draining";
    return info;
  }
};

/// Keeps starts, and answers renewals as a worker without runs.
class IdleWorkersLink : public KeepingLink {
 public:
  void SetEvents(WorkerEvents* events) override { m_events = events; }

  void AnswerRenewals(TimePoint now) {
    for (const auto& [id, order] : std::exchange(renewals, {})) {
      LeaseRenewalReply reply;
      reply.call = order.call;
      reply.outcome = CallOutcome::kOk;
      reply.clock_ms = std::chrono::duration_cast<Duration>(now.time_since_epoch()).count();
      reply.started_unix_ms = 1;
      m_events->OnLeaseRenewal(now, id, reply);
    }
  }

 private:
  WorkerEvents* m_events = nullptr;
};

/// An owner of the schedule with one worker. The store answers all calls but the watch of the
/// registrations, whose answers the test gives.
class RegistrationsFixture {
 public:
  RegistrationsFixture() {
    store.Put("servers/worker", "ready");
    m_ownership.Read(now);
    store.Deliver(now);
    m_ownership.Claim(now);
    store.Deliver(now);
    m_owner = std::make_unique<ScheduleOwner>(
        ScheduleOwnerParts{&store, &link, &m_format, &m_ownership, nullptr}, SchedulerSettings{},
        VmFleetSettings{});
    ClusterConfig config;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    config.queues.push_back(queue);
    config.pools["pool"] = {"pool", false, false};
    m_owner->SetConfig({now, 0}, std::make_shared<const ClusterConfig>(config));
    m_owner->Begin({now, 0});
    Run(Duration(500));
    REQUIRE(m_owner->ready());
  }

  /// Lets the time pass. The registrations are not confirmed meanwhile.
  void Run(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      now += kTick;
      m_ownership.Tick(now);
      m_owner->Tick({now, 0});
      store.Deliver(now);
      link.AnswerRenewals(now);
    }
    REQUIRE(m_ownership.owned());
  }

  void Submit(const std::string& id) {
    OwnerCall call;
    call.kind = OwnerCallKind::kSubmit;
    call.job = id;
    call.queue = "queue";
    call.spec.emplace();
    call.spec->id = id;
    call.spec->queue = "queue";
    call.spec->pool = "pool";
    StepSpec step;
    step.count = 1;
    step.per_task = {100, 100, 0};
    call.spec->steps.push_back(step);
    m_owner->Handle({now, 0}, call, [](TimePoint, const OwnerReply&) {});
  }

  /// Ends the watch of the registrations. @param items the changed registrations
  void EndWatch(KvStatus status, std::vector<KvItem> items = {}) {
    KvReadReply reply;
    reply.status = status;
    reply.revision = store.revision();
    reply.items = std::move(items);
    store.EndWatch(now, reply);
  }

  bool Started(const std::string& job) const {
    return std::any_of(link.starts.begin(), link.starts.end(),
                       [&](const auto& start) { return start.second.task.job == job; });
  }

  TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  IdleWorkersLink link;

 private:
  ScheduleOwnership m_ownership{
      &store, "duty/schedule", {"vm-1", "127.0.0.1:7000", "incarnation-1", 0, {}}};
  StateFormat m_format;
  std::unique_ptr<ScheduleOwner> m_owner;
};

}  // namespace

// Guards against DRAIN: the connection of the watch went silent, and the owner, whose other calls
// were answered, started tasks for seconds on workers that had reported that they drain.
TEST_CASE("no task is started by registrations older than the time that a worker drains") {
  RegistrationsFixture fixture;
  fixture.EndWatch(KvStatus::kOk);
  const TimePoint confirmed = fixture.now;
  fixture.Submit("first");
  fixture.Run(Duration(300));
  REQUIRE(fixture.Started("first"));
  CHECK(fixture.link.starts.front().second.not_after < confirmed + kDrainTime);

  fixture.store.Put("servers/worker", "draining");
  fixture.Run(kDrainTime);
  fixture.Submit("second");
  fixture.Run(Duration(3'000));
  CHECK_FALSE(fixture.Started("second"));
}

// Guards against an owner that starts nothing any more once its registrations were old.
TEST_CASE("tasks are started again once the registrations are confirmed") {
  RegistrationsFixture fixture;
  fixture.Run(Duration(5'000));
  fixture.Submit("job");
  fixture.EndWatch(KvStatus::kUnknown);
  fixture.Run(Duration(300));  // The watch is sent again.
  fixture.EndWatch(KvStatus::kOk);
  fixture.Run(Duration(300));
  CHECK(fixture.Started("job"));
}

}  // namespace cranberryplank
