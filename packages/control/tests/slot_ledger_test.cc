#include "cranberryplank/control/slot_ledger.h"

#include <catch2/catch.hpp>

#include "simulated_run.h"

namespace cranberryplank {

namespace {

const std::string smiths = "smiths";

SimulatedRunOptions OneTeam(int limit) {
  SimulatedRunOptions options;
  options.limits = {{smiths, limit}};
  return options;
}

}  // namespace

TEST_CASE("Idle daemons hold all slots in even shares and then write nothing") {
  SimulatedRun run(OneTeam(10));
  run.clock.RunFor(Duration(20'000));
  int usable = 0;
  for (const auto& daemon : run.daemons) {
    CHECK(daemon->ledger.Usable(smiths) >= 2);
    usable += daemon->ledger.Usable(smiths);
  }
  CHECK(usable == 10);
  // Guards against slots that move, or documents that are rewritten, without any change in demand.
  const std::uint64_t writes = run.store.table.writes();
  run.clock.RunFor(Duration(60'000));
  CHECK(run.store.table.writes() == writes);
}

TEST_CASE("Daemons that have just started claim slots of all teams before a store outage") {
  // Guards against teams without slots on the daemons that survive a store outage and a kill.
  SimulatedRunOptions options;
  options.limits = {{"artisans", 24}, {"clerks", 16}, {"inspectors", 16}};
  SimulatedRun run(options);
  run.clock.RunFor(Duration(1'500));
  run.store.down = true;
  run.clock.RunFor(Duration(1'000));
  for (const auto& daemon : run.daemons) {
    for (const auto& [team, limit] : options.limits) {
      INFO(team);
      CHECK(daemon->ledger.Usable(team) == limit / options.daemons);
    }
  }
}

TEST_CASE("Slots move to the daemon on which requests wait") {
  SimulatedRun run(OneTeam(10));
  run.clock.RunFor(Duration(20'000));
  run.At(0).waiting[smiths] = 1'000'000;
  CHECK(run.RunUntil(Duration(10'000), [&] { return run.At(0).ledger.Usable(smiths) == 10; }));
  const std::uint64_t writes = run.store.table.writes();
  run.At(1).waiting[smiths] = 1'000'000;
  CHECK(run.RunUntil(Duration(15'000), [&] { return run.At(1).ledger.Usable(smiths) >= 4; }));
  run.clock.RunFor(Duration(60'000));
  // Guards against slots that oscillate between two daemons with equal demand.
  CHECK(run.store.table.writes() - writes < 20);
}

TEST_CASE("The slot count stays correct when the answers to applied writes are lost") {
  SimulatedRun run(OneTeam(10));
  run.store.replies_to_lose = 1'000;
  run.clock.RunFor(Duration(5'000));
  run.store.replies_to_lose = 0;
  CHECK(run.RunUntil(Duration(30'000), [&] {
    int usable = 0;
    for (const auto& daemon : run.daemons) {
      usable += daemon->ledger.Usable(smiths);
    }
    return usable == 10 && run.Held(smiths) == 10;
  }));
}

TEST_CASE("Slots of a failed daemon are reclaimed only after the longest lease") {
  SimulatedRun run(OneTeam(10));
  run.clock.RunFor(Duration(20'000));
  run.At(0).process.alive = false;
  const std::string incarnation = run.At(0).process.incarnation;
  REQUIRE(run.RunUntil(Duration(10'000), [&] {
    return !run.At(1).head.MayStillDispatch(incarnation, run.clock.Now());
  }));
  const auto held = [&] {
    return run.ledgers.at(LedgerKey(LedgerShardOf(smiths))).teams.at(smiths).HeldBy(incarnation);
  };
  run.clock.RunFor(SimulatedRun::kLease + Duration(1'500));
  CHECK(held() > 0);
  CHECK(run.RunUntil(Duration(30'000), [&] { return held() == 0 && run.Held(smiths) == 10; }));
}

TEST_CASE("A lowered limit retires slots as tasks end and requests checkpoints") {
  SimulatedRunOptions options = OneTeam(10);
  options.slots.checkpoint_grace = Duration(100);  // Simulated tasks run for about a second.
  SimulatedRun run(options);
  for (const auto& daemon : run.daemons) {
    daemon->waiting[smiths] = 1'000'000;
  }
  run.clock.RunFor(Duration(20'000));
  int asked = 0;
  for (const auto& daemon : run.daemons) {
    daemon->ledger.signal_excess().connect(
        [&](TimePoint, const std::string&, int tasks) { asked += tasks; });
  }
  run.SetLimit(smiths, 3);
  CHECK(run.RunUntil(Duration(15'000), [&] { return run.Held(smiths) == 3; }));
  CHECK(asked > 0);
  run.SetLimit(smiths, 12);
  CHECK(run.RunUntil(Duration(15'000), [&] { return run.Held(smiths) == 12; }));
  run.head.Record([](SimulatedHead::Revision* next) { next->fleet.teams.clear(); });
  CHECK(run.RunUntil(Duration(20'000), [&] { return run.Held(smiths) == 0; }));
}

TEST_CASE("A planned stop hands over all slots and a new incarnation adopts none") {
  SimulatedRun run(OneTeam(10));
  run.clock.RunFor(Duration(20'000));
  SlotLedger& ledger = run.At(0).ledger;
  REQUIRE(ledger.Acquire(run.clock.Now(), smiths));
  ledger.BeginHandOver(run.clock.Now());
  run.clock.RunFor(Duration(5'000));
  CHECK_FALSE(ledger.HandedOver());
  CHECK_FALSE(ledger.Acquire(run.clock.Now(), smiths));
  ledger.Release(run.clock.Now(), smiths);
  CHECK(run.RunUntil(Duration(5'000), [&] { return ledger.HandedOver(); }));
  run.Kill(0);
  run.clock.RunFor(Duration(3'500));
  CHECK(run.At(0).ledger.Usable(smiths) == 0);
}

TEST_CASE("A daemon that was removed while paused acquires no slot until it is registered again") {
  SimulatedRun run(OneTeam(10));
  run.clock.RunFor(Duration(20'000));
  run.At(0).process.paused = true;
  run.clock.RunFor(Duration(60'000));
  CHECK(run.At(0).ledger.Usable(smiths) > 0);
  // Guards against the use of slots that were reassigned during the pause.
  CHECK_FALSE(run.At(0).ledger.Acquire(run.clock.Now(), smiths));
  run.At(0).process.Resume();
  run.At(0).waiting[smiths] = 1'000'000;
  CHECK(run.RunUntil(Duration(30'000), [&] { return run.At(0).ledger.Usable(smiths) == 10; }));
}

TEST_CASE("Store writes of a daemon are bounded") {
  SimulatedRunOptions options;
  for (int i = 0; i < 200; ++i) {
    options.limits[fmt::format("team{}", i)] = 8;
  }
  options.daemons = 1;
  SimulatedRun run(options);
  run.clock.RunFor(Duration(5'000));
  CHECK(run.store.table.writes() <= 4 + 5 * 4);
  run.clock.RunFor(Duration(10'000));
  CHECK(run.At(0).ledger.Usable("team7") == 8);
}

TEST_CASE("A ledger document is decoded as it was encoded and malformed text is rejected") {
  LedgerShard shard;
  shard.revision = 7;
  shard.leases = {{"a", Duration(10)}, {"b", Duration(20)}};
  shard.teams["x"].limit = 5;
  shard.teams["x"].SetHeld("b", 3);
  std::string reason;
  CHECK(DecodeLedgerShard(EncodeLedgerShard(shard), &reason) == shard);
  CHECK_FALSE(DecodeLedgerShard(R"({"revision":1,"holders":[],"teams":{"x":[1,[2]]}})", &reason));
  CHECK_FALSE(reason.empty());
}

}  // namespace cranberryplank
