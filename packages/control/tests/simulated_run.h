#ifndef CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_RUN_H_
#define CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "cranberryplank/control/slot_ledger.h"
#include "simulated_fleet.h"

namespace cranberryplank {

/// One daemon: the real state machines over simulated interfaces.
struct SimulatedDaemon {
  SimulatedProcess process;
  SeededRandom random;
  SimulatedHeadControl head;
  SimulatedStoreClient store;
  SimulatedWorkerClient workers;
  SlotLedger ledger;
  std::map<std::string, int, std::less<>> waiting;  ///< Requests by team.
  std::optional<TimePoint> silent_since;

  SimulatedDaemon(SimulatedHead* shared_head, SimulatedStore* shared_store,
                  SimulatedWorkers* shared_workers, std::string id, std::string incarnation,
                  std::uint64_t seed, const SlotLedgerOptions& slots)
      : process{std::move(id), std::move(incarnation)},
        random(seed),
        head(shared_head, &process),
        store(shared_store, &process),
        workers(shared_workers, &process),
        ledger(&head, &store, &random, slots) {}
};

/// Settings of a run.
struct SimulatedRunOptions {
  std::uint64_t seed = 1;
  int daemons = 4;
  std::map<std::string, int> limits{{"smiths", 10}, {"clerks", 7}, {"agents", 3}};
  SlotLedgerOptions slots;
};

/// A fleet of daemons, workers and the store, whose invariants are checked after every event.
class SimulatedRun {
 public:
  static constexpr Duration kLease{3'000};
  static constexpr Duration kTick{100};

  explicit SimulatedRun(SimulatedRunOptions run_options)
      : options(std::move(run_options)), random(options.seed) {
    head.on_change = [this](const Fleet& before, const Fleet& after) { CheckHead(before, after); };
    store.on_write = [this](std::string_view key, const std::string& before,
                            const std::string& after,
                            TimePoint sent) { CheckWrite(key, before, after, sent); };
    workers.on_start = [this](const auto& worker, const auto& task) { CheckStart(worker, task); };
    clock.after_event = [this] { CheckRunning(); };
    for (int i = 0; i < options.daemons; ++i) {
      Boot(i);
    }
    head.Record([this](SimulatedHead::Revision* next) {
      AddFleet(&next->fleet);
      for (const auto& daemon : daemons) {
        next->head.daemons.push_back(RecordOf(*daemon));
      }
    });
    Membership();
  }

  SimulatedDaemon& At(int number) { return *daemons[static_cast<std::size_t>(number)]; }

  void SetLimit(const std::string& team, int limit) {
    head.Record([&](SimulatedHead::Revision* next) {
      next->fleet.teams[team] = Team{team, Contract{1.0, limit}};
    });
  }

  /// Ends a process; another one with a new incarnation starts on its VM after 3 s.
  void Kill(int number) {
    At(number).process.alive = false;
    clock.After(Duration(3'000), [this, number] {
      if (!At(number).process.alive) {
        Boot(number);
      }
    });
  }

  int Held(const std::string& team) const {
    const auto& shard = ledgers.find(LedgerKey(LedgerShardOf(team)));
    if (shard == ledgers.end() || !shard->second.teams.contains(team)) {
      return 0;
    }
    return shard->second.teams.at(team).TotalHeld();
  }

  int RunningOf(const std::string& team) const {
    int running = 0;
    for (const auto& [host, worker] : workers.workers) {
      for (const auto& [number, task] : worker.tasks) {
        running += task.team == team ? 1 : 0;
      }
    }
    return running;
  }

  SimulatedRunOptions options;
  SeededRandom random;
  SimulatedClock clock;
  SimulatedStore store{&clock, &random};
  SimulatedHead head{&clock, &store};
  SimulatedWorkers workers{&clock, &random};
  std::vector<std::unique_ptr<SimulatedDaemon>> daemons;
  std::vector<std::unique_ptr<SimulatedDaemon>> ended;      ///< Late callbacks refer to them.
  std::map<std::string, LedgerShard, std::less<>> ledgers;  ///< Decoded content of the store.
  std::uint64_t started = 0;

 private:
  static DaemonRecord RecordOf(const SimulatedDaemon& daemon) {
    DaemonRecord record;
    record.id = daemon.process.id;
    record.incarnation = daemon.process.incarnation;
    return record;
  }

  void AddFleet(Fleet* fleet) {
    for (const auto& [team, limit] : options.limits) {
      fleet->teams[team] = Team{team, Contract{1.0, limit}};
    }
    for (const std::string name : {"tone", "hallmark"}) {
      fleet->pools[name] = Pool{name, AvailabilityBudget{3, 2, 2}, false};
      Queue queue;
      queue.name = queue.pool = name;
      queue.max_run = kLease;
      fleet->queues[name] = queue;
    }
    for (int i = 0; i < 16; ++i) {
      Vm vm;
      vm.id = vm.host = fmt::format("vm{:02}", i);
      vm.zone = fmt::format("zone{}", i % 2);
      vm.rack = fmt::format("rack{}", i / 2 % 4);
      vm.pool = i < 8 ? "tone" : "hallmark";
      vm.slots = 4;
      fleet->vms[vm.id] = vm;
      workers.workers[vm.id].vm = vm.id;
    }
  }

  void Boot(int number) {
    const auto index = static_cast<std::size_t>(number);
    auto daemon = std::make_unique<SimulatedDaemon>(
        &head, &store, &workers, fmt::format("d{}", number),
        fmt::format("d{}-{}", number, ++m_incarnations), random.Next(), options.slots);
    if (index < daemons.size()) {
      ended.push_back(std::move(daemons[index]));
      daemons[index] = std::move(daemon);
    } else {
      daemons.push_back(std::move(daemon));
    }
    clock.After(Duration(random.Below(100)),
                [this, started = daemons[index].get()] { Run(started); });
  }

  void Run(SimulatedDaemon* daemon) {
    if (!daemon->process.alive) {
      return;
    }
    if (!daemon->process.paused) {
      ConfirmHead(daemon);
      SendDemand(daemon);
      daemon->ledger.Tick(clock.now());
      Dispatch(daemon);
    }
    clock.After(kTick, [this, daemon] { Run(daemon); });
  }

  /// Confirms the newest head by the store or by more than half of the registered daemons.
  void ConfirmHead(SimulatedDaemon* daemon) {
    std::uint64_t newest = head.newest().head.revision;
    if (store.down || daemon->process.store_cut) {
      newest = daemon->head.applied();
      std::size_t heard = 0;
      const Head& own = daemon->head.head();
      for (const auto& peer : daemons) {
        const bool answers = peer->process.alive && !peer->process.paused;
        if (answers && own.FindIncarnation(peer->process.incarnation) != nullptr) {
          ++heard;
          newest = std::max(newest, peer->head.applied());
        }
      }
      if (heard * 2 <= own.daemons.size()) {
        return;
      }
    }
    daemon->head.Confirm(clock.now(), newest);
  }

  void SendDemand(SimulatedDaemon* daemon) {
    std::vector<TeamDemand> demand;
    for (const auto& [team, waiting] : daemon->waiting) {
      demand.push_back(TeamDemand{"tone", team, daemon->ledger.Running(team), waiting});
    }
    for (const auto& peer : daemons) {
      if (peer.get() != daemon && peer->process.alive && !peer->process.paused) {
        peer->ledger.SetPeerDemand(clock.now(), daemon->process.incarnation, demand);
      }
    }
  }

  void Dispatch(SimulatedDaemon* daemon) {
    for (auto& [team, waiting] : daemon->waiting) {
      for (int i = 0; i < 3 && waiting > 0 && StartTask(daemon, team); ++i) {
        --waiting;
      }
      daemon->ledger.SetWaiting(clock.now(), team, waiting);
    }
  }

  bool StartTask(SimulatedDaemon* daemon, const std::string& team) {
    std::string reason;
    const std::optional<TimePoint> fresh = daemon->head.FreshUntil(clock.now(), &reason);
    std::vector<const Vm*> serving;
    for (const auto& [id, vm] : daemon->head.fleet().vms) {
      if (vm.state == VmState::kServing) {
        serving.push_back(&vm);
      }
    }
    if (!fresh || serving.empty() || !daemon->ledger.Acquire(clock.now(), team)) {
      return false;
    }
    const Vm& vm = *serving[random.Below(serving.size())];
    const Duration run(100 + static_cast<Duration::rep>(random.Below(2'000)));
    workers.Start(vm.host, {team, vm.pool}, workers.workers[vm.host].BootId(), *fresh, run,
                  [this, daemon, team](bool certain) {
                    clock.After(certain ? Duration(1) : kLease + Duration(500),
                                [this, daemon, team] { EndTask(daemon, team); });
                  });
    ++started;
    return true;
  }

  void EndTask(SimulatedDaemon* daemon, const std::string& team) {
    daemon->process.Deliver([this, daemon, team] { daemon->ledger.Release(clock.now(), team); });
  }

  /// Removes silent daemons from the head and registers running ones, one change at a time.
  void Membership() {
    clock.After(Duration(500), [this] { Membership(); });
    for (const auto& daemon : daemons) {
      const bool silent = !daemon->process.alive || daemon->process.paused;
      daemon->silent_since =
          silent ? std::optional(daemon->silent_since.value_or(clock.now())) : std::nullopt;
    }
    if (store.down || !head.InEffect(head.newest().head.registration_revision, clock.now())) {
      return;
    }
    std::vector<DaemonRecord> records = head.newest().head.daemons;
    const auto removed = std::find_if(records.begin(), records.end(), [&](const auto& record) {
      return std::none_of(daemons.begin(), daemons.end(), [&](const auto& daemon) {
        return daemon->process.incarnation == record.incarnation &&
               (!daemon->silent_since || clock.now() - *daemon->silent_since < Duration(5'000));
      });
    });
    const auto added = std::find_if(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      return !daemon->silent_since && !daemon->process.store_cut &&
             head.newest().head.FindIncarnation(daemon->process.incarnation) == nullptr;
    });
    if (removed != records.end()) {
      records.erase(removed);
    } else if (added != daemons.end()) {
      records.push_back(RecordOf(**added));
    } else {
      return;
    }
    head.Record([&](SimulatedHead::Revision* next) { next->head.daemons = records; });
  }

  void CheckHead(const Fleet& before, const Fleet& after) {
    static_cast<void>(before);
    static_cast<void>(after);
  }

  void CheckWrite(std::string_view key, const std::string& before, const std::string& after,
                  TimePoint sent) {
    static_cast<void>(sent);
    if (key.starts_with("cranberryplank/slots/")) {
      CheckLedger(key, Content(before), Content(after));
    }
  }

  static std::string Content(const std::string& document) {
    const std::size_t start = document.find("\"content\":");
    const std::size_t end = document.rfind(",\"writer\"");
    return start == std::string::npos ? "" : document.substr(start + 10, end - start - 10);
  }

  /// Slots per team never rise above the limit; above a lowered limit they only fall.
  void CheckLedger(std::string_view key, const std::string& before, const std::string& after) {
    std::string reason;
    const LedgerShard old = DecodeLedgerShard(before, &reason).value();
    LedgerShard now = DecodeLedgerShard(after, &reason).value();
    for (const auto& [team, entry] : now.teams) {
      const auto previous = old.teams.find(team);
      const int held = previous == old.teams.end() ? 0 : previous->second.TotalHeld();
      if (entry.TotalHeld() > std::max(entry.limit, held)) {
        throw Violation(fmt::format("ledger: team {} holds {}, before {}, limit {}", team,
                                    entry.TotalHeld(), held, entry.limit));
      }
    }
    ledgers[std::string(key)] = std::move(now);
  }

  /// Running tasks and usable slots of a team stay within the limit, or within the slots held
  /// while a lowered limit is being retired.
  void CheckRunning() {
    std::map<std::string, std::pair<int, int>> counts;  // Running, usable.
    for (const auto& [host, worker] : workers.workers) {
      for (const auto& [number, task] : worker.tasks) {
        ++counts[task.team].first;
      }
    }
    std::string reason;
    for (const auto& daemon : daemons) {
      if (!daemon->process.alive || !daemon->head.FreshUntil(clock.now(), &reason)) {
        continue;
      }
      for (const auto& [team, limit] : options.limits) {
        counts[team].second += daemon->ledger.Usable(team);
      }
    }
    for (const auto& [team, count] : counts) {
      const auto contract = head.newest().fleet.teams.find(team);
      const int limit =
          contract == head.newest().fleet.teams.end() ? 0 : contract->second.contract.upper_limit;
      const int allowed = std::max(limit, Held(team));
      if (count.first > allowed || count.second > allowed) {
        throw Violation(fmt::format("team {} runs {} and may use {}, allowed {}", team, count.first,
                                    count.second, allowed));
      }
    }
  }

  void CheckStart(const SimulatedWorkers::Worker& worker, const SimulatedWorkers::Task& task) {
    const Vm& vm = head.newest().fleet.vms.at(worker.vm);
    if (vm.pool != task.pool) {
      throw Violation(
          fmt::format("VM {} of pool {} starts a task of {}", vm.id, vm.pool, task.pool));
    }
  }

  int m_incarnations = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_RUN_H_
