#include "cranberryplank/control/head_replica.h"

#include <catch2/catch.hpp>

#include "cranberryplank/control/recorded_change.h"
#include "simulation.h"

namespace cranberryplank {
namespace {

constexpr Duration kRecoveryTime{3'000};

class HeadReplicaTest {
 public:
  HeadReplicaTest() { m_fleet = m_simulation.StartFleet(3); }
  ~HeadReplicaTest() {
    m_simulation.CheckChanges();
    CHECK_THAT(m_simulation.violation(), Catch::Equals(""));
  }
  ChangeResult Change(const std::string& incarnation, bool contended = false) {
    const int tag = m_simulation.SubmitChange(incarnation, contended);
    m_simulation.Run(Duration(20'000), [&] { return m_simulation.results().contains(tag); });
    return m_simulation.results().at(tag);
  }
  std::string NotFresh(const std::string& incarnation) {
    std::string reason;
    const bool fresh = m_simulation.Replica(incarnation)
                           .FreshUntil(m_simulation.LocalNow(incarnation), &reason)
                           .has_value();
    return fresh ? std::string() : reason;
  }

 protected:
  Simulation m_simulation{7};
  std::vector<std::string> m_fleet;
};

TEST_CASE_METHOD(HeadReplicaTest, "a write whose answer is lost is found recorded once") {
  m_simulation.node_faults[m_fleet[0]].reply_lost = 1;
  const std::uint64_t before = m_simulation.recorded_head().revision;
  const ChangeResult result = Change(m_fleet[0]);
  CHECK(result.outcome == ChangeOutcome::kRecorded);
  CHECK(m_simulation.recorded_head().revision == before + 1);
}

// Guards against reporting a write as failed although it takes effect later.
TEST_CASE_METHOD(HeadReplicaTest, "a change whose write arrives late is reported as recorded") {
  bool late = true;
  m_simulation.write_hook = [&](Simulation::Write write, const std::string&) {
    if (write == Simulation::Write::kSwap) {
      m_simulation.node_faults[m_fleet[0]].arrives_late = late ? 1 : 0;
      late = false;
    }
  };
  CHECK(Change(m_fleet[0]).outcome == ChangeOutcome::kRecorded);
  m_simulation.Run(Duration(10'000));
}

// Guards against a lost outcome when others change the head before the writer reads it back.
TEST_CASE_METHOD(HeadReplicaTest, "an outcome is resolved after other changes followed") {
  m_simulation.write_hook = [&](Simulation::Write write, const std::string& writer) {
    if (write == Simulation::Write::kSwap && writer == m_fleet[0]) {
      m_simulation.node_faults[writer].reply_lost = 1;
    } else if (write == Simulation::Write::kRecorded && writer == m_fleet[0]) {
      m_simulation.node_faults[writer].down = true;
    }
  };
  const int tag = m_simulation.SubmitChange(m_fleet[0], false);
  m_simulation.Run(kRecoveryTime);
  REQUIRE_FALSE(m_simulation.results().contains(tag));
  for (int i = 0; i < 20; ++i) {
    CHECK(Change(m_fleet[1]).outcome == ChangeOutcome::kRecorded);
  }
  m_simulation.write_hook = nullptr;
  m_simulation.Heal();
  m_simulation.Run(kRecoveryTime);
  REQUIRE(m_simulation.results().contains(tag));
  CHECK(m_simulation.results().at(tag).outcome == ChangeOutcome::kRecorded);
}

TEST_CASE_METHOD(HeadReplicaTest, "one of two racing changes reports the revision that won") {
  // Both read the head before either swap arrives.
  m_simulation.store_faults.slow = true;
  const int first = m_simulation.SubmitChange(m_fleet[0], true);
  const int second = m_simulation.SubmitChange(m_fleet[1], true);
  m_simulation.Run(Duration(20'000));
  ChangeResult won = m_simulation.results().at(first);
  ChangeResult lost = m_simulation.results().at(second);
  if (won.outcome != ChangeOutcome::kRecorded) {
    std::swap(won, lost);
  }
  CHECK(won.outcome == ChangeOutcome::kRecorded);
  CHECK(lost.outcome == ChangeOutcome::kConflict);
  CHECK(lost.revision == won.revision);
  CHECK(lost.reason.find(fmt::format("revision {} ", won.revision)) != std::string::npos);
}

TEST_CASE_METHOD(HeadReplicaTest, "without the store, changes fail and dispatching goes on") {
  m_simulation.store_faults.down = true;
  CHECK(Change(m_fleet[0]).outcome == ChangeOutcome::kUnavailable);
  m_simulation.Run(Duration(30'000));
  CHECK(m_simulation.AllFresh());
}

TEST_CASE_METHOD(
    HeadReplicaTest,
    "a daemon started without a store takes over its peers' head but does not dispatch") {
  Change(m_fleet[0]);
  m_simulation.store_faults.down = true;
  const std::string late = m_simulation.Start("vm-late");
  m_simulation.Run(kRecoveryTime);
  CHECK(m_simulation.Replica(late).head() == m_simulation.recorded_head());
  CHECK(m_simulation.Replica(late).fleet() == m_simulation.Replica(m_fleet[0]).fleet());
  CHECK(NotFresh(late).find("not registered") != std::string::npos);
}

// Guards against dispatching with an old configuration when the new one cannot be decoded.
TEST_CASE_METHOD(HeadReplicaTest, "a daemon keeps the last valid revision and reports the reason") {
  const std::uint64_t good = m_simulation.recorded_head().revision;
  m_simulation.Corrupt("queues", "not a list");
  m_simulation.Run(kRecoveryTime);
  for (const std::string& incarnation : m_fleet) {
    CHECK(m_simulation.Replica(incarnation).head().revision == good);
    CHECK(NotFresh(incarnation).find("part queues is not valid") != std::string::npos);
  }
}

// Guards against waiting forever for acknowledgements of ended processes whose VMs still exist.
TEST_CASE_METHOD(HeadReplicaTest, "a fleet recovers when all its processes start again") {
  for (const std::string& incarnation : m_fleet) {
    m_simulation.Crash(incarnation);
  }
  for (const char* id : {"vm-1", "vm-2", "vm-3"}) {
    m_simulation.Start(id);
  }
  m_simulation.Require(
      Duration(20'000), [&] { return m_simulation.RegisteredExactlyLive(); },
      "the restarted daemons are not registered");
  m_simulation.RequireChangeTakesEffect();
}

TEST_CASE_METHOD(HeadReplicaTest, "one daemon removes a lost one") {
  m_simulation.LoseVm(m_fleet[2]);
  std::set<std::string> writers;
  m_simulation.write_hook = [&](Simulation::Write write, const std::string& writer) {
    if (write == Simulation::Write::kSwap) {
      writers.insert(writer);
    }
  };
  m_simulation.Run(Duration(6'000));
  CHECK(m_simulation.RegisteredExactlyLive());
  CHECK(writers.size() == 1);
}

TEST_CASE_METHOD(HeadReplicaTest, "a planned stop ends once the removal is in effect") {
  bool done = false;
  m_simulation.Replica(m_fleet[0]).Deregister(m_simulation.LocalNow(m_fleet[0]), [&](TimePoint) {
    done = true;
    CHECK(m_simulation.recorded_head().FindIncarnation(m_fleet[0]) == nullptr);
    CHECK(m_simulation.AllInEffect());
  });
  CHECK(NotFresh(m_fleet[0]) == "this daemon is shutting down");
  m_simulation.Run(kRecoveryTime);
  CHECK(done);
}

TEST_CASE_METHOD(HeadReplicaTest, "a denied key is refused everywhere before it is recorded") {
  const Digest key = Sha256("key");
  bool granted = false;
  m_simulation.Replica(m_fleet[0])
      .Submit(
          m_simulation.LocalNow(m_fleet[0]), "grant",
          [&](const Fleet& current, std::string*) {
            Fleet fleet = current;
            fleet.keys[key.hex] = KeyGrant{key, "team"};
            return std::optional<Fleet>(fleet);
          },
          [&](TimePoint, const ChangeResult&) { granted = true; });
  m_simulation.Run(kRecoveryTime);
  REQUIRE(granted);
  m_simulation.store_faults.down = true;
  const std::string nonce(32, 'a');
  m_simulation.Replica(m_fleet[0]).DenyKey(m_simulation.LocalNow(m_fleet[0]), key, nonce);
  // Messages take up to 10 ms; the next heartbeat may be 500 ms away.
  m_simulation.Run(Duration(15));
  CHECK(m_simulation.Replica(m_fleet[2]).IsDenied(key));
  m_simulation.Run(Duration(1'000));
  CHECK(m_simulation.Replica(m_fleet[0]).DenialOf(key)->ToString() ==
        "refused on 3 of 3 daemons, not yet recorded");
  // The daemon that accepted the withdrawal is lost; another one records it.
  m_simulation.LoseVm(m_fleet[0]);
  m_simulation.Heal();
  m_simulation.Run(Duration(10'000));
  CHECK_FALSE(m_simulation.Replica(m_fleet[1]).fleet().keys.contains(key.hex));
  CHECK_FALSE(m_simulation.Replica(m_fleet[1]).IsDenied(key));
  CHECK(m_simulation.Replica(m_fleet[1]).DenialOf(key)->revision.has_value());
  // If the caller repeats the withdrawal because its answer was lost, it is found to be recorded
  // already.
  CHECK(FindRecorded(m_simulation.Replica(m_fleet[1]).fleet(), WithdrawalIdentity(nonce, key.hex))
            .has_value());
}

// Guards against a slow read or a peer's old head restoring older state; the revision check runs
// after every event.
TEST_CASE_METHOD(HeadReplicaTest, "a slow store never reverts a daemon to an older head") {
  m_simulation.node_faults[m_fleet[0]].slow = true;
  for (int i = 0; i < 10; ++i) {
    CHECK(Change(m_fleet[1]).outcome == ChangeOutcome::kRecorded);
  }
  m_simulation.Run(kRecoveryTime);
  CHECK(m_simulation.Replica(m_fleet[0]).head() == m_simulation.recorded_head());
}

TEST_CASE("store calls and heartbeats of nine daemons stay within their budgets") {
  Simulation simulation(3);
  const std::vector<std::string> fleet = simulation.StartFleet(9);
  int waiting = 0;
  simulation.Replica(fleet[0]).SetHeartbeatContent([&](TimePoint, Heartbeat* heartbeat) {
    for (const char* team : {"team-1", "team-2", "team-3", "team-4", "team-5", "team-6"}) {
      heartbeat->demand.push_back(TeamDemand{"tone-testing", team, 100, ++waiting});
      heartbeat->free_slots.push_back(FreeSlots{team, 3});
    }
  });
  const std::uint64_t calls = simulation.store_calls();
  const std::uint64_t heartbeats = simulation.heartbeats_from(fleet[0]);
  const std::uint64_t idle_heartbeats = simulation.heartbeats_from(fleet[1]);
  simulation.Run(Duration(60'000));
  // Nine daemons with one read per 5 s and one watch per 30 s each; heartbeats to eight peers.
  CHECK(simulation.store_calls() - calls <= 144);
  // 6 demands of about 30 bytes and 6 slots of about 10, identity and framing. Regular and early
  // heartbeats together must stay below 11 KB/s.
  constexpr double kHeartbeatBytes = 6 * 30 + 6 * 10 + 120;
  CHECK(static_cast<double>(simulation.heartbeats_from(fleet[0]) - heartbeats) * kHeartbeatBytes /
            60 <
        11'000);
  // One regular heartbeat to each of 8 peers per 500 ms makes 960 in 60 s; 928 is 4 rounds less.
  CHECK(simulation.heartbeats_from(fleet[0]) - heartbeats >= 928);
  CHECK(simulation.heartbeats_from(fleet[1]) - idle_heartbeats <= 960);
  CHECK_THAT(simulation.violation(), Catch::Equals(""));
}

}  // namespace
}  // namespace cranberryplank
