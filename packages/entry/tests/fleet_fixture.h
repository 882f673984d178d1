#ifndef CRANBERRYPLANK_ENTRY_TESTS_FLEET_FIXTURE_H_
#define CRANBERRYPLANK_ENTRY_TESTS_FLEET_FIXTURE_H_

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/entry/schedule_owner.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/vm_fleet.h"
#include "fake_key_value_store.h"

namespace cranberryplank {

/// Keeps the orders to workers, so that a test can reply to them.
class KeepingLink : public RedirectableWorkerLink {
 public:
  void SetEvents(WorkerEvents*) override {}
  void RenewLease(const WorkerInfo& worker, const LeaseRenewalOrder& order) override {
    renewals.emplace_back(worker.id, order);
  }
  void Start(const WorkerInfo& worker, const StartOrder& order) override {
    starts.emplace_back(worker.id, order);
  }
  void Stop(const WorkerInfo&, const StopOrder&) override {}
  void Throttle(const WorkerInfo&, const ThrottleOrder&) override {}
  void Advise(const AdviceOrder&) override {}

  std::vector<std::pair<std::string, LeaseRenewalOrder>> renewals;
  std::vector<std::pair<std::string, StartOrder>> starts;
};

/// Lists fixed VMs and keeps the orders to them.
class KeepingVmControl : public VmControl {
 public:
  void List(const std::string&, ListCallback done) override { m_lists.push_back(std::move(done)); }
  void Move(const std::string& vm, const std::string&, const VmOrderFence&,
            OrderCallback done) override {
    moved.push_back(vm);
    m_orders.push_back(std::move(done));
  }
  /// Reports all moves as done.
  void ConfirmMoves(TimePoint now) {
    for (const OrderCallback& done : std::exchange(m_orders, {})) {
      done(now, VmOrderOutcome::kDone);
    }
  }
  void Upkeep(const std::string& vm, std::int64_t, const VmOrderFence&, OrderCallback) override {
    taken_down.push_back(vm);
  }

  void DeliverLists(TimePoint now) {
    for (const ListCallback& done : std::exchange(m_lists, {})) {
      done(now, {true, vms, ""});
    }
  }

  std::vector<ListedVm> vms;
  std::vector<std::string> moved;
  std::vector<std::string> taken_down;

 private:
  std::vector<ListCallback> m_lists;
  std::vector<OrderCallback> m_orders;
};

/// Encodes only what the fleet writes.
class WaveFormat : public PlatformFormat {
 public:
  std::string_view OperatorPrefix() const override { return "op/"; }
  bool IsConfigKey(std::string_view) const override { return false; }
  std::optional<ClusterConfig> DecodeConfig(const KvItem&) const override { return {}; }
  bool IsWaveKey(std::string_view) const override { return false; }
  std::optional<UpkeepWave> DecodeWave(const KvItem&) const override { return {}; }
  bool IsEvacuationKey(std::string_view key) const override {
    return key.starts_with("op/evacuate/");
  }
  std::optional<std::string> EvacuatedZoneOf(std::string_view key) const override {
    const std::string zone(key.substr(std::string_view("op/evacuate/").size()));
    return zone.empty() ? std::nullopt : std::optional(zone);
  }
  KvWrite EncodeWaveStatus(std::int64_t, bool done) const override {
    return {"status/wave", done ? "done" : "running"};
  }
  std::string_view WorkerPrefix() const override { return "servers/"; }
  std::string WorkerIdOf(std::string_view key) const override { return std::string(key); }
  std::optional<WorkerInfo> DecodeWorker(const KvItem&) const override { return {}; }
  std::optional<JobRequest> DecodeCall(std::string_view, std::string_view) const override {
    return {};
  }
  std::optional<std::string> DecodeJob(std::string_view, JobSpec*) const override { return {}; }
  std::string_view KeyOf(const ApiRequest&) const override { return {}; }
  Duration CallerTimeoutOf(const ApiRequest&) const override { return Duration(0); }
  ApiResponse EncodeState(JobState) const override { return {}; }
  ApiResponse EncodeWaiting(int) const override { return {}; }
};

/// The owner of a fleet of one VM for each worker, in a pool from which surplus VMs move to
/// standby.
struct FleetFixture {
  static constexpr int kVms = 8;  ///< More than the spare VMs that a pool without load keeps.

  TimePoint now{std::chrono::seconds(50)};
  int clock_ms = 1'000;
  FakeKeyValueStore store;
  ScheduleOwnership ownership{
      &store, "duty/schedule", {"vm-1", "127.0.0.1:7000", "incarnation-1", 0, {}}};
  KeepingLink link;
  KeepingVmControl machines;
  WaveFormat format;
  Scheduler scheduler{SchedulerSettings{}, &link};
  StateWriter writer{&store, &ownership, &scheduler};
  std::unique_ptr<VmFleet> fleet;
  bool store_answers = true;
  bool lists_answered = true;

