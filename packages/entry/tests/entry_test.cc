#include <catch2/catch.hpp>
#include <stdexcept>

#include "cranberryplank/entry/caller_gateway.h"
#include "cranberryplank/entry/job_settings.h"
#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/watched_prefix.h"
#include "fake_key_value_store.h"

namespace cranberryplank {

namespace {

/// A worker link that sends nothing. These tests start no tasks.
class SilentLink : public WorkerLink {
 public:
  void RenewLease(const WorkerInfo&, const LeaseRenewalOrder&) override {}
  void Start(const WorkerInfo&, const StartOrder&) override {}
  void Stop(const WorkerInfo&, const StopOrder&) override {}
  void Throttle(const WorkerInfo&, const ThrottleOrder&) override {}
  void Advise(const AdviceOrder&) override {}
};

JobSpec TestJob(const std::string& id) {
  JobSpec spec;
  spec.id = id;
  spec.queue = "queue";
  spec.pool = "pool";
  StepSpec step;
  step.count = 1;
  spec.steps.push_back(step);
  return spec;
}

/// An owner of the schedule with its path to the store.
struct OwnerFixture {
  TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  ScheduleOwnership ownership{
      &store, "duty/schedule", {"vm-1", "127.0.0.1:7000", "incarnation-1", 0, {}}};
  SilentLink link;
  Scheduler scheduler{SchedulerSettings{}, &link};
  StateWriter writer{&store, &ownership, &scheduler};

  OwnerFixture() {
    ownership.Read(now);
    store.Deliver(now);
    ownership.Claim(now);
    store.Deliver(now);
    Takeover takeover;
    takeover.epoch = ownership.revision();
    scheduler.Begin({now, 0}, takeover);
    Step();
  }

  /// Sends the pending changes and delivers the store's replies.
  void Step() {
    now += Duration(200);
    writer.Tick({now, 0});
    store.Deliver(now);
  }
};

}  // namespace

TEST_CASE("a claim sets the epoch, and a later claim ends the ownership") {
  OwnerFixture fixture;
  REQUIRE(fixture.ownership.owned());
  ScheduleOwnership other(&fixture.store, "duty/schedule",
                          {"vm-2", "127.0.0.1:7001", "incarnation-2", 0, {}});
  other.Read(fixture.now);
  fixture.store.Deliver(fixture.now);
  other.Claim(fixture.now);
  fixture.store.Deliver(fixture.now);
  CHECK(other.owned());
  CHECK(other.revision() > fixture.ownership.revision());
  CHECK(other.record()->generation == 1);
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [](bool) {});
  fixture.Step();
  CHECK_FALSE(fixture.ownership.owned());
}

// Guards against an owner that reuses the epoch of an ownership that it has lost. The fences of its
// new scheduler are lower than those that workers have seen, so it is fenced and loses the
// ownership again in an endless loop.
TEST_CASE("a lost ownership is claimed again") {
  OwnerFixture fixture;
  const std::uint64_t epoch = fixture.ownership.revision();
  fixture.ownership.Lose(fixture.now, "the store has not confirmed the ownership in time");
  fixture.ownership.Tick(fixture.now);
  fixture.store.Deliver(fixture.now);
  CHECK_FALSE(fixture.ownership.owned());
  CHECK(fixture.ownership.is_own_stale_record());
  fixture.ownership.Claim(fixture.now);
  fixture.store.Deliver(fixture.now);
  CHECK(fixture.ownership.owned());
  CHECK(fixture.ownership.revision() > epoch);
}

// Guards against starting an ownership twice when a read returns the claim before the claim's reply
// arrives. The second schedule then replaced the first. The destructor of the first unregistered
// the reply handler of the second, so the second received no replies from workers.
TEST_CASE("a claim starts only one ownership if it is read before its reply arrives") {
  OwnerFixture fixture;
  ScheduleOwnership other(&fixture.store, "duty/schedule",
                          {"vm-2", "127.0.0.1:7001", "incarnation-2", 0, {}});
  int acquired = 0;
  other.signal_acquired().connect([&](TimePoint) { ++acquired; });
  other.Read(fixture.now);
  fixture.store.Deliver(fixture.now);
  other.Claim(fixture.now);
  other.Read(fixture.now);
  fixture.store.DeliverNewestFirst(fixture.now);
  CHECK(other.owned());
  CHECK(acquired == 1);
}

// Guards against a reply before the job is stored. The job would be lost if the owner failed.
TEST_CASE("a submission is answered only once it is stored") {
  OwnerFixture fixture;
  std::optional<bool> stored;
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [&](bool ok) { stored = ok; });
  CHECK_FALSE(stored.has_value());
  fixture.Step();
  CHECK(stored == true);
  CHECK_FALSE(fixture.store.Value(JobKey("a")).empty());
}

