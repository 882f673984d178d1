#include "cranberryplank/daemon/bundle_rollout.h"

#include <catch2/catch.hpp>
#include <map>

#include "../../control/tests/simulation.h"
#include "cranberryplank/bundle/bundle_parser.h"
#include "cranberryplank/bundle/bundle_signer.h"
#include "cranberryplank/control/acting_daemon.h"
#include "cranberryplank/control/recorded_change.h"
#include "cranberryplank/daemon/admin_edits.h"

namespace cranberryplank {
namespace {

constexpr Duration kRolloutTimeLimit{3'000};

const SigningKey& Ana() {
  static const SigningKey key = SigningKey::Generate();
  return key;
}

Bundle Signed(int version, const std::string& pool = "tone") {
  const std::string text = fmt::format(
      R"({{"version":{},"configuration":{{"teams":[],"pools":[{{"name":"{}","spare":false,)"
      R"("budget_per_pool":2,"budget_per_rack":1,"budget_per_zone":2}}],"queues":[]}},)"
      R"("runbooks":[],"inventory":[],"mappings":[]}})",
      version, pool);
  BundleSigner signer;
  BundleParser parser;
  return *parser.Parse(*signer.Approve(text, "ana", Ana()));
}

/// Store that changes one byte of the value when it reads a given key.
class DamagedStore : public Store {
 public:
  explicit DamagedStore(Store* store) : m_store(store) {}
  void Read(std::string_view key, ReadCallback done) override {
    m_store->Read(key, [damaged = key == damaged_key, done = std::move(done)](
                           TimePoint now, StoreReadReply reply) {
      if (damaged && reply.found) {
        reply.value[0] ^= 1;
      }
      done(now, reply);
    });
  }
  void Watch(std::string_view key, std::uint64_t index, Duration wait, ReadCallback done) override {
    m_store->Watch(key, index, wait, std::move(done));
  }
  void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                      WriteCallback done) override {
    m_store->CompareAndSwap(key, value, index, std::move(done));
  }
  std::string damaged_key;

 private:
  Store* m_store;
};

class BundleRolloutTest {
 public:
  BundleRolloutTest() {
    m_simulation.check_registrations = true;
    m_fleet = m_simulation.StartFleet(4);
    for (const std::string& incarnation : m_fleet) {
      m_daemons[incarnation] = std::make_unique<Daemon>(m_simulation.Find(incarnation));
    }
  }
  ~BundleRolloutTest() { CHECK_THAT(m_simulation.violation(), Catch::Equals("")); }

  void Run(Duration time, const std::function<bool()>& done) {
    const TimePoint end = m_simulation.Now() + time;
    while (m_simulation.Now() < end && !done()) {
      m_simulation.Run(Duration(20));
      for (const auto& [incarnation, daemon] : m_daemons) {
        const TimePoint now = m_simulation.LocalNow(incarnation);
        daemon->peers.Tick(now);
        daemon->rollout.Tick(now);
      }
    }
  }
  void Submit(const std::string& incarnation, const Bundle& bundle, const std::string& nonce) {
    m_daemons.at(incarnation)
        ->rollout.Prepare(
            m_simulation.LocalNow(incarnation), bundle,
            [=, this](TimePoint now, const PreparedBundle& prepared) {
              if (!prepared.unavailable.empty()) {
                m_results[nonce] = {ChangeOutcome::kUnavailable, 0, prepared.unavailable};
                return;
              }
              SubmitRecorded(now, &m_simulation.Replica(incarnation), "", {nonce, bundle.text},
                             prepared.edit,
                             [=, this](TimePoint, const ChangeResult& r) { m_results[nonce] = r; });
            });
  }
  bool Answered(const std::string& nonce) const { return m_results.contains(nonce); }
  void Kill(const std::string& incarnation) {
    m_daemons.erase(incarnation);
    m_simulation.Crash(incarnation);
  }
  RolloutStatus StatusAt(const std::string& incarnation) {
    return m_daemons.at(incarnation)->rollout.Status(m_simulation.LocalNow(incarnation));
  }
  /// Returns whether all running daemons report this bundle to be in effect.
  bool InEffect(const Bundle& bundle) {
    return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto& entry) {
      const RolloutStatus status = StatusAt(entry.first);
      return status.stage == RolloutStage::kInEffect && status.digest == Sha256(bundle.text) &&
             m_simulation.Replica(entry.first).fleet().bundle == bundle.text;
    });
  }
  std::string ActingDaemonId() {
    return std::string(ActingDaemon(m_simulation.recorded_head(), "bundle-rollout")->incarnation);
  }

 protected:
  struct Daemon : public sigc::trackable {
    explicit Daemon(Simulation::Node* node)
        : store(&node->store),
          rollout({&node->replica, &store, &node->random, &peers}, {{"ana", Ana().Public()}}, 1) {
      node->replica.signal_heartbeat().connect(sigc::mem_fun(peers, &PeerTable::OnHeartbeat));
    }
    DamagedStore store;
    PeerTable peers;
    BundleRollout rollout;
  };

  Simulation m_simulation{11};
  std::vector<std::string> m_fleet;
  std::map<std::string, std::unique_ptr<Daemon>> m_daemons;
  std::map<std::string, ChangeResult> m_results;
};

