#include "cranberryplank/scheduler/zone_evacuation.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulated_owner.h"
#include "simulated_workers.h"

namespace cranberryplank {

namespace {

constexpr Resources kCapacity{4'000, 8'000, 0};
constexpr Duration kBound{5'000};
constexpr Duration kDelivery{600};
constexpr Duration kNeverEnds{1'000'000'000};

/// Four workers: `worker0` and `worker1` in zone "a", `worker2` and `worker3` in zone "b".
struct TwoZones {
  SimulatedCluster cluster{1, 4, kCapacity};

  TwoZones() {
    for (auto& [id, worker] : cluster.workers().workers()) {
      worker.info.zone = id < "worker2" ? "a" : "b";
      cluster.workers().SetCapacity(id, kCapacity);
    }
    cluster.workers().SetListedPercent(100);
    cluster.Run(Duration(2'000));
  }

  void Submit(const std::string& id, int tasks, Duration time, const StepSpec& base = {}) {
    JobSpec spec = OneTask(id, Duration(500));
    StepSpec step = base;
    step.count = tasks;
    step.per_task = {1'000, 1'000, 0};
    step.estimate_ms = std::min(time, Duration(10'000)).count();
    spec.steps = {step};
    cluster.Submit(spec, time);
  }

  int RunsIn(const std::string& zone) {
    int runs = 0;
    for (const auto& [id, worker] : cluster.workers().workers()) {
      runs += worker.info.zone == zone ? static_cast<int>(worker.runs.size()) : 0;
    }
    return runs;
  }

  /// Runs for `time`. @return the most runs seen in the zone at any time
  int MostRunsIn(const std::string& zone, Duration time) {
    int most = 0;
    for (const TimePoint end = cluster.now() + time; cluster.now() < end;) {
      cluster.Step();
      most = std::max(most, RunsIn(zone));
    }
    return most;
  }

  void SetBound() {
    SchedulerSettings settings = cluster.scheduler().settings();
    settings.evacuation_bound = kBound;
    cluster.scheduler().SetSettings(settings);
  }
};

}  // namespace

// Guards against starts in an evacuated zone, by which a rule of the platform is violated, and
// against a zone that stays closed after its evacuation has ended.
TEST_CASE("nothing is started in an evacuated zone until the evacuation ends") {
  TwoZones zones;
  zones.cluster.scheduler().SetEvacuatedZones({"a"});
  zones.Submit("batch", 16, Duration(4'000));
  CHECK(zones.MostRunsIn("a", Duration(1'500)) == 0);
  CHECK(zones.cluster.workers().starts() == 8);
  zones.cluster.scheduler().SetEvacuatedZones({});
  CHECK(zones.MostRunsIn("a", Duration(1'000)) == 8);
}

// Guards against a gang of which a part is started in the zone because the rest has no room.
TEST_CASE("a gang waits if it does not fit outside of the evacuated zone") {
  TwoZones zones;
  zones.cluster.scheduler().SetEvacuatedZones({"a"});
  StepSpec gang;
  gang.gang = true;
  zones.Submit("fits", 8, Duration(500), gang);
  CHECK(zones.MostRunsIn("a", Duration(3'000)) == 0);
  CHECK(zones.cluster.workers().starts() == 8);
  zones.Submit("too large", 9, Duration(500), gang);
  CHECK(zones.MostRunsIn("a", Duration(2'000)) == 0);
  CHECK(zones.cluster.workers().starts() == 8);
  zones.cluster.scheduler().SetEvacuatedZones({});
  zones.cluster.Run(Duration(2'000));
  CHECK(zones.cluster.workers().starts() == 17);
}

// Guards against a task whose worker in the zone crashed and that is started there again, and
// against batch tasks that are stopped although they may run to completion.
TEST_CASE("batch tasks in the zone end there, and restarts go elsewhere") {
  TwoZones zones;
  zones.Submit("batch", 12, Duration(6'000));
  zones.cluster.Run(Duration(1'000));
  const int before = zones.RunsIn("a");
  REQUIRE(before >= 4);
  zones.cluster.scheduler().SetEvacuatedZones({"a"});
  zones.cluster.Run(Duration(1'000));
  CHECK(zones.RunsIn("a") == before);
  const std::uint64_t stops = zones.cluster.scheduler().counters().stops;
  CHECK(stops == 0);
  zones.cluster.workers().Restart("worker0");
  const int left = zones.RunsIn("a");
  CHECK(zones.MostRunsIn("a", Duration(15'000)) <= left);
  CHECK(zones.cluster.EndOf("batch") == JobState::kDone);
}

// Guards against a trial of a suspect task on a worker in the zone that is kept for such trials.
TEST_CASE("suspect tasks are not tried in an evacuated zone") {
  TwoZones zones;
  zones.cluster.workers().SetRestartTime(Duration(500));
  zones.cluster.workers().SetDeadly("deadly.0.0.0");
  zones.cluster.scheduler().SetEvacuatedZones({"a"});
  zones.Submit("deadly", 1, Duration(500));
  CHECK(zones.MostRunsIn("a", Duration(30'000)) == 0);
  CHECK(zones.cluster.workers().Crashes("deadly.0.0.0") > 1);
  for (const auto& [task, crashes] : zones.cluster.workers().run_crashes()) {
    for (const SimulatedWorkers::RunCrash& crash : crashes) {
      CHECK(crash.worker >= "worker2");
    }
  }
}

// Guards against starts by keys that are older than the bound allows, and against a bound that
// counts where evacuations are not enabled.
TEST_CASE("starts pause while the operators' keys are not confirmed") {
  TwoZones zones;
  Scheduler& scheduler = zones.cluster.scheduler();
  zones.SetBound();
  zones.Submit("never read", 1, Duration(100));
  zones.cluster.Run(Duration(1'000));
  CHECK(zones.cluster.workers().starts() == 0);
  const TimePoint known = zones.cluster.now();
  scheduler.SetEvacuationsKnownUntil(known);
  zones.cluster.Run(Duration(1'000));
  CHECK(zones.cluster.workers().starts() == 1);
  while (zones.cluster.now() < known + kBound - kDelivery) {
    zones.cluster.Step();
  }
  zones.Submit("too old", 1, Duration(100));
  zones.cluster.Run(Duration(1'000));
  CHECK(zones.cluster.workers().starts() == 1);
  scheduler.SetEvacuationsKnownUntil(zones.cluster.now());
  zones.cluster.Run(Duration(1'000));
  CHECK(zones.cluster.workers().starts() == 2);
}

// Guards against a pause of the starts where evacuations are not enabled.
TEST_CASE("without a bound the age of the operators' keys does not count") {
  TwoZones zones;
  zones.cluster.scheduler().SetEvacuationsKnownUntil(zones.cluster.now() - Duration(60'000));
  zones.Submit("job", 16, Duration(500));
  zones.cluster.Run(Duration(1'000));
  CHECK(zones.cluster.workers().starts() == 16);
}

// Guards against a service that loses more of its tasks at once than its step allows, and against
// tasks that stay in the zone although there is room elsewhere.
TEST_CASE("long-running tasks leave the zone within the limit of their step") {
  TwoZones zones;
  StepSpec service;
  service.long_running = true;
  service.max_unavailable = 1;
  service.max_per_vm = 2;
  zones.Submit("service", 4, kNeverEnds, service);
  zones.cluster.Run(Duration(3'000));
  const int before = zones.RunsIn("a");
  REQUIRE(zones.RunsIn("a") + zones.RunsIn("b") == 4);
  const std::string from = before > 0 ? "a" : "b";
  const std::string to = before > 0 ? "b" : "a";
  zones.cluster.scheduler().SetEvacuatedZones({from});
  int fewest = 4;
  for (const TimePoint end = zones.cluster.now() + Duration(20'000); zones.cluster.now() < end;) {
    zones.cluster.Step();
    fewest = std::min(fewest, zones.RunsIn("a") + zones.RunsIn("b"));
  }
  CHECK(zones.RunsIn(from) == 0);
  CHECK(zones.RunsIn(to) == 4);
  CHECK(fewest >= 3);
}

// Guards against a long-running task that is stopped and then has nowhere to run.
TEST_CASE("long-running tasks stay in the zone while no worker elsewhere has room") {
  TwoZones zones;
  StepSpec service;
  service.long_running = true;
  service.max_per_vm = 1;
  zones.Submit("service", 4, kNeverEnds, service);
  zones.cluster.Run(Duration(3'000));
  REQUIRE(zones.RunsIn("a") == 2);
  zones.cluster.scheduler().SetEvacuatedZones({"a"});
  zones.cluster.Run(Duration(5'000));
  CHECK(zones.RunsIn("a") == 2);
  CHECK(zones.cluster.scheduler().counters().stops == 0);
}

// Guards against a change that is logged twice or not at all when the set is replaced.
TEST_CASE("each change of the evacuated zones is reported once") {
  ZoneEvacuation evacuation;
  evacuation.SetZones({"a", "b"});
  CHECK(evacuation.TakeChanges().begun == std::vector<std::string>{"a", "b"});
  evacuation.SetZones({"b", "c"});
  const ZoneEvacuation::Changes changes = evacuation.TakeChanges();
  CHECK(changes.begun == std::vector<std::string>{"c"});
  CHECK(changes.ended == std::vector<std::string>{"a"});
  CHECK(evacuation.TakeChanges().begun.empty());
}

// Guards against a worker without a zone that counts as evacuated.
TEST_CASE("an empty zone name is never evacuated") {
  ZoneEvacuation evacuation;
  evacuation.SetZones({"a"});
  CHECK_FALSE(evacuation.Covers(""));
}

// Guards against tasks that cannot leave and keep others from being considered.
TEST_CASE("passes of migrations are limited in time and take turns") {
  ZoneEvacuation evacuation;
  const TimePoint now{Duration(50'000)};
  CHECK_FALSE(evacuation.MigrationDue(now));
  evacuation.SetZones({"a"});
  CHECK(evacuation.MigrationDue(now));
  CHECK_FALSE(evacuation.MigrationDue(now + Duration(499)));
  CHECK(evacuation.MigrationDue(now + Duration(500)));
  CHECK(evacuation.NextFirst(40, 16) == 0);
  CHECK(evacuation.NextFirst(40, 16) == 16);
  CHECK(evacuation.NextFirst(40, 16) == 32);
  CHECK(evacuation.NextFirst(40, 16) == 8);
  CHECK(evacuation.NextFirst(0, 0) == 0);
}

}  // namespace cranberryplank
