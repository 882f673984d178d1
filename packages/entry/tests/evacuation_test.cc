#include <event2/event.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/entry/job_settings.h"
#include "cranberryplank/entry/operator_items.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/vm_operation.h"
#include "cranberryplank/jobs/job_codec.h"
#include "cranberryplank/platform/http_client.h"
#include "daemon_fixture.h"
#include "fake_key_value_store.h"
#include "fleet_fixture.h"

namespace cranberryplank {

namespace {

ListedVm VmIn(const std::string& pool, const std::string& zone) {
  return {"", pool, ListedVmState::kUp, zone, ""};
}

KvItem Item(const std::string& key, bool deleted, std::uint64_t revision) {
  KvItem item;
  item.key = key;
  item.value = "{}";
  item.revision = revision;
  item.deleted = deleted;
  return item;
}

/// Keeps starts, and answers renewals as workers without runs.
class AnsweringLink : public KeepingLink {
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

/// Decodes a registration of which the value is the worker's zone.
class ZoneFormat : public SubmissionFormat {
 public:
  std::optional<WorkerInfo> DecodeWorker(const KvItem& item) const override {
    WorkerInfo info;
    info.id = item.key;
    info.pool = "pool";
    info.zone = item.value;
    info.capacity = {8'000, 8'000, 0};
    info.started_unix_ms = 1;
    return info;
  }
};

/// Lets a daemon take over the schedule, of which a job has one task for each of two workers.
/// @return the workers on which it starts tasks
std::set<std::string> WorkersOfNewOwner(std::optional<Duration> evacuation_bound) {
  ConfiguredStore store;
  store.Put("op/evacuate/a", "{}");
  store.Put("servers/1", "a");
  store.Put("servers/2", "b");
  JobSpec spec;
  spec.id = "job";
  spec.queue = "queue";
  spec.pool = "pool";
  StepSpec step;
  step.count = 2;
  step.per_task = {8'000, 100, 0};
  step.estimate_ms = 500;
  spec.steps.push_back(step);
  store.Put(std::string(kJobPrefix) + "job", EncodeJob(spec));
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                     &event_base_free);
  HttpClient http(base.get(), HttpClientLimits{});
  SeededRandom random(1);
  AnsweringLink link;
  const ZoneFormat format;
  JobSettings settings = SettingsOf("owner");
  settings.evacuation_bound = evacuation_bound;
  JobService service(base.get(), settings, {&store, &link, nullptr, &format, &http, &random});
  const std::size_t expected = evacuation_bound ? 1 : 2;
  // One more second after the first start shows starts that come later.
  TimePoint end = Clock::now() + Duration(4'000);
  bool started = false;
  while (Clock::now() < end) {
    const Now now{Clock::now(), UnixMilliseconds()};
    store.Deliver(now.time);
    service.Tick(now);
    link.AnswerRenewals(now.time);
    event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    usleep(1'000);
    if (!started && link.starts.size() >= expected) {
      started = true;
      end = Clock::now() + Duration(1'000);
    }
  }
  std::set<std::string> workers;
  for (const auto& [id, order] : link.starts) {
    workers.insert(id);
  }
  return workers;
}

constexpr const char* kSettings = R"([daemon]
id = "m-1"
zone = "a"
[listen]
callers = "127.0.0.1:8000"
ready = "127.0.0.1:8001"
daemons = "127.0.0.1:7000"
metrics = "127.0.0.1:7001"
[platform]
store = "127.0.0.1:8344"
[bounds]
)";

}  // namespace

// Guards against a request that is missed or counted twice, a cancelled one that stays in force,
// and a malformed key that ends the watch.
TEST_CASE("evacuated zones follow the operators' keys") {
  const TimePoint now{std::chrono::seconds(50)};
  FakeKeyValueStore store;
  WaveFormat format;
  OperatorItems items{&store, &format};
  int changes = 0;
  items.signal_evacuation().connect([&](TimePoint) { ++changes; });
  items.SetEvacuationBound(Duration(5'000));
  store.Put("op/evacuate/", "{}");
  store.Put("op/evacuate/a", "not JSON");
  items.Start(now);
  CHECK_FALSE(items.loaded());
  store.Deliver(now);
  CHECK(items.loaded());
  CHECK(items.evacuated_zones() == ZoneSet{"a"});
  CHECK(changes == 1);
  KvReadReply reply;
  reply.status = KvStatus::kOk;
  reply.revision = 100;
  reply.items = {Item("op/evacuate/a", false, 98), Item("op/evacuate/", true, 99),
                 Item("op/evacuate/b", false, 100)};
  store.EndWatch(now, reply);
  CHECK(items.evacuated_zones() == ZoneSet{"a", "b"});
  CHECK(changes == 2);
  reply.revision = 101;
  reply.items = {Item("op/evacuate/a", true, 101)};
  store.EndWatch(now, reply);
  CHECK(items.evacuated_zones() == ZoneSet{"b"});
  CHECK(changes == 3);
}

// Guards against a pool that gets no VMs in place of those in the zone, and one that counts a VM of
// the zone on its way to it.
TEST_CASE("VMs in an evacuated zone do not count for their pool") {
  const std::map<std::string, ListedVm> vms = {
      {"1", VmIn("pool", "a")}, {"2", VmIn("pool", "b")}, {"moving", VmIn("standby", "a")}};
  VmOperation move;
  move.pool = "pool";
  const auto is_standby = [](const std::string& pool) { return pool == "standby"; };
  ZoneEvacuation evacuated;
  CHECK(CountPoolSizes(vms, {{"moving", move}}, is_standby, evacuated).vms.at("pool") == 3);
  evacuated.SetZones({"a"});
  const PoolSizes sizes = CountPoolSizes(vms, {{"moving", move}}, is_standby, evacuated);
  CHECK(sizes.vms.at("pool") == 1);
  CHECK(sizes.moving == 1);
}

// Guards against a VM of the zone that is moved into a pool for its capacity, or out of its pool
// while it counts as none.
TEST_CASE("VMs in an evacuated zone are replaced and not moved") {
  FleetFixture fixture;
  for (ListedVm& vm : fixture.machines.vms) {
    vm.zone = "a";
  }
  fixture.machines.vms.push_back({"spare-a", "standby", ListedVmState::kDown, "a", ""});
  fixture.machines.vms.push_back({"spare-b", "standby", ListedVmState::kDown, "b", ""});
  fixture.scheduler.SetEvacuatedZones({"a"});
  fixture.Begin();
  fixture.SubmitLongRunning(FleetFixture::kVms);
  fixture.Run(20);
  CHECK(fixture.machines.moved == std::vector<std::string>{"spare-b"});
}

// Guards against upkeep that waits for the end of an evacuation.
TEST_CASE("a maintenance wave continues in an evacuated zone") {
  FleetFixture fixture;
  for (ListedVm& vm : fixture.machines.vms) {
    vm.zone = "a";
  }
  fixture.scheduler.SetEvacuatedZones({"a"});
  fixture.Begin();
  fixture.fleet->SetWave(fixture.now, {1, {"vm-0"}, Duration(10'000), 1});
  fixture.Run(20);
  CHECK(fixture.machines.taken_down == std::vector<std::string>{"vm-0"});
}

// Guards against an optional setting that is required or out of range without an error.
TEST_CASE("the bound of an evacuation is optional and checked") {
  JobSettingsReader reader;
  const std::string text = kSettings;
  auto settings = reader.ReadText(text);
  REQUIRE(settings);
  CHECK_FALSE(settings->evacuation_bound.has_value());
  settings = reader.ReadText(text + "evacuation_ms = 5000\n");
  REQUIRE(settings);
  CHECK(settings->evacuation_bound == Duration(5'000));
  CHECK_FALSE(reader.ReadText(text + "evacuation_ms = 999\n").has_value());
  CHECK(reader.last_reason().find("evacuation_ms") != std::string::npos);
}

// Guards against a new owner that starts tasks in the zone before it knows of the evacuation.
TEST_CASE("a new owner knows the evacuated zones before its first start") {
  CHECK(WorkersOfNewOwner(Duration(5'000)) == std::set<std::string>{"servers/2"});
}

// Guards against keys that take effect, or starts that pause, where the setting is missing.
TEST_CASE("without the setting the keys of evacuations are ignored") {
  CHECK(WorkersOfNewOwner({}) == std::set<std::string>{"servers/1", "servers/2"});
}

}  // namespace cranberryplank