  FleetFixture() {
    ownership.Read(now);
    store.Deliver(now);
    ownership.Claim(now);
    store.Deliver(now);
    ClusterConfig config;
    QueueConfig queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.max_attempts = 3;
    config.queues.push_back(queue);
    config.pools["pool"] = {"pool", false, false};
    config.pools["standby"] = {"standby", false, true};
    scheduler.SetConfig(At(), std::make_shared<const ClusterConfig>(config));
    scheduler.LoadQueue({queue, {queue.pool}, false});
    for (int i = 0; i < kVms; ++i) {
      const std::string worker = "worker-" + std::to_string(i);
      WorkerInfo info;
      info.id = worker;
      info.pool = "pool";
      info.capacity = {8'000, 8'000, 0};
      scheduler.SetWorker(At(), info);
      machines.vms.push_back({VmOf(worker), "pool", ListedVmState::kUp, "", worker});
    }
  }

  Now At() const { return {now, 1'000'000}; }

  void Begin(const Takeover& takeover) {
    scheduler.Begin(At(), takeover);
    VmFleetSettings settings;
    settings.machine_lease = Duration(0);
    fleet = std::make_unique<VmFleet>(
        VmFleetParts{&machines, &writer, &format, &ownership, &scheduler}, settings, now);
  }

  void Begin() {
    Takeover takeover;
    takeover.epoch = ownership.revision();
    Begin(takeover);
  }

  void Step() {
    now += Duration(100);
    clock_ms += 100;
    scheduler.SetAuthority({now, now + Duration(8'000)});
    scheduler.Tick(At());
    fleet->Tick(now);
    if (lists_answered) {
      machines.DeliverLists(now);
    }
    writer.Tick(At());
    if (store_answers) {
      store.Deliver(now);
    }
  }

  using EndedRuns = std::map<std::string, std::vector<EndedRun>>;

  /// Replies to all lease renewals. @param ended ended runs that the workers list, by worker
  void ReplyToRenewals(const EndedRuns& ended = {}) {
    for (const auto& [id, order] : std::exchange(link.renewals, {})) {
      LeaseRenewalReply reply;
      reply.call = order.call;
      reply.outcome = CallOutcome::kOk;
      reply.clock_ms = clock_ms;
      reply.started_unix_ms = 1;
      if (const auto it = ended.find(id); it != ended.end()) {
        reply.ended = it->second;
      }
      scheduler.OnLeaseRenewal(now, id, reply);
    }
  }

  /// Runs steps in each of which all workers reply.
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      ReplyToRenewals();
    }
  }

  /// Submits a job with one step.
  void SubmitStep(const std::string& id, StepSpec step) {
    JobSpec spec;
    spec.id = id;
    spec.queue = "queue";
    spec.pool = "pool";
    step.estimate_ms = 500;
    spec.steps.push_back(step);
    scheduler.Submit(At(), spec, [](bool) {});
  }

  void Submit(const std::string& id, int tasks) {
    StepSpec step;
    step.count = tasks;
    step.per_task = {10, 1, 0};
    SubmitStep(id, step);
  }

  /// Submits a job of long-running tasks, of which each needs a VM of its own.
  void SubmitLongRunning(int tasks) {
    StepSpec step;
    step.count = tasks;
    step.per_task = {1'000, 100, 0};
    step.long_running = true;
    step.max_per_vm = 1;
    SubmitStep("lasting", step);
  }

  /// Runs a job with one task until its end is listed. @return the worker of the run
  std::string RunTask() {
    Submit("job", 1);
    for (int i = 0; i < 5 && link.starts.empty(); ++i) {
      Step();
      ReplyToRenewals();
    }
    REQUIRE(link.starts.size() == 1);
    const auto [worker, order] = link.starts.front();
    scheduler.OnStart(now, worker, order, {CallOutcome::kOk, 0});
    store_answers = false;
    Step();
    ReplyToRenewals({{worker, {{1, order.task.Name(), order.run, RunEndKind::kDone, ""}}}});
    return worker;
  }

  /// Returns the VM of a worker. The first worker, on which tasks are placed first, has the last
  /// VM, which is moved first.
  static std::string VmOf(const std::string& worker) {
    return "vm-" + std::to_string(kVms - 1 - std::stoi(worker.substr(7)));
  }
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_TESTS_FLEET_FIXTURE_H_
