#include <catch2/catch.hpp>

#include "cranberryplank/entry/caller_front.h"
#include "cranberryplank/entry/duty_keeper.h"
#include "cranberryplank/entry/job_settings.h"
#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/watched_prefix.h"
#include "fake_key_value_store.h"

namespace cranberryplank {

namespace {

/// A link that sends nothing: the tests here start no task.
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

/// An owner's way to the store.
struct OwnerFixture {
  TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  DutyKeeper duty{&store, "duty/schedule", {"vm-1", "127.0.0.1:7000", "incarnation-1", 0}};
  SilentLink link;
  Scheduler scheduler{SchedulerSettings{}, &link};
  StateWriter writer{&store, &duty, &scheduler};

  OwnerFixture() {
    duty.Read(now);
    store.Deliver(now);
    duty.Claim(now);
    store.Deliver(now);
    Takeover takeover;
    takeover.epoch = duty.revision();
    scheduler.Begin({now, 0}, takeover);
    Step();
  }

  /// Sends what is to be stored and delivers the answers.
  void Step() {
    now += Duration(200);
    writer.Tick({now, 0});
    store.Deliver(now);
  }
};

}  // namespace

TEST_CASE("a claim gives the epoch, and another claim takes the duty away") {
  OwnerFixture fixture;
  REQUIRE(fixture.duty.owned());
  DutyKeeper other(&fixture.store, "duty/schedule", {"vm-2", "127.0.0.1:7001", "incarnation-2", 0});
  other.Read(fixture.now);
  fixture.store.Deliver(fixture.now);
  other.Claim(fixture.now);
  fixture.store.Deliver(fixture.now);
  CHECK(other.owned());
  CHECK(other.revision() > fixture.duty.revision());
  CHECK(other.record()->generation == 1);
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [](bool) {});
  fixture.Step();
  CHECK_FALSE(fixture.duty.owned());
}

// Guards against an owner that goes on under an epoch that it has lost: its new scheduler's fences
// are lower than those that workers have seen, so that it is fenced, loses the duty and begins
// again without end.
TEST_CASE("an ownership that was lost is claimed anew") {
  OwnerFixture fixture;
  const std::uint64_t epoch = fixture.duty.revision();
  fixture.duty.Lose(fixture.now, "the store has not confirmed the ownership in time");
  fixture.duty.Tick(fixture.now);
  fixture.store.Deliver(fixture.now);
  CHECK_FALSE(fixture.duty.owned());
  CHECK(fixture.duty.is_earlier_self());
  fixture.duty.Claim(fixture.now);
  fixture.store.Deliver(fixture.now);
  CHECK(fixture.duty.owned());
  CHECK(fixture.duty.revision() > epoch);
}

// Guards against an ownership that begins twice when a read shows the claim before its answer
// comes: the second schedule replaced the first, whose end took the workers' answers away from it
// (onds-fes, trouble-2: LOST).
TEST_CASE("a claim that a read shows before its answer begins one ownership") {
  OwnerFixture fixture;
  DutyKeeper other(&fixture.store, "duty/schedule", {"vm-2", "127.0.0.1:7001", "incarnation-2", 0});
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

// Guards against an answer before the job is stored: the job would be lost with its owner.
TEST_CASE("a submission is answered only once it is stored") {
  OwnerFixture fixture;
  std::optional<bool> stored;
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [&](bool ok) { stored = ok; });
  CHECK_FALSE(stored.has_value());
  fixture.Step();
  CHECK(stored == true);
  CHECK_FALSE(fixture.store.Value(JobKey("a")).empty());
}

// Guards against a refusal of a job that runs all the same: the store said that nothing was done.
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

TEST_CASE("a transaction whose answer was lost is found to be done") {
  OwnerFixture fixture;
  std::optional<bool> stored;
  fixture.scheduler.Submit({fixture.now, 0}, TestJob("a"), [&](bool ok) { stored = ok; });
  fixture.store.next_fault = CommitFault::kLoseAnswer;
  fixture.Step();
  CHECK_FALSE(stored.has_value());
  fixture.Step();
  CHECK(stored == true);
  CHECK(fixture.duty.owned());
}

