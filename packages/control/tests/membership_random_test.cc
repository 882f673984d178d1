#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cstdlib>

#include "simulation.h"

namespace cranberryplank {
namespace {

constexpr Duration kFaultTime{60'000};

/// Drives a simulation with random faults, operators and replacements of daemons.
class RandomRun {
 public:
  RandomRun(std::uint64_t seed, MembershipRules rules) : m_simulation(seed, rules) {
    m_simulation.check_registrations = rules.one_registration_at_a_time;
  }

  void RunFaults() {
    const int daemons = 3 + static_cast<int>(Below(7));
    for (int i = 0; i < daemons; ++i) {
      StartNew();
    }
    InjectFault();
    RunOperators();
    m_simulation.Run(kFaultTime);
    m_faults_ended = true;
  }

  /// Checks that every daemon recovers and that a new change takes effect.
  void CheckRecovery() {
    m_simulation.Heal();
    const auto registered_fresh = [&] {
      for (const std::string& incarnation : m_simulation.Live()) {
        if (m_simulation.recorded_head().FindIncarnation(incarnation) != nullptr &&
            !m_stopping.contains(incarnation) && !m_simulation.Fresh(incarnation)) {
          return false;
        }
      }
      return true;
    };
    m_simulation.Require(Duration(3'000), registered_fresh,
                         "a registered daemon is not fresh after 3 s");
    // Removals wait for the VM list, up to 30 s if it lost most VMs at once, and registration
    // changes are made one at a time.
    m_simulation.Require(
        Duration(90'000),
        [&] { return m_starting == 0 && !Stopping() && m_simulation.RegisteredExactlyLive(); },
        "the registered daemons are not the live ones");
    m_simulation.Require(
        Duration(3'000), [&] { return m_simulation.AllFresh(); }, "a daemon is not fresh");
    m_simulation.RequireChangeTakesEffect();
  }

  Simulation& simulation() { return m_simulation; }

 private:
  std::uint64_t Below(std::uint64_t bound) { return m_simulation.random().Below(bound); }
  std::string RandomLive() {
    const std::vector<std::string> live = m_simulation.Live();
    return live[Below(live.size())];
  }
  bool Stopping() const {
    const std::vector<std::string> live = m_simulation.Live();
    return std::any_of(live.begin(), live.end(), [&](const std::string& incarnation) {
      return m_stopping.contains(incarnation);
    });
  }
  void StartNew() { m_simulation.Start(fmt::format("vm-{}", ++m_vm)); }

  void RunOperators() {
    if (m_faults_ended) {
      return;
    }
    const int operators = Below(3) == 0 ? 3 : 1;
    for (int i = 0; i < operators; ++i) {
      const std::string incarnation = RandomLive();
      if (!m_simulation.Find(incarnation)->paused) {
        m_simulation.SubmitChange(incarnation, Below(2) == 0);
      }
    }
    m_simulation.After(Duration(200 + Below(2'500)), [this] { RunOperators(); });
  }

  void InjectFault() {
    if (m_faults_ended) {
      return;
    }
    const Duration length(300 + Below(8'000));
    switch (Below(11)) {
      case 0:
        StoreFault(length, "down", [](StoreCallFaults& faults) { faults.down = true; });
        break;
      case 1:
        StoreFault(length, "slow", [](StoreCallFaults& faults) { faults.slow = true; });
        break;
      case 2:
        StoreFault(length, "lost", [](StoreCallFaults& faults) { faults.reply_lost = 0.5; });
        break;
      case 3:
        StoreFault(length, "late", [](StoreCallFaults& faults) { faults.arrives_late = 0.5; });
        break;
      case 4:
      case 5:
      case 6:
        Partition(length);
        break;
      case 7:
        PauseOne(length);
        break;
      case 8:
        Replace();
        break;
      case 9:
        StartOrStopDaemons();
        break;
      default:
        m_simulation.list_lag = Duration(Below(4'000));
        m_simulation.list_truncated = Below(2) == 0;
        m_simulation.Trace(fmt::format("VM list lags {} ms, truncated {}, {} ms",
                                       m_simulation.list_lag.count(), m_simulation.list_truncated,
                                       length.count()));
        m_simulation.After(length, [this] { m_simulation.list_truncated = false; });
        break;
    }
    m_simulation.After(Duration(200 + Below(2'500)), [this] { InjectFault(); });
  }

  template <typename Set>
  void StoreFault(Duration length, std::string_view name, Set set) {
    if (Below(2) == 0) {
      m_simulation.Trace(fmt::format("store {} for all, {} ms", name, length.count()));
      set(m_simulation.store_faults);
      m_simulation.After(length, [this] { m_simulation.store_faults = StoreCallFaults(); });
      return;
    }
    for (const std::string& incarnation : m_simulation.Live()) {
      if (Below(2) == 0) {
        m_simulation.Trace(
            fmt::format("store {} for {}, {} ms", name, incarnation, length.count()));
        set(m_simulation.node_faults[incarnation]);
        m_simulation.After(length,
                           [this, incarnation] { m_simulation.node_faults.erase(incarnation); });
      }
    }
  }

  /// Partitions the daemons into two groups, in one direction or both.
  void Partition(Duration length) {
    NetworkPartition partition;
    const bool single = Below(3) == 0;
    for (const std::string& incarnation : m_simulation.Live()) {
      if (!single && Below(2) == 0) {
        partition.group.insert(incarnation);
      }
    }
    if (partition.group.empty()) {
      partition.group.insert(RandomLive());
    }
    const std::uint64_t direction = Below(4);
    partition.outward = direction != 1;
    partition.inward = direction != 2;
    m_simulation.late_messages = Below(2) == 0;
    const bool partition_store = Below(3) != 0;
    m_simulation.Trace(fmt::format("partition of {} direction {} store {}, {} ms",
                                   fmt::join(partition.group, ","), direction, partition_store,
                                   length.count()));
    if (partition_store) {
      for (const std::string& inside : partition.group) {
        m_simulation.node_faults[inside].down = true;
      }
    }
    const int id = ++m_partitions;
    m_simulation.partitions[id] = partition;
    m_simulation.After(length, [this, id] { HealInStages(id); });
    if (m_simulation.Live().size() < 8 && Below(2) == 0) {
      StartSeveral();
    }
  }

  /// Ends a partition; one of its daemons may stay partitioned for longer than the others.
  void HealInStages(int id) {
    if (!m_simulation.partitions.contains(id)) {
      return;
    }
    NetworkPartition& partition = m_simulation.partitions[id];
    const std::string last = *std::next(partition.group.begin(),
                                        static_cast<std::ptrdiff_t>(Below(partition.group.size())));
    const bool in_stages = partition.group.size() > 1 && Below(2) == 0;
    for (const std::string& inside : partition.group) {
      if (!in_stages || inside != last) {
        m_simulation.node_faults.erase(inside);
      }
    }
    if (!in_stages) {
      m_simulation.partitions.erase(id);
      return;
    }
    partition.group = {last};
    m_simulation.Trace(fmt::format("partition of {} continues", last));
    m_simulation.After(Duration(Below(4'000)), [this, id] { HealInStages(id); });
  }

  void StartSeveral() {
    const std::uint64_t count = 1 + Below(9 - m_simulation.Live().size());
    m_simulation.Trace(fmt::format("start of {} daemons", count));
    for (std::uint64_t i = 0; i < count; ++i) {
      StartNew();
    }
  }

  void PauseOne(Duration length) {
    const std::string incarnation = RandomLive();
    if (m_simulation.Find(incarnation)->paused) {
      return;
    }
    m_simulation.Trace(fmt::format("pause {}, {} ms", incarnation, length.count()));
    m_simulation.Pause(incarnation);
    m_simulation.After(length, [this, incarnation] { m_simulation.Resume(incarnation); });
  }

  /// Loses a VM or a process; another one starts soon after.
  void Replace() {
    if (m_simulation.Live().size() < 3) {
      return;
    }
    const std::string incarnation = RandomLive();
    const std::string id = m_simulation.Find(incarnation)->id;
    const bool same_vm = Below(2) == 0;
    m_simulation.Trace(fmt::format("{} of {}", same_vm ? "restart" : "loss", incarnation));
    if (same_vm) {
      m_simulation.Crash(incarnation);
    } else {
      m_simulation.LoseVm(incarnation);
    }
    if (!same_vm && Below(2) == 0) {
      return;
    }
    ++m_starting;
    m_simulation.After(Duration(Below(4'000)), [this, same_vm, id] {
      --m_starting;
      if (same_vm) {
        m_simulation.Start(id);
      } else {
        StartNew();
      }
    });
  }

  /// Starts several daemons at once, or stops one as planned.
  void StartOrStopDaemons() {
    const std::size_t live = m_simulation.Live().size();
    if (live < 4 || (live < 8 && Below(2) == 0)) {
      StartSeveral();
      return;
    }
    const std::string incarnation = RandomLive();
    if (m_simulation.Find(incarnation)->paused) {
      return;
    }
    m_simulation.Trace(fmt::format("planned stop of {}", incarnation));
    m_stopping.insert(incarnation);
    m_simulation.Replica(incarnation)
        .Deregister(m_simulation.LocalNow(incarnation), [this, incarnation](TimePoint) {
          m_simulation.After(Duration(1), [this, incarnation] {
            if (m_simulation.Find(incarnation) != nullptr) {
              m_simulation.LoseVm(incarnation);
            }
          });
        });
  }

  Simulation m_simulation;
  int m_vm = 0;
  int m_partitions = 0;
  int m_starting = 0;  ///< Replacements about to start.
  std::set<std::string> m_stopping;
  bool m_faults_ended = false;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Guards against stale dispatching, reverted configuration, lost or doubled changes, overlapping
// registration changes, and against a fleet that does not recover after faults.
TEST_CASE("membership holds its rules under random faults") {
  const std::uint64_t first = FromEnvironment("CRANBERRYPLANK_FIRST_SEED", 1);
  const std::uint64_t seeds = FromEnvironment("CRANBERRYPLANK_SEEDS", 12);
  std::uint64_t events = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    RandomRun run(seed, MembershipRules());
    run.RunFaults();
    run.CheckRecovery();
    events += run.simulation().event_count();
    INFO("seed " << seed << "\n" << run.simulation().trace());
    CHECK_THAT(run.simulation().violation(), Catch::Equals(""));
  }
  fmt::print("membership: seeds {} to {}, {} events\n", first, first + seeds - 1, events);
}

/// Requires a run in which a daemon dispatches on a superseded head, among seeds from `first` on.
/// `first` is near a seed known to show it, since the search from seed 1 takes minutes under the
/// sanitizers; CRANBERRYPLANK_FIRST_SEED=1 repeats that search.
void RequireStaleDispatch(std::string_view name, MembershipRules rules, std::uint64_t first) {
  constexpr std::uint64_t kMaxSeeds = 200;
  first = FromEnvironment("CRANBERRYPLANK_FIRST_SEED", first);
  for (std::uint64_t seed = first; seed < first + kMaxSeeds; ++seed) {
    RandomRun run(seed, rules);
    run.RunFaults();
    if (run.simulation().violation().find("dispatches on") != std::string::npos) {
      fmt::print("{}: seeds {} to {}: {}\n", name, first, seed, run.simulation().violation());
      SUCCEED();
      return;
    }
  }
  FAIL("no violation in " << kMaxSeeds << " seeds");
}

// The three variants guard against a random run whose faults are too weak to show the violation
// that each rule prevents.
TEST_CASE("the random run finds the fault of counting the freshness time from the swap") {
  MembershipRules rules;
  rules.count_from_swap = true;
  RequireStaleDispatch("freshness time counted from the swap", rules, 100);
}

TEST_CASE("the random run finds the fault of not waiting for acknowledgements") {
  MembershipRules rules;
  rules.wait_for_acknowledgements = false;
  RequireStaleDispatch("no wait for acknowledgements", rules, 16);
}

TEST_CASE("the random run finds the fault of several registrations at once") {
  MembershipRules rules;
  rules.one_registration_at_a_time = false;
  RequireStaleDispatch("several registrations at once", rules, 33);
}

}  // namespace
}  // namespace cranberryplank
