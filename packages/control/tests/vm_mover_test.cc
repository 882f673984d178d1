#include "cranberryplank/control/vm_mover.h"

#include <catch2/catch.hpp>

#include "simulated_run.h"

namespace cranberryplank {

namespace {

ChangeResult StartMove(SimulatedRun* run, int daemon, const std::string& vm,
                       const std::string& pool, const ChangeIdentity& identity = {}) {
  ChangeResult result;
  bool answered = false;
  run->At(daemon).mover.Start(
      run->clock.Now(), vm, pool,
      [&](TimePoint, const ChangeResult& answer) {
        result = answer;
        answered = true;
      },
      identity);
  REQUIRE(run->RunUntil(Duration(10'000), [&] { return answered; }));
  return result;
}

const Vm& RecordOf(const SimulatedRun& run, const std::string& vm) {
  return run.head.revisions.back().fleet.vms.at(vm);
}

}  // namespace

TEST_CASE("A move drains the VM, waits until it is empty and lets it serve the other pool") {
  SimulatedRun run({});
  run.At(0).waiting["smiths"] = 1'000'000;
  run.clock.RunFor(Duration(5'000));
  CHECK(StartMove(&run, 0, "vm00", "hallmark").outcome == ChangeOutcome::kRecorded);
  std::vector<VmState> states;
  REQUIRE(run.RunUntil(Duration(20'000), [&] {
    const Vm& vm = RecordOf(run, "vm00");
    if (states.empty() || states.back() != vm.state) {
      states.push_back(vm.state);
    }
    return vm.pool == "hallmark";
  }));
  CHECK(states == std::vector<VmState>{VmState::kDraining, VmState::kEmpty, VmState::kServing});
  CHECK_FALSE(run.workers.workers.at("vm00").draining);
}

TEST_CASE("An invalid move is refused") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  CHECK(StartMove(&run, 0, "vm99", "hallmark").reason == "VM vm99 is unknown");
  CHECK(StartMove(&run, 0, "vm00", "nowhere").reason == "pool nowhere is unknown");
  CHECK(StartMove(&run, 0, "vm00", "tone").reason == "VM vm00 is in pool tone already");
  CHECK(StartMove(&run, 0, "vm00", "hallmark").outcome == ChangeOutcome::kRecorded);
  run.clock.RunFor(Duration(200));
  CHECK(StartMove(&run, 1, "vm00", "hallmark").reason == "VM vm00 already moves to pool hallmark");
  const std::vector<std::string> vms{"vm01"};
  run.At(0).maintenance.Start(run.clock.Now(), "tone", vms, [](TimePoint, const WaveResult&) {});
  REQUIRE(run.RunUntil(Duration(10'000), [&] {
    return run.waves.contains("tone") && run.waves.at("tone").HasPermit("vm01");
  }));
  CHECK(StartMove(&run, 0, "vm01", "hallmark").reason == "VM vm01 is under maintenance");
}

// Guards against a refusal or a second move when a request is repeated because its answer was lost.
TEST_CASE("A repeated move gets the same result again and another one with its nonce is refused") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  const ChangeIdentity identity{"nonce", "move vm00"};
  const ChangeResult first = StartMove(&run, 0, "vm00", "hallmark", identity);
  const ChangeResult early = StartMove(&run, 1, "vm00", "hallmark", identity);
  REQUIRE(run.RunUntil(Duration(20'000), [&] { return RecordOf(run, "vm00").pool == "hallmark"; }));
  run.clock.RunFor(Duration(2'000));
  const ChangeResult late = StartMove(&run, 1, "vm00", "hallmark", identity);
  for (const ChangeResult& result : {first, early, late}) {
    CHECK(result.outcome == ChangeOutcome::kRecorded);
    CHECK(result.revision == first.revision);
  }
  const ChangeResult other = StartMove(&run, 1, "vm01", "hallmark", {"nonce", "move vm01"});
  CHECK(other.reason == kNonceOfAnotherChange);
  CHECK(RecordOf(run, "vm01").state == VmState::kServing);
}

TEST_CASE("A cancelled move leaves the VM serving its old pool") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  CHECK(StartMove(&run, 0, "vm00", "hallmark").outcome == ChangeOutcome::kRecorded);
  REQUIRE(run.RunUntil(Duration(10'000), [&] { return run.workers.workers["vm00"].draining; }));
  run.At(2).mover.Cancel(run.clock.Now(), "vm00", [](TimePoint, const ChangeResult&) {});
  run.clock.RunFor(Duration(10'000));
  CHECK(RecordOf(run, "vm00").pool == "tone");
  CHECK(run.Unfinished().empty());
}

// Guards against a drained VM that can return to service only by being removed and added again.
TEST_CASE("A drained VM that is returned to service serves its pool") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  CHECK(StartMove(&run, 0, "vm00", "").outcome == ChangeOutcome::kRecorded);
  REQUIRE(run.RunUntil(Duration(10'000),
                       [&] { return RecordOf(run, "vm00").state == VmState::kEmpty; }));
  std::map<std::string, ChangeResult> results;
  for (const std::string vm : {"vm00", "vm01", "vm99"}) {
    run.At(1).mover.Cancel(
        run.clock.Now(), vm,
        [&results, vm](TimePoint, const ChangeResult& answer) { results[vm] = answer; });
  }
  REQUIRE(run.RunUntil(Duration(10'000), [&] { return results.size() == 3; }));
  CHECK(results["vm00"].outcome == ChangeOutcome::kRecorded);
  CHECK(results["vm01"].reason == "VM vm01 neither moves nor is drained");
  CHECK(results["vm99"].reason == "VM vm99 is unknown");
  run.clock.RunFor(Duration(10'000));
  CHECK(RecordOf(run, "vm00").state == VmState::kServing);
  CHECK_FALSE(run.workers.workers.at("vm00").draining);
}

TEST_CASE("An empty VM whose worker rebooted is checked again before it serves") {
  SimulatedRun run({});
  run.clock.RunFor(Duration(2'000));
  CHECK(StartMove(&run, 0, "vm00", "hallmark").outcome == ChangeOutcome::kRecorded);
  REQUIRE(run.RunUntil(Duration(10'000),
                       [&] { return RecordOf(run, "vm00").state == VmState::kEmpty; }));
  run.workers.BringUp(&run.workers.workers.at("vm00"));
  const std::string boot = run.workers.workers.at("vm00").BootId();
  REQUIRE(run.RunUntil(Duration(10'000), [&] { return RecordOf(run, "vm00").boot_id == boot; }));
  CHECK(run.RunUntil(Duration(10'000), [&] { return RecordOf(run, "vm00").pool == "hallmark"; }));
}

TEST_CASE("A partitioned daemon that is still fresh starts nothing on a VM of another pool") {
  const bool wait = GENERATE(true, false);
  SimulatedRunOptions options;
  options.moves.test_wait_for_effect = wait;
  options.max_run = Duration(50);
  SimulatedRun run(options);
  run.At(0).waiting["smiths"] = 1'000'000;
  run.clock.RunFor(Duration(5'000));
  run.At(0).process.store_partitioned = run.At(0).process.peers_partitioned = true;
  const auto move_all = [&] {
    for (int i = 0; i < 8; ++i) {
      run.At(1).mover.Start(run.clock.Now(), fmt::format("vm{:02}", i), "hallmark",
                            [](TimePoint, const ChangeResult&) {});
    }
    run.clock.RunFor(Duration(20'000));
  };
  if (wait) {
    CHECK_NOTHROW(move_all());
    CHECK(run.moves == 8);
  } else {
    // Shows that the checks detect a move that does not wait until draining is in effect.
    CHECK_THROWS_AS(move_all(), Violation);
  }
}

}  // namespace cranberryplank