// Guards against a transaction that the store carries out seconds later, over a newer one: tasks
// whose ends were acknowledged were started again (onds-fes, mix --seed 231155734016).
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

TEST_CASE("nobody claims from an owner that answers") {
  SuccessionView view;
  view.owner_known = true;
  view.known_for = Duration(60'000);
  view.silence = Duration(200);
  CHECK_FALSE(ShouldClaim(view));
  view.silence = Duration(1'200);
  CHECK(ShouldClaim(view));
  // Guards against claims by a daemon that is itself cut from the store.
  view.store_age = Duration(5'000);
  CHECK_FALSE(ShouldClaim(view));
  view.store_age = Duration(0);
  view.silence = Duration(0);
  view.owner_cut_from_store = true;
  CHECK(ShouldClaim(view));
  // Guards against daemons that take the duty from one another before the new owner has begun.
  view.known_for = Duration(500);
  CHECK_FALSE(ShouldClaim(view));
}

// Guards against calls with a withdrawn key at a daemon that can not learn of the withdrawal.
TEST_CASE("keys are refused while the configuration may be out of date") {
  ClusterConfig config;
  QueueConfig queue;
  queue.name = "queue";
  config.queues.push_back(queue);
  config.customers.push_back({"customer", {"key"}, 1, {}});
  const Duration max_age{4'600};
  const ConfigAge fresh{Duration(0), max_age, false};
  const ConfigAge stale{max_age, max_age, false};
  CHECK(CheckAccess(nullptr, nullptr, "key", fresh) == FrontRefusal::kNoConfig);
  CHECK(CheckAccess(&config, nullptr, "key", fresh) == FrontRefusal::kNoSuchQueue);
  CHECK(CheckAccess(&config, &queue, "key", fresh) == FrontRefusal::kNone);
  CHECK(CheckAccess(&config, &queue, "other", fresh) == FrontRefusal::kUnknownKey);
  CHECK(CheckAccess(&config, &queue, "key", stale) == FrontRefusal::kStaleConfig);
  // Guards against a false "no such queue" of a daemon that knows of a newer configuration.
  const ConfigAge behind{Duration(0), max_age, true};
  CHECK(CheckAccess(&config, nullptr, "key", behind) == FrontRefusal::kStaleConfig);
  CHECK(CheckAccess(&config, nullptr, "key", stale) == FrontRefusal::kStaleConfig);
  CHECK(CheckAccess(&config, &queue, "other", behind) == FrontRefusal::kStaleConfig);
  CHECK(CheckAccess(&config, &queue, "key", behind) == FrontRefusal::kNone);
  queue.open_to_all = true;
  CHECK(CheckAccess(&config, &queue, "", stale) == FrontRefusal::kNone);
}

// Guards against a copy that keeps entries which were removed while the history was lost.
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

// Guards against a load that never ends: on a slow link a large configuration takes longer than the
// time between two refreshes (grown tpnp-shortlist, hunt-53c7-3: CONFIG).
TEST_CASE("a refresh does not abandon a load under way") {
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

TEST_CASE("messages between daemons survive their encoding") {
  OwnerCall call;
  call.kind = OwnerCallKind::kSubmit;
  call.job = "a";
  call.queue = "queue";
  call.spec = TestJob("a");
  const auto decoded = DecodeOwnerCall(EncodeOwnerCall(call));
  REQUIRE(decoded);
  CHECK(decoded->spec->queue == "queue");
  OwnerReply reply;
  reply.status = OwnerStatus::kRefused;
  reply.retry_after_ms = 1'500;
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
  // Guards against a misspelt table whose bounds would silently keep their defaults.
  CHECK_FALSE(reader.ReadText(text + "[bound]\nstop_ms = 1\n").has_value());
  // Guards against characters on which the TOML library has undefined behaviour.
  CHECK_FALSE(reader.ReadText(text + "# \xc3\xa9\n").has_value());
  CHECK(reader.last_reason().find("ASCII") != std::string::npos);
}

}  // namespace cranberryplank