// Guards against refusing a job that runs anyway. A refused transaction was not applied, so the job
// must not be stored later.
TEST_CASE("a refused transaction withdraws its new jobs") {
  OwnerFixture fixture;
  std::optional<bool> stored;
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [&](bool ok) { stored = ok; });
  fixture.store.next_fault = CommitFault::kRefuse;
  fixture.Step();
  CHECK(stored == false);
  fixture.Step();
  CHECK(fixture.store.Value(JobKey("a")).empty());
}

TEST_CASE("an applied transaction whose answer was lost is recognized") {
  OwnerFixture fixture;
  std::optional<bool> stored;
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [&](bool ok) { stored = ok; });
  fixture.store.next_fault = CommitFault::kLoseAnswer;
  fixture.Step();
  CHECK_FALSE(stored.has_value());
  fixture.Step();
  CHECK(stored == true);
  CHECK(fixture.ownership.owned());
}

// Guards against a transaction that the store applies seconds late, over a newer one. Tasks whose
// ended runs had been acknowledged were then started again.
TEST_CASE("a late transaction never overwrites a newer one") {
  OwnerFixture fixture;
  std::optional<bool> stored;
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [&](bool ok) { stored = ok; });
  fixture.store.next_fault = CommitFault::kApplyLate;
  fixture.Step();
  CHECK_FALSE(stored.has_value());
  fixture.Step();
  CHECK(stored == true);
  fixture.scheduler.Cancel({fixture.now, 0}, "a", [](bool) {});
  fixture.Step();
  const std::string newest = fixture.store.Value(JobKey("a"));
  CHECK(fixture.store.ApplyLate() == 0);
  CHECK(fixture.store.Value(JobKey("a")) == newest);
}