// Guards against a rollout that takes longer than the 3 s target, and against a repeated submission
// that is applied again, in any stage, and fails because its own version is already recorded.
TEST_CASE_METHOD(BundleRolloutTest, "a bundle is rolled out and its repetition is recognised") {
  const Bundle bundle = Signed(1);
  const TimePoint start = m_simulation.Now();
  Submit(m_fleet[0], bundle, "a");
  Run(kRolloutTimeLimit, [&] { return Answered("a"); });
  REQUIRE(m_results["a"].outcome == ChangeOutcome::kRecorded);
  CHECK(StatusAt(m_fleet[0]).stage == RolloutStage::kDistributing);
  const std::uint64_t revision = m_results["a"].revision;
  const auto repeat_at = [&](const std::string& daemon) {
    m_results.erase("a");
    Submit(daemon, bundle, "a");
    Run(kRolloutTimeLimit, [&] { return Answered("a"); });
    CHECK(m_results["a"].outcome == ChangeOutcome::kRecorded);
    CHECK(m_results["a"].revision == revision);
  };
  repeat_at(m_fleet[0]);
  Run(kRolloutTimeLimit, [&] { return InEffect(bundle); });
  CHECK(InEffect(bundle));
  CHECK(m_simulation.Now() - start <= kRolloutTimeLimit);
  repeat_at(m_fleet[1]);
  Submit(m_fleet[1], bundle, "b");
  Run(kRolloutTimeLimit, [&] { return Answered("b"); });
  CHECK(m_results["b"].outcome == ChangeOutcome::kRejected);
}

// Guards against a rollout that stalls when the submitter or the acting daemon crashes before the
// candidate is in effect, once it is, or after the activation is recorded. The VM of the crashed
// daemon stays in the VM list.
TEST_CASE_METHOD(BundleRolloutTest, "a crashed daemon does not stop the rollout") {
  const Bundle bundle = Signed(1);
  const auto stage = GENERATE(0, 1, 2);
  const std::string acting = ActingDaemonId();
  const std::string victim = GENERATE(true, false) ? acting : "submitter";
  const std::string submitter = acting == m_fleet[0] ? m_fleet[1] : m_fleet[0];
  Submit(submitter, bundle, "a");
  Run(kRolloutTimeLimit, [&] {
    const auto& candidate = m_simulation.Replica(submitter).fleet().candidate;
    return candidate && (stage == 0 || (stage == 1 && m_simulation.AllInEffect()) ||
                         (stage == 2 && candidate->activated != 0));
  });
  Kill(victim == acting ? acting : submitter);
  Run(Duration(10'000), [&] { return InEffect(bundle); });
  INFO("stage " << stage << ", victim " << victim);
  CHECK(InEffect(bundle));
}

// Guards against activating a bundle that a daemon cannot load, and against a daemon that stops
// serving because it cannot read the candidate.
TEST_CASE_METHOD(BundleRolloutTest, "a candidate with a changed byte is not activated") {
  const Bundle bundle = Signed(1);
  DamagedStore& store = m_daemons.at(m_fleet[2])->store;
  store.damaged_key = PartKey(Sha256(bundle.text));
  Submit(m_fleet[0], bundle, "a");
  Run(Duration(8'000), [&] { return false; });
  CHECK(m_simulation.Replica(m_fleet[0]).fleet().bundle.empty());
  CHECK(m_simulation.AllFresh());
  const RolloutStatus status = StatusAt(m_fleet[0]);
  CHECK(status.stage == RolloutStage::kDistributing);
  CHECK(status.waiting_for.find("does not match its digest") != std::string::npos);
  store.damaged_key.clear();
  Run(kRolloutTimeLimit, [&] { return InEffect(bundle); });
  CHECK(InEffect(bundle));
}

// Guards against a rollout that is lost or partly applied when a store outage occurs between its
// stages.
TEST_CASE_METHOD(BundleRolloutTest, "a rollout continues after a store outage") {
  const Bundle bundle = Signed(1);
  Submit(m_fleet[0], bundle, "a");
  Run(kRolloutTimeLimit, [&] { return Answered("a"); });
  m_simulation.store_faults.down = true;
  Submit(m_fleet[1], Signed(2), "b");
  Run(Duration(12'000), [&] { return false; });
  CHECK(m_results["b"].outcome == ChangeOutcome::kUnavailable);
  CHECK(m_simulation.Replica(m_fleet[0]).fleet().bundle.empty());
  CHECK(m_simulation.AllFresh());
  m_simulation.Heal();
  Run(Duration(6'000), [&] { return InEffect(bundle); });
  CHECK(InEffect(bundle));
}

// Guards against two concurrent submissions that both take effect or both fail, and against an
// older version replacing a newer one.
TEST_CASE_METHOD(BundleRolloutTest,
                 "the higher version of two concurrent submissions takes effect") {
  const Bundle older = Signed(1);
  const Bundle newer = Signed(2, "hallmarks");
  m_simulation.store_faults.slow = GENERATE(true, false);
  Submit(m_fleet[0], older, "a");
  Submit(m_fleet[1], newer, "b");
  Run(Duration(20'000), [&] { return Answered("a") && Answered("b"); });
  CHECK(m_results["b"].outcome == ChangeOutcome::kRecorded);
  m_simulation.Heal();
  Run(Duration(6'000), [&] { return InEffect(newer); });
  CHECK(InEffect(newer));
}

}  // namespace
}  // namespace cranberryplank
