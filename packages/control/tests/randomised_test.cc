#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

#include "simulated_run.h"

namespace cranberryplank {

namespace {

constexpr Duration kFaultyTime{120'000};
constexpr Duration kRecoveryTime{240'000};

/// A run with random demand, operators and faults.
class RandomisedRun {
 public:
  explicit RandomisedRun(const SimulatedRunOptions& options)
      : run(options), m_random(options.seed * 7919 + 1) {
    ChangeDemand();
    RunOperators();
    InjectFault();
  }

  /// Runs with faults, ends them and waits until no work is unfinished. Throws on a violation.
  void Run() {
    run.clock.RunFor(kFaultyTime);
    m_faults_ended = true;
    run.store.down = false;
    run.store.latency = Duration(4);
    run.store.lost_percent = run.store.late_percent = 0;
    run.workers.stale_list.reset();
    for (const auto& daemon : run.daemons) {
      daemon->process.store_partitioned = daemon->process.peers_partitioned = false;
      daemon->process.Resume();
    }
    for (auto& [id, worker] : run.workers.workers) {
      if (worker.lost) {
        run.workers.BringUp(&worker);
      }
    }
    if (!run.RunUntil(kRecoveryTime, [&] { return run.Unfinished().empty(); })) {
      throw Violation("work is unfinished after the faults:" + run.Unfinished());
    }
  }

  SimulatedRun run;

 private:
  bool Chance(int percent) { return static_cast<int>(m_random.Below(100)) < percent; }

  Duration RandomDuration(int low, int high) {
    return Duration(
        low + static_cast<Duration::rep>(m_random.Below(static_cast<std::uint64_t>(high - low))));
  }

  int AnyDaemon() { return static_cast<int>(m_random.Below(run.daemons.size())); }
  std::string AnyVm() { return fmt::format("vm{:02}", m_random.Below(16)); }
  std::string AnyPool() { return Chance(50) ? "tone" : "hallmark"; }

  void ChangeDemand() {
    for (const auto& daemon : run.daemons) {
      for (const auto& [team, limit] : run.options.limits) {
        if (Chance(40)) {
          daemon->waiting[team] =
              Chance(50) && !m_faults_ended ? static_cast<int>(m_random.Below(60)) : 0;
        }
      }
    }
    run.clock.After(RandomDuration(500, 3'000), [this] { ChangeDemand(); });
  }

  /// Submits requests of one or two operators at once, so that they race on one VM, one pool or one
  /// limit.
  void RunOperators() {
    if (m_faults_ended) {
      return;
    }
    const auto kind = m_random.Below(5);
    const std::string vm = AnyVm();
    const std::string pool = AnyPool();
    const TimePoint now = run.clock.Now();
    const auto ignore_change = [](TimePoint, const ChangeResult&) {};
    const auto ignore_wave = [](TimePoint, const WaveResult&) {};
    for (int i = Chance(40) ? 2 : 1; i > 0; --i) {
      SimulatedDaemon& daemon = run.At(AnyDaemon());
      if (daemon.process.paused || !daemon.process.alive) {
        continue;
      }
      if (kind <= 1) {
        daemon.mover.Start(now, vm, i == 2 ? AnyPool() : pool, ignore_change);
      } else if (kind == 2) {
        daemon.maintenance.Start(now, pool, {}, ignore_wave);
      } else if (kind == 3) {
        ChangeLimit(&daemon);
      } else if (Chance(50)) {
        daemon.mover.Cancel(now, vm, ignore_change);
      } else if (Chance(30)) {
        daemon.maintenance.Stop(now, pool, ignore_wave);
      }
    }
    run.clock.After(RandomDuration(200, 3'000), [this] { RunOperators(); });
  }

  void ChangeLimit(SimulatedDaemon* daemon) {
    const std::string team = Chance(50) ? "smiths" : "clerks";
    const int limit = static_cast<int>(m_random.Below(15));
    daemon->head.Submit(
        run.clock.Now(), "change a limit",
        [team, limit](const Fleet& current, std::string*) {
          Fleet next = current;
          next.teams[team] = Team{team, Contract{1.0, limit}};
          return std::optional(next);
        },
        [](TimePoint, const ChangeResult&) {});
  }

  void After(Duration delay, std::function<void()> action) {
    run.clock.After(delay, [this, action = std::move(action)] {
      if (!m_faults_ended) {
        action();
      }
    });
  }

  void InjectFault() {
    if (m_faults_ended) {
      return;
    }
    switch (m_random.Below(10)) {
      case 0:
        run.store.down = true;
        After(RandomDuration(500, 12'000), [this] { run.store.down = false; });
        break;
      case 1:
        run.store.latency = RandomDuration(100, 1'500);
        After(RandomDuration(2'000, 8'000), [this] { run.store.latency = Duration(4); });
        break;
      case 2:
        run.store.lost_percent = 30;
        run.store.late_percent = 20;
        After(RandomDuration(2'000, 8'000),
              [this] { run.store.lost_percent = run.store.late_percent = 0; });
        break;
      case 3:
        run.Kill(AnyDaemon());
        break;
      case 4:
      case 5: {
        DaemonProcess* process = &run.At(AnyDaemon()).process;
        process->paused = true;
        After(RandomDuration(100, 15'000), [process] { process->Resume(); });
        break;
      }
      case 6: {
        DaemonProcess* process = &run.At(AnyDaemon()).process;
        process->store_partitioned = true;
        process->peers_partitioned = Chance(50);
        After(RandomDuration(500, 10'000),
              [process] { process->store_partitioned = process->peers_partitioned = false; });
        break;
      }
      case 7:
        LoseWorkers();
        break;
      case 8:
        StopGracefully(AnyDaemon());
        break;
      default:
        run.workers.stale_list = run.workers.Listings();
        After(RandomDuration(1'000, 10'000), [this] { run.workers.stale_list.reset(); });
        break;
    }
    run.clock.After(RandomDuration(500, 5'000), [this] { InjectFault(); });
  }

  /// Hands over all slots before the process ends.
  void StopGracefully(int number) {
    SimulatedDaemon* daemon = &run.At(number);
    if (daemon->process.alive && !daemon->process.paused) {
      daemon->ledger.BeginHandOver(run.clock.Now());
      EndWhenHandedOver(number, daemon);
    }
  }

  void EndWhenHandedOver(int number, SimulatedDaemon* daemon) {
    run.clock.After(Duration(200), [this, number, daemon] {
      if (&run.At(number) != daemon || !daemon->process.alive) {
        return;
      }
      if (daemon->process.paused || !daemon->ledger.HandedOver()) {
        EndWhenHandedOver(number, daemon);
        return;
      }
      run.Kill(number);
    });
  }

  /// Loses one worker, a rack, a zone, or a rack and a zone at once.
  void LoseWorkers() {
    const bool rack = Chance(40);
    const bool zone = Chance(20);
    const std::string lost_id = AnyVm();
    const Vm lost_vm = run.head.newest().fleet.vms.at(lost_id);
    const Duration downtime = RandomDuration(2'000, 15'000);
    for (const auto& [id, vm] : run.head.newest().fleet.vms) {
      if (id != lost_id && !(rack && vm.rack == lost_vm.rack) &&
          !(zone && vm.zone == lost_vm.zone)) {
        continue;
      }
      run.workers.TakeDown(&run.workers.workers.at(id), true);
      After(downtime, [this, id = id] {
        SimulatedWorkers::Worker& worker = run.workers.workers.at(id);
        if (worker.lost) {
          run.workers.BringUp(&worker);
        }
      });
    }
  }

  SeededRandom m_random;
  bool m_faults_ended = false;
};

/// Returns the violation that the run of one seed ends with, or an empty text.
std::string ViolationOf(SimulatedRunOptions options, std::uint64_t seed) {
  options.seed = seed;
  RandomisedRun randomised(options);
  std::string violation;
  try {
    randomised.Run();
  } catch (const Violation& error) {
    violation = error.what();
  }
  const SimulatedRun& run = randomised.run;
  std::cout << fmt::format("seed={} events={} tasks={} moves={} maintained={} {}\n", seed,
                           run.clock.events(), run.started, run.moves, run.vms_maintained,
                           violation);
  return violation;
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

SimulatedRunOptions Defaults() {
  SimulatedRunOptions options;
  options.maintenance.availability.max_answer_age = Duration(2'000);
  options.maintenance.reboot_limit = Duration(60'000);
  options.maintenance.drain_limit = Duration(60'000);
  return options;
}

bool AnySeedFails(const SimulatedRunOptions& options, std::string_view expected) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    if (ViolationOf(options, seed).starts_with(expected)) {
      return true;
    }
  }
  return false;
}

}  // namespace

// CRANBERRYPLANK_SEEDS sets the number of seeds and CRANBERRYPLANK_FIRST_SEED the first one.
TEST_CASE("Randomised runs keep every invariant and finish all work") {
  const std::uint64_t first = FromEnvironment("CRANBERRYPLANK_FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("CRANBERRYPLANK_SEEDS", 20);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    INFO("seed " << seed);
    CHECK(ViolationOf(Defaults(), seed).empty());
  }
}

TEST_CASE("The checks fail if slots are not lowered before the swap") {
  SimulatedRunOptions options = Defaults();
  options.slots.test_lower_before_swap = false;
  CHECK(AnySeedFails(options, "team "));
}

TEST_CASE("The checks fail if slots are reclaimed without waiting") {
  SimulatedRunOptions options = Defaults();
  options.slots.test_wait_before_reclaim = false;
  CHECK(AnySeedFails(options, "team "));
}

TEST_CASE("The checks fail if a VM is drained before its permit is recorded") {
  SimulatedRunOptions options = Defaults();
  options.maintenance.test_permit_before_drain = false;
  CHECK(AnySeedFails(options, "VM "));
}

}  // namespace cranberryplank