// Guards against accepting a withdrawn key at a daemon that cannot receive the withdrawal.
TEST_CASE("keys are refused while the configuration may be out of date") {
  ClusterConfig config;
  QueueConfig queue;
  queue.name = "queue";
  config.queues.push_back(queue);
  config.customers.push_back({"customer", {"key"}, 1, {}});
  const Duration max_age{4'600};
  const ConfigAge fresh{Duration(0), max_age, false};
  const ConfigAge stale{max_age, max_age, false};
  CHECK(CheckAccess(nullptr, nullptr, "key", fresh) == AccessRefusal::kNoConfig);
  CHECK(CheckAccess(&config, nullptr, "key", fresh) == AccessRefusal::kNoSuchQueue);
  CHECK(CheckAccess(&config, &queue, "key", fresh) == AccessRefusal::kNone);
  CHECK(CheckAccess(&config, &queue, "other", fresh) == AccessRefusal::kUnknownKey);
  CHECK(CheckAccess(&config, &queue, "key", stale) == AccessRefusal::kStaleConfig);
  // Guards against a wrong "no such queue" from a daemon that knows of a newer configuration.
  const ConfigAge behind{Duration(0), max_age, true};
  CHECK(CheckAccess(&config, nullptr, "key", behind) == AccessRefusal::kStaleConfig);
  CHECK(CheckAccess(&config, nullptr, "key", stale) == AccessRefusal::kStaleConfig);
  CHECK(CheckAccess(&config, &queue, "other", behind) == AccessRefusal::kStaleConfig);
  CHECK(CheckAccess(&config, &queue, "key", behind) == AccessRefusal::kNone);
  queue.open_to_all = true;
  CHECK(CheckAccess(&config, &queue, "", stale) == AccessRefusal::kNone);
}

// Guards against a copy that keeps items whose removal is missing from the store's history.
TEST_CASE("a watched prefix survives the loss of the store's history") {
  FakeKeyValueStore store;
  store.Put("op/a", "1");
  store.Put("op/b", "1");
  std::map<std::string, std::string> copy;
  TimePoint now{std::chrono::seconds(5)};
  WatchedPrefix prefix(&store, "op/", Duration(1'000), [&](TimePoint, const KvItem& item) {
    if (item.deleted) {
      copy.erase(item.key);
    } else {
      copy[item.key] = item.value;
    }
  });
  prefix.Start(now);
  store.Deliver(now);
  CHECK(copy.size() == 2);
  CHECK(store.watched_after == store.revision());
  store.Put("op/a", "2");
  store.Erase("op/b");
  KvReadReply gone;
  gone.status = KvStatus::kCompacted;
  now += Duration(500);
  store.EndWatch(now, gone);
  store.Deliver(now);
  CHECK(copy == std::map<std::string, std::string>{{"op/a", "2"}});
  CHECK(prefix.confirmed_at() == now);
}

// Guards against a list that is no longer followed: an exception about one item ended the handling
// of the reply, and the watch returned to that item for ever.
TEST_CASE("an item that cannot be handled does not hold up the watch of a prefix") {
  FakeKeyValueStore store;
  std::vector<std::string> handled;
  TimePoint now{std::chrono::seconds(5)};
  WatchedPrefix prefix(&store, "op/", Duration(1'000), [&](TimePoint, const KvItem& item) {
    if (item.value == "odd") {
      throw std::runtime_error("the item cannot be handled");
    }
    handled.push_back(item.key);
  });
  store.Put("op/a", "odd");
  store.Put("op/b", "1");
  prefix.Start(now);
  store.Deliver(now);
  REQUIRE(prefix.loaded());
  CHECK(handled == std::vector<std::string>{"op/b"});

  KvReadReply reply;
  reply.status = KvStatus::kOk;
  reply.revision = store.revision() + 2;
  reply.items = {{"op/c", "odd", store.revision() + 1, false},
                 {"op/d", "1", store.revision() + 2, false}};
  store.EndWatch(now, reply);
  CHECK(handled == std::vector<std::string>{"op/b", "op/d"});
  CHECK(store.watched_after == reply.revision);
}

// Guards against a load that never ends. Loading a large configuration over a slow link takes
// longer than the refresh interval. If each refresh restarted the load, it would never finish.
TEST_CASE("a refresh does not restart a load in progress") {
  FakeKeyValueStore store;
  store.Put("op/a", "1");
  int items = 0;
  const TimePoint now{std::chrono::seconds(5)};
  WatchedPrefix prefix(&store, "op/", Duration(1'000), [&](TimePoint, const KvItem&) { ++items; });
  prefix.Start(now);
  prefix.Refresh(now + Duration(200));
  store.DeliverFirst(now + Duration(300));
  CHECK(items == 1);
  CHECK(prefix.loaded());
}

TEST_CASE("messages between daemons survive encoding and decoding") {
  OwnerCall call;
  call.kind = OwnerCallKind::kSubmit;
  call.job = "a";
  call.queue = "queue";
  call.spec = TestJob("a");
  CHECK_FALSE(DecodeOwnerCall(EncodeOwnerCall(call))->queue_config);
  call.queue_config = QueueConfig{};
  call.queue_config->name = "queue";
  call.queue_config->max_attempts = 4;
  const auto decoded = DecodeOwnerCall(EncodeOwnerCall(call));
  REQUIRE(decoded);
  CHECK(decoded->queue_config->max_attempts == 4);
  CHECK(decoded->state_format == kProgressLogFormat);
  CHECK(decoded->spec->queue == "queue");
  OwnerReply reply;
  reply.status = OwnerStatus::kRefused;
  reply.retry_after_ms = 1'500;
  reply.ping_interval_ms = 700;
  CHECK(DecodeOwnerReply(EncodeOwnerReply(reply))->ping_interval_ms == 700);
  CHECK(DecodeOwnerReply(EncodeOwnerReply(reply))->retry_after_ms == 1'500);
  CHECK_FALSE(DecodeOwnerCall("nonsense").has_value());
  CHECK_FALSE(DecodeOwnerReply("").has_value());
}

TEST_CASE("settings are checked") {
  const std::string text = R"(
[daemon]
id = "vm-1"
zone = "a"
[listen]
callers = "127.0.0.1:8340"
ready = "127.0.0.1:8343"
daemons = "127.0.0.1:7000"
metrics = "127.0.0.1:7001"
[platform]
store = "127.0.0.1:8344"
[bounds]
move_s = 1.5
shutdown_grace_s = 6
)";
  JobSettingsReader reader;
  const auto settings = reader.ReadText(text);
  REQUIRE(settings);
  CHECK(settings->move_time == Duration(1'500));
  CHECK(settings->shutdown_grace == Duration(6'000));
  CHECK_FALSE(settings->machines.has_value());
  CHECK_FALSE(reader.ReadText(text + "stop_ms = \"x\"\n").has_value());
  CHECK(reader.last_reason().find("stop_ms") != std::string::npos);
  // Guards against a misspelt table, whose bounds would silently keep their defaults.
  CHECK_FALSE(reader.ReadText(text + "[bound]\nstop_ms = 1\n").has_value());
  // Guards against a wait for data locality on platforms that do not state the far factor, and
  // against a factor that would make a task faster away from its data.
  CHECK(settings->far_factor == 1);
  const auto far = reader.ReadText(text + "[placement]\nfar_factor = 2\n");
  REQUIRE(far);
  CHECK(far->far_factor == 2);
  CHECK_FALSE(reader.ReadText(text + "[placement]\nfar_factor = 0.5\n").has_value());
  CHECK(reader.last_reason().find("far_factor") != std::string::npos);
  // Guards against characters on which the TOML library has undefined behaviour.
  CHECK_FALSE(reader.ReadText(text + "# \xc3\xa9\n").has_value());
  CHECK(reader.last_reason().find("ASCII") != std::string::npos);
}

}  // namespace cranberryplank
