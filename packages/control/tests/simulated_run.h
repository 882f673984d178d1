#ifndef CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_RUN_H_
#define CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "cranberryplank/control/acting_daemon.h"
#include "cranberryplank/control/maintenance_coordinator.h"
#include "cranberryplank/control/slot_ledger.h"
#include "cranberryplank/control/vm_mover.h"
#include "cranberryplank/model/invariant.h"
#include "simulated_fleet.h"

namespace cranberryplank {

/// Settings of a run.
struct SimulatedRunOptions {
  std::uint64_t seed = 1;
  int daemons = 4;
  std::map<std::string, int> limits{{"smiths", 10}, {"clerks", 7}, {"agents", 3}};
  SlotLedgerOptions slots;
  VmMoverOptions moves;
  MaintenanceOptions maintenance;
  Duration max_run{2'000};       ///< Longest task.
  Duration remove_after{1'500};  ///< Silence after which a daemon is removed from the head.
};

/// One daemon, with the real state machines on simulated interfaces.
struct SimulatedDaemon {
  DaemonProcess process;
  SeededRandom random;
  SimulatedHeadControl head;
  SimulatedStoreClient store;
  SimulatedWorkerClient workers;
  VmListReader worker_list;
  SlotLedger ledger;
  VmMover mover;
  MaintenanceCoordinator maintenance;
  std::map<std::string, int, std::less<>> waiting;  ///< Requests by team.
  std::optional<TimePoint> silent_since;
  TimePoint probed;

  SimulatedDaemon(SimulatedHead* shared_head, SimulatedStore* shared_store,
                  SimulatedWorkers* shared_workers, std::string id, std::string incarnation,
                  std::uint64_t seed, const SimulatedRunOptions& options)
      : process{std::move(id), std::move(incarnation)},
        random(seed),
        head(shared_head, &process),
        store(shared_store, &process),
        workers(shared_workers, &process),
        worker_list(&workers, "worker", Duration(1'000)),
        ledger(&head, &store, &random, options.slots),
        mover(&head, &store, &workers, &random, options.moves),
        maintenance(&head, &store, &worker_list, &workers, &random, PickInOrder,
                    options.maintenance) {}
};

/// A fleet of daemons, workers and the store, whose invariants are checked after every event.
class SimulatedRun {
 public:
  static constexpr Duration kLease{3'000};
  static constexpr Duration kTick{100};

  explicit SimulatedRun(SimulatedRunOptions run_options)
      : options(std::move(run_options)), random(options.seed) {
    SetAbortOnInvariantViolation(true);
    head.on_change = [this](const Fleet& before, const Fleet& after) { CheckHead(before, after); };
    store.on_write = [this](std::string_view key, const std::string& before,
                            const std::string& after,
                            TimePoint sent) { CheckWrite(key, before, after, sent); };
    workers.on_drain = [this](const auto& worker) { CheckDrain(worker); };
    workers.on_reboot = [this](const auto& worker) { CheckReboot(worker); };
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
    UpdateMembership();
  }

  SimulatedDaemon& At(int number) { return *daemons[static_cast<std::size_t>(number)]; }

  void SetLimit(const std::string& team, int limit) {
    head.Record([&](SimulatedHead::Revision* next) {
      next->fleet.teams[team] = Team{team, Contract{1.0, limit}};
    });
  }

  /// Kills a daemon. It is reported missing after 2 s and restarted as a new incarnation after 3 s.
  void Kill(int number) {
    At(number).process.alive = false;
    clock.After(Duration(2'000), [this, incarnation = At(number).process.incarnation] {
      head.ReportMissing(incarnation);
    });
    clock.After(Duration(3'000), [this, number] {
      if (!At(number).process.alive) {
        Boot(number);
      }
    });
  }

  int HeldBy(const std::string& team, const std::string& incarnation) const {
    const auto& shard = ledgers.find(LedgerKey(LedgerShardOf(team)));
    return shard == ledgers.end() || !shard->second.teams.contains(team)
               ? 0
               : shard->second.teams.at(team).HeldBy(incarnation);
  }

  int Held(const std::string& team) const {
    const auto& shard = ledgers.find(LedgerKey(LedgerShardOf(team)));
    if (shard == ledgers.end() || !shard->second.teams.contains(team)) {
      return 0;
    }
    return shard->second.teams.at(team).TotalHeld();
  }

  /// Returns a description of unfinished work, or an empty text if there is none.
  std::string Unfinished() const {
    std::string text;
    for (const auto& [team, record] : head.newest().fleet.teams) {
      if (Held(team) != record.contract.upper_limit) {
        text +=
            fmt::format(" team {} holds {} of {};", team, Held(team), record.contract.upper_limit);
      }
    }
    for (const auto& [id, vm] : head.newest().fleet.vms) {
      if (vm.state != VmState::kServing || workers.workers.at(id).draining) {
        text += fmt::format(" VM {} {} worker draining {}", id, ToString(vm.state),
                            workers.workers.at(id).draining);
        for (const auto& daemon : daemons) {
          for (const VmMover::Move& move : daemon->mover.Moves()) {
            text += move.vm == id ? fmt::format(" ({})", move.step) : "";
          }
        }
        text += ';';
      }
    }
    for (const auto& [pool, wave] : waves) {
      text += wave.Active() ? fmt::format(" wave on {};", pool) : "";
    }
    return text;
  }

  bool RunUntil(Duration limit, const std::function<bool()>& condition) {
    for (Duration waited{0}; waited < limit && !condition(); waited += kTick) {
      clock.RunFor(kTick);
    }
    return condition();
  }

  /// Returns the daemon that is responsible for work on `subject`, or daemon 0 if that one is not
  /// running.
  SimulatedDaemon& Acting(std::string_view subject) {
    const DaemonRecord* record = ActingDaemon(head.newest().head, subject);
    for (const auto& daemon : daemons) {
      if (record != nullptr && daemon->process.incarnation == record->incarnation) {
        return *daemon;
      }
    }
    return At(0);
  }

  int NumberOf(const SimulatedDaemon& daemon) const {
    const auto found = std::find_if(daemons.begin(), daemons.end(),
                                    [&](const auto& item) { return item.get() == &daemon; });
    return static_cast<int>(found - daemons.begin());
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
  std::vector<std::unique_ptr<SimulatedDaemon>> ended;        ///< Late callbacks refer to them.
  std::map<std::string, LedgerShard, std::less<>> ledgers;    ///< Decoded content of the store.
  std::map<std::string, MaintenanceWave, std::less<>> waves;  ///< Likewise.
  std::map<std::string, TimePoint, std::less<>> last_moving;
  std::uint64_t started = 0;  ///< Tasks started.
  std::uint64_t moves = 0;    ///< VMs moved to another pool.
  std::uint64_t vms_maintained = 0;

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
        fmt::format("d{}-{}", number, ++m_incarnations), random.Next(), options);
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
      daemon->ledger.Tick(clock.Now());
      daemon->mover.Tick(clock.Now());
      daemon->maintenance.Tick(clock.Now());
      ProbeWorkers(daemon);
      Dispatch(daemon);
    }
    clock.After(kTick, [this, daemon] { Run(daemon); });
  }

  static bool Linked(const SimulatedDaemon& one, const SimulatedDaemon& other) {
    return !one.process.peers_partitioned && !other.process.peers_partitioned &&
           other.process.alive && !other.process.paused;
  }

  /// Confirms the newest head by the store or by more than half of the registered daemons.
  void ConfirmHead(SimulatedDaemon* daemon) {
    std::uint64_t newest = head.newest().head.revision;
    if (store.down || daemon->process.store_partitioned) {
      newest = daemon->head.applied();
      std::size_t confirming = 0;
      const Head& own = daemon->head.head();
      for (const auto& peer : daemons) {
        const bool answers = peer.get() == daemon || Linked(*daemon, *peer);
        if (answers && own.FindIncarnation(peer->process.incarnation) != nullptr) {
          ++confirming;
          newest = std::max(newest, peer->head.applied());
        }
      }
      if (confirming * 2 <= own.daemons.size()) {
        return;
      }
    }
    daemon->head.Confirm(clock.Now(), newest);
  }

  /// Stands in for the worker probes of the request path.
  void ProbeWorkers(SimulatedDaemon* daemon) {
    if (clock.Now() - daemon->probed < Duration(1'000)) {
      return;
    }
    daemon->probed = clock.Now();
    for (const auto& [id, worker] : workers.workers) {
      daemon->workers.GetStatus(WorkerAddress{id, 0},
                                [daemon, id = id](TimePoint now, const auto& status, auto) {
                                  if (status) {
                                    daemon->mover.ObserveWorker(now, id, *status);
                                  }
                                });
    }
  }

  void SendDemand(SimulatedDaemon* daemon) {
    std::vector<TeamDemand> demand;
    for (const auto& [team, waiting] : daemon->waiting) {
      demand.push_back(TeamDemand{"tone", team, daemon->ledger.Running(team), waiting});
    }
    for (const auto& peer : daemons) {
      if (peer.get() != daemon && Linked(*daemon, *peer)) {
        peer->ledger.SetPeerDemand(clock.Now(), daemon->process.incarnation, demand);
      }
    }
  }

  void Dispatch(SimulatedDaemon* daemon) {
    for (auto& [team, waiting] : daemon->waiting) {
      for (int i = 0; i < 3 && waiting > 0 && StartTask(daemon, team); ++i) {
        --waiting;
      }
      daemon->ledger.SetWaiting(clock.Now(), team, waiting);
    }
  }

  bool StartTask(SimulatedDaemon* daemon, const std::string& team) {
    std::string reason;
    const std::optional<TimePoint> fresh = daemon->head.FreshUntil(clock.Now(), &reason);
    std::vector<const Vm*> serving;
    for (const auto& [id, vm] : daemon->head.fleet().vms) {
      if (vm.state == VmState::kServing) {
        serving.push_back(&vm);
      }
    }
    if (!fresh || serving.empty() || !daemon->ledger.Acquire(clock.Now(), team)) {
      return false;
    }
    const Vm& vm = *serving[random.Below(serving.size())];
    const Duration run(100 + static_cast<Duration::rep>(random.Below(
                                 static_cast<std::uint64_t>(options.max_run.count()))));
    workers.Start(vm.host, {team, vm.pool}, workers.workers[vm.host].BootId(), *fresh, run,
                  [this, daemon, team](bool certain) {
                    clock.After(certain ? Duration(1) : kLease + Duration(500),
                                [this, daemon, team] { EndTask(daemon, team); });
                  });
    ++started;
    return true;
  }

  void EndTask(SimulatedDaemon* daemon, const std::string& team) {
    daemon->process.Deliver([this, daemon, team] { daemon->ledger.Release(clock.Now(), team); });
  }

  /// Removes silent daemons from the head and registers running ones, one change at a time.
  void UpdateMembership() {
    clock.After(Duration(500), [this] { UpdateMembership(); });
    for (const auto& daemon : daemons) {
      const DaemonProcess& process = daemon->process;
      const bool silent = !process.alive || process.paused ||
                          (process.store_partitioned && process.peers_partitioned);
      daemon->silent_since =
          silent ? std::optional(daemon->silent_since.value_or(clock.Now())) : std::nullopt;
    }
    if (store.down || !head.InEffect(head.newest().head.registration_revision, clock.Now())) {
      return;
    }
    std::vector<DaemonRecord> records = head.newest().head.daemons;
    const auto removed = std::find_if(records.begin(), records.end(), [&](const auto& record) {
      return std::none_of(daemons.begin(), daemons.end(), [&](const auto& daemon) {
        return daemon->process.incarnation == record.incarnation &&
               (!daemon->silent_since ||
                clock.Now() - *daemon->silent_since < options.remove_after);
      });
    });
    const auto added = std::find_if(daemons.begin(), daemons.end(), [&](const auto& daemon) {
      // A daemon registers itself, once it has seen that it is not registered.
      return !daemon->silent_since && !daemon->process.store_partitioned &&
             daemon->head.head().FindIncarnation(daemon->process.incarnation) == nullptr &&
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

  /// Checks that a VM changes its pool only in state empty and while it runs no task of the old
  /// pool.
  void CheckHead(const Fleet& before, const Fleet& after) {
    for (const auto& [id, vm] : after.vms) {
      const auto old = before.vms.find(id);
      if (old == before.vms.end()) {
        continue;
      }
      if (old->second.state != VmState::kServing) {
        last_moving[id] = clock.Now();
      }
      if (old->second.pool == vm.pool) {
        continue;
      }
      ++moves;
      const bool runs =
          std::any_of(workers.workers[id].tasks.begin(), workers.workers[id].tasks.end(),
                      [&pool = vm.pool](const auto& task) { return task.second.pool != pool; });
      if (old->second.state != VmState::kEmpty || runs) {
        throw Violation(fmt::format("VM {} goes to pool {} from state {}, old tasks {}", id,
                                    vm.pool, ToString(old->second.state), runs));
      }
    }
  }

  void CheckWrite(std::string_view key, const std::string& before, const std::string& after,
                  TimePoint sent) {
    if (key.starts_with("cranberryplank/slots/")) {
      CheckLedger(key, Content(before), Content(after));
      return;
    }
    const std::string pool(key.substr(key.rfind('/') + 1));
    std::string reason;
    const MaintenanceWave old = DecodeMaintenanceWave(Content(before), &reason).value();
    MaintenanceWave next = DecodeMaintenanceWave(Content(after), &reason).value();
    CheckWave(pool, old, next, sent);
    waves[pool] = std::move(next);
  }

  void CheckWave(const std::string& pool, const MaintenanceWave& old, const MaintenanceWave& next,
                 TimePoint sent) {
    if (old.Active() && old.id != next.id) {
      throw Violation(fmt::format("wave {} replaces wave {} on pool {}", next.id, old.id, pool));
    }
    const Fleet& fleet = head.newest().fleet;
    const AvailabilityBudget budget = fleet.pools.at(pool).budget;
    for (const auto& [id, entry] : next.vms) {
      vms_maintained += entry.state == MaintenanceState::kDone && old.vms.contains(id) &&
                        old.vms.at(id).state != MaintenanceState::kDone;
      if (!HoldsPermit(entry.state) || old.HasPermit(id)) {
        continue;
      }
      if (old.stopping) {
        throw Violation(fmt::format("stopped wave permits VM {}", id));
      }
      CheckBudget(fleet.vms.at(id), budget, next, sent);
    }
  }

  /// Checks the budget against VMs with a permit and VMs down so long that the daemon must count
  /// them as unavailable (`max_answer_age`).
  void CheckBudget(const Vm& permitted, const AvailabilityBudget& budget,
                   const MaintenanceWave& wave, TimePoint sent) {
    int total = 0;
    int in_rack = 0;
    int in_zone = 0;
    for (const auto& [id, vm] : head.newest().fleet.vms) {
      const std::optional<TimePoint> down = workers.workers[id].down_since;
      const bool known_down =
          down && *down + options.maintenance.availability.max_answer_age + Duration(100) < sent;
      if (vm.pool != permitted.pool || !(wave.HasPermit(id) || known_down)) {
        continue;
      }
      ++total;
      in_rack += vm.rack == permitted.rack ? 1 : 0;
      in_zone += vm.zone == permitted.zone ? 1 : 0;
    }
    if (total > budget.per_pool || in_rack > budget.per_rack || in_zone > budget.per_zone) {
      throw Violation(fmt::format("permit of VM {}: unavailable {}, in rack {}, in zone {}",
                                  permitted.id, total, in_rack, in_zone));
    }
  }

  MaintenanceState WaveStateOf(const Vm& vm) const {
    const auto wave = waves.find(vm.pool);
    if (wave == waves.end() || !wave->second.vms.contains(vm.id)) {
      return MaintenanceState::kDone;
    }
    return wave->second.vms.at(vm.id).state;
  }

  /// Checks that a worker is drained only during a recorded move, shortly after one, or with a
  /// permit.
  void CheckDrain(const SimulatedWorkers::Worker& worker) {
    const Vm& vm = head.newest().fleet.vms.at(worker.vm);
    const bool moved =
        vm.state != VmState::kServing ||
        (last_moving.contains(vm.id) && clock.Now() - last_moving[vm.id] < SimulatedHead::kFresh);
    const MaintenanceState state = WaveStateOf(vm);
    if (!moved && state != MaintenanceState::kDraining && state != MaintenanceState::kRebooting) {
      throw Violation(
          fmt::format("VM {} is drained without move or permit, state {}", vm.id, ToString(state)));
    }
  }

  void CheckReboot(const SimulatedWorkers::Worker& worker) {
    const MaintenanceState state = WaveStateOf(head.newest().fleet.vms.at(worker.vm));
    if (state != MaintenanceState::kRebooting || !worker.tasks.empty()) {
      throw Violation(fmt::format("VM {} is rebooted in state {}", worker.vm, ToString(state)));
    }
  }

  static std::string Content(const std::string& document) {
    const std::size_t start = document.find("\"content\":");
    const std::size_t end = document.rfind(",\"writer\"");
    return start == std::string::npos ? "" : document.substr(start + 10, end - start - 10);
  }

  /// Checks each write: it may not raise a team's held slots above its limit. If they already
  /// exceed the limit, it may not raise them at all.
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

  /// Checks that neither running tasks nor usable slots of a team exceed its limit or, if larger,
  /// the slots it holds, and that no daemon with a fresh head runs more tasks than it holds slots.
  void CheckRunning() {
    std::map<std::string, std::pair<int, int>> counts;  // Running, usable.
    for (const auto& [host, worker] : workers.workers) {
      for (const auto& [number, task] : worker.tasks) {
        ++counts[task.team].first;
      }
    }
    std::string reason;
    for (const auto& daemon : daemons) {
      if (!daemon->process.alive || !daemon->head.FreshUntil(clock.Now(), &reason)) {
        continue;
      }
      for (const auto& [team, limit] : options.limits) {
        counts[team].second += daemon->ledger.Usable(team);
        if (daemon->ledger.Running(team) > HeldBy(team, daemon->process.incarnation)) {
          throw Violation(fmt::format("team {} runs more on {} than it holds:{}", team,
                                      daemon->process.incarnation, Holders(team)));
        }
      }
    }
    for (const auto& [team, count] : counts) {
      const auto contract = head.newest().fleet.teams.find(team);
      const int limit =
          contract == head.newest().fleet.teams.end() ? 0 : contract->second.contract.upper_limit;
      const int allowed = std::max(limit, Held(team));
      if (count.first > allowed || count.second > allowed) {
        throw Violation(fmt::format("team {} runs {} and may use {}, allowed {}:{}", team,
                                    count.first, count.second, allowed, Holders(team)));
      }
    }
  }

  std::string Holders(const std::string& team) const {
    std::string text;
    for (const auto& daemon : daemons) {
      text += fmt::format(" {} usable {} running {}{};", daemon->process.incarnation,
                          daemon->ledger.Usable(team), daemon->ledger.Running(team),
                          daemon->process.paused ? " paused" : "");
    }
    for (const auto& [holder, count] :
         ledgers.at(LedgerKey(LedgerShardOf(team))).teams.at(team).held) {
      text += fmt::format(" ledger {} {};", holder, count);
    }
    return text;
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
