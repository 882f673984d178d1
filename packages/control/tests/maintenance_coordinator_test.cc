#include "cranberryplank/control/maintenance_coordinator.h"

#include <catch2/catch.hpp>

#include "simulated_run.h"

namespace cranberryplank {

namespace {

std::optional<WaveResult> StartWave(SimulatedRun* run, int daemon, const std::string& pool,
                                    std::vector<std::string> vms = {},
                                    const ChangeIdentity& identity = {}) {
  auto result = std::make_shared<std::optional<WaveResult>>();
  run->At(daemon).maintenance.Start(
      run->clock.Now(), pool, vms,
      [result](TimePoint, const WaveResult& answer) { *result = answer; }, identity);
  run->RunUntil(Duration(10'000), [&] { return result->has_value(); });
  return *result;
}

bool WaveEnded(const SimulatedRun& run, const std::string& pool) {
  return run.waves.contains(pool) && !run.waves.at(pool).Active();
}

}  // namespace

TEST_CASE("A wave reboots every VM of the pool once and uses its budget") {
  SimulatedRun run({});
  run.At(0).waiting["smiths"] = 1'000'000;
  run.clock.RunFor(Duration(2'000));
  REQUIRE(StartWave(&run, 0, "tone").value().accepted);
  std::size_t most = 0;
  REQUIRE(run.RunUntil(Duration(120'000), [&] {
    const auto& vms = run.waves.at("tone").vms;
    most = std::max(
        most, static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [](const auto& item) {
          return HoldsPermit(item.second.state);
        })));
    return WaveEnded(run, "tone");
  }));
  CHECK(most == 3);
  CHECK(run.vms_maintained == 8);
  for (const std::string vm : {"vm00", "vm07"}) {
    CHECK(run.workers.workers.at(vm).boot == 2);
  }
}

TEST_CASE("Two operators who start a wave on one pool get one wave and one refusal") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  std::vector<WaveResult> results;
  for (int i = 0; i < 2; ++i) {
    run.At(i).maintenance.Start(
        run.clock.Now(), "tone", {},
        [&](TimePoint, const WaveResult& answer) { results.push_back(answer); });
  }
  REQUIRE(run.RunUntil(Duration(10'000), [&] { return results.size() == 2; }));
  CHECK(results[0].accepted != results[1].accepted);
  const WaveResult& refusal = results[0].accepted ? results[1] : results[0];
  CHECK(refusal.reason == fmt::format("wave {} is under way on pool tone", refusal.wave));
  CHECK_FALSE(StartWave(&run, 2, "nowhere").value().accepted);
}

TEST_CASE("A stopped wave completes its drained VMs and starts no others") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  REQUIRE(StartWave(&run, 0, "tone").value().accepted);
  REQUIRE(run.RunUntil(Duration(20'000), [&] {
    return run.waves.at("tone").vms.at("vm00").state == MaintenanceState::kRebooting;
  }));
  run.At(1).maintenance.Stop(run.clock.Now(), "tone", [](TimePoint, const WaveResult&) {});
  REQUIRE(run.RunUntil(Duration(60'000), [&] { return WaveEnded(run, "tone"); }));
  CHECK(run.vms_maintained <= 3);
  CHECK(run.workers.workers.at("vm07").boot == 1);
  CHECK(run.Unfinished().empty());
}

// Guards against a second wave or a refusal when a request is repeated because its answer was lost.
TEST_CASE("Repeated starts and stops of a wave get the same result again") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  const ChangeIdentity start{"nonce-1", "start tone"};
  const WaveResult first = StartWave(&run, 0, "tone", {}, start).value();
  REQUIRE(first.accepted);
  CHECK(StartWave(&run, 1, "tone", {"vm00"}, {"nonce-1", "start vm00"}).value().reason ==
        kNonceOfAnotherChange);
  std::vector<WaveResult> stops;
  for (int daemon : {1, 2}) {
    run.At(daemon).maintenance.Stop(
        run.clock.Now(), "tone",
        [&](TimePoint, const WaveResult& answer) { stops.push_back(answer); },
        {"nonce-2", "stop tone"});
    REQUIRE(run.RunUntil(Duration(60'000), [&] { return WaveEnded(run, "tone"); }));
  }
  REQUIRE(run.RunUntil(Duration(10'000), [&] { return stops.size() == 2; }));
  const WaveResult again = StartWave(&run, 2, "tone", {}, start).value();
  for (const WaveResult& result : {stops[0], stops[1], again}) {
    CHECK(result.accepted);
    CHECK(result.wave == first.wave);
  }
  CHECK(WaveEnded(run, "tone"));
}

// Guards against a wave that starts after its request was answered with an unavailable store.
TEST_CASE("A wave requested during a store outage is refused and does not start later") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  run.store.down = true;
  const WaveResult result = StartWave(&run, 0, "tone").value();
  CHECK(result.unavailable);
  run.store.down = false;
  run.clock.RunFor(Duration(10'000));
  CHECK_FALSE(run.waves.contains("tone"));
}

TEST_CASE("VMs that are down count against the budget") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  for (const std::string vm : {"vm02", "vm04", "vm07"}) {
    run.workers.TakeDown(&run.workers.workers.at(vm), true);
  }
  run.clock.RunFor(Duration(6'000));
  REQUIRE(StartWave(&run, 0, "tone").value().accepted);
  run.clock.RunFor(Duration(30'000));
  CHECK(run.vms_maintained == 0);
  for (const std::string vm : {"vm02", "vm04", "vm07"}) {
    run.workers.BringUp(&run.workers.workers.at(vm));
  }
  CHECK(run.RunUntil(Duration(120'000), [&] { return WaveEnded(run, "tone"); }));
}

TEST_CASE("Every daemon requests checkpoints of tasks that keep a VM from draining") {
  SimulatedRunOptions options;
  options.maintenance.checkpoint_after = Duration(3'000);
  SimulatedRun run(options);
  run.clock.RunFor(Duration(2'000));
  run.workers.workers.at("vm00").tasks[999'999] = {"smiths", "tone"};
  int asked = 0;
  for (const auto& daemon : run.daemons) {
    daemon->maintenance.signal_checkpoint().connect(
        [&](TimePoint, const std::string& vm) { asked += vm == "vm00" ? 1 : 0; });
  }
  REQUIRE(StartWave(&run, 0, "tone", {"vm00"}).value().accepted);
  REQUIRE(run.RunUntil(Duration(20'000), [&] { return asked >= 4; }));
  run.workers.workers.at("vm00").tasks.clear();
  CHECK(run.RunUntil(Duration(30'000), [&] { return WaveEnded(run, "tone"); }));
}

}  // namespace cranberryplank
