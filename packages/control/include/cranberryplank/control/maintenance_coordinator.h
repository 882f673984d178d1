#ifndef CRANBERRYPLANK_CONTROL_MAINTENANCE_COORDINATOR_H_
#define CRANBERRYPLANK_CONTROL_MAINTENANCE_COORDINATOR_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/maintenance_wave.h"
#include "cranberryplank/control/pool_usage.h"
#include "cranberryplank/control/store_document.h"
#include "cranberryplank/control/worker_availability.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/platform/worker_client.h"

namespace cranberryplank {

/// Input for the choice of the next VMs of a wave.
struct WaveView {
  const Pool* pool = nullptr;
  std::vector<const Vm*> waiting;      ///< VMs that may receive a permit.
  std::vector<const Vm*> unavailable;  ///< VMs of the pool that are down or hold a permit.
};

/// Returns waiting VMs in order of preference. The coordinator grants permits in this order and
/// skips VMs that exceed the budget.
using WavePicker = std::function<std::vector<std::string>(TimePoint now, const WaveView& view)>;

/// Returns the waiting VMs in the order of their ids.
std::vector<std::string> PickInOrder(TimePoint now, const WaveView& view);

/// Settings of a MaintenanceCoordinator.
struct MaintenanceOptions {
  Duration store_retry{500};
  Duration retry_interval{500};      ///< Interval between attempts at a step of one VM.
  Duration max_document_age{1'000};  ///< Age at which the acting daemon reads its wave again.
  Duration watch_timeout{30'000};
  AvailabilityOptions availability;
  Duration checkpoint_after{60'000};  ///< Draining time after which checkpoints are requested.
  Duration checkpoint_repeat{5'000};
  Duration request_limit{5'000};    ///< Time within which the first write of a request must start.
  Duration drain_limit{1'800'000};  ///< A VM that drains for longer has failed.
  Duration reboot_limit{900'000};   ///< A VM that takes longer to reboot has failed.
  Duration reboot_repeat{10'000};   ///< Between reboot requests while the boot id is unchanged.
  /// Always true in production; tests disable it to verify that the invariant checks detect the
  /// fault.
  bool test_permit_before_drain = true;
};

/// Result of an operator's request concerning a wave.
struct WaveResult {
  bool accepted = false;
  bool unavailable = false;  ///< The store did not answer; the request has no effect, now or later.
  std::string wave;          ///< Id of the wave started or stopped, or of the conflicting one.
  std::string reason;        ///< Set unless accepted.
};

/// Executes maintenance waves, one at a time per pool. The state is stored in the maintenance
/// document of the pool. One daemon, chosen by a hash over the registered ones, advances a wave.
class MaintenanceCoordinator {
 public:
  using ResultCallback = std::function<void(TimePoint now, const WaveResult& result)>;
  using CheckpointSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*vm*/>;
  using DecisionSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*line*/>;

  /// @param vm_list reader of the VM list; may be shared
  MaintenanceCoordinator(HeadControl* head, Store* store, VmListReader* vm_list,
                         WorkerClient* workers, RandomSource* random,
                         WavePicker picker = PickInOrder, const MaintenanceOptions& options = {});

  /// Starts a wave over `vms`, or over all VMs of `pool` if `vms` is empty. `done` runs once the
  /// outcome is certain, which is within `request_limit` unless a write remains unanswered. Refused
  /// if the pool is unknown, a VM is not in the pool or a wave is active on the pool.
  /// @param identity recorded with the wave; a change that is already recorded gets the same result
  ///   again
  void Start(TimePoint now, std::string_view pool, std::span<const std::string> vms,
             ResultCallback done, const ChangeIdentity& identity = {});

  /// Stops the wave of `pool`. VMs that drain or reboot are completed; no further VM is started.
  void Stop(TimePoint now, std::string_view pool, ResultCallback done,
            const ChangeIdentity& identity = {});

  /// Returns the wave of `pool` as last read, or nothing if it has not been read yet.
  std::optional<MaintenanceWave> Status(std::string_view pool) const;

  /// Records the status of a worker, whoever sent the probe.
  void ObserveWorker(TimePoint now, std::string_view vm, const WorkerStatus& status);

  void Tick(TimePoint now);

  /// Emitted to request checkpoints of the tasks that this daemon runs on a VM.
  CheckpointSignal& signal_checkpoint() { return m_checkpoint; }

  /// Emitted with a log line (key=value) for each decision.
  DecisionSignal& signal_decision() { return m_decision; }

 private:
  struct Progress {
    MaintenanceState state = MaintenanceState::kWaiting;
    TimePoint since;  ///< Time at which this daemon first read the state.
    TimePoint next;
    bool busy = false;
    std::optional<TimePoint> reboot_sent;
    std::optional<TimePoint> checkpoint_signalled;
  };
  struct Request {
    TimePoint at;
    bool start = true;
    ChangeIdentity identity;  ///< Shows in the document whether the request was recorded.
    std::vector<std::string> vms;
    bool writing = false;  ///< A write of the request is under way; its outcome is unknown.
    ResultCallback done;
  };
  struct EntryChange {
    MaintenanceEntry from;
    MaintenanceEntry to;
  };
  struct PoolState {
    std::unique_ptr<StoreDocument> document;
    std::optional<MaintenanceWave> wave;
    std::map<std::string, Progress, std::less<>> progress;
    std::map<std::string, EntryChange, std::less<>> changes;  ///< Changes for the next write.
    std::vector<Request> requests;
    PoolUsage usage;
    std::optional<TimePoint> usage_at;
    TimePoint next_permit;
  };

  void Submit(TimePoint now, const std::string& pool, Request request);
  PoolState& StateOf(const std::string& pool);
  void OnResolved(TimePoint now, const std::string& pool);
  void TickPool(TimePoint now, const std::string& pool, PoolState* state);
  void ExpireRequests(TimePoint now, const std::string& pool, PoolState* state);
  void AnswerRequests(TimePoint now, const std::string& pool, PoolState* state);
  std::optional<WaveResult> AnswerTo(const Request& request, const std::string& pool,
                                     const MaintenanceWave& wave) const;
  std::optional<std::string> StartRefusalReason(const std::string& pool,
                                                const Request& request) const;
  bool WriteNextRequest(TimePoint now, const std::string& pool, PoolState* state);
  void AdvanceVm(TimePoint now, const std::string& pool, const std::string& id,
                 const MaintenanceEntry& entry, PoolState* state);
  void AdvancePermitted(TimePoint now, const Vm& vm, const MaintenanceEntry& entry,
                        PoolState* state);
  void AdvanceDraining(TimePoint now, const Vm& vm, const MaintenanceEntry& entry,
                       PoolState* state);
  void AdvanceRebooting(TimePoint now, const Vm& vm, const MaintenanceEntry& entry,
                        PoolState* state);
  void OnDrainStatus(TimePoint now, const Vm& vm, const std::optional<WorkerStatus>& status);
  void OnRebootStatus(TimePoint now, const Vm& vm, const std::optional<WorkerStatus>& status);
  void QueueChange(TimePoint now, PoolState* state, const std::string& vm,
                   const MaintenanceEntry& entry, MaintenanceState to, std::string_view reason);
  void WriteChanges(TimePoint now, PoolState* state);
  void GrantPermits(TimePoint now, const std::string& pool, PoolState* state);
  PoolUsage UsageOf(TimePoint now, std::string_view pool, const MaintenanceWave& wave,
                    std::vector<const Vm*>* unavailable) const;
  void SignalCheckpoints(TimePoint now, PoolState* state);
  bool MayAdvanceWave(TimePoint now, std::string_view pool, const PoolState& state) const;
  PoolState* FinishWorkerCall(TimePoint now, const Vm& vm, MaintenanceState expected);

  HeadControl* m_head;
  Store* m_store;
  WorkerClient* m_workers;
  RandomSource* m_random;
  WavePicker m_picker;
  MaintenanceOptions m_options;
  std::map<std::string, PoolState, std::less<>> m_pools;
  WorkerAvailability m_availability;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
  CheckpointSignal m_checkpoint;
  DecisionSignal m_decision;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_MAINTENANCE_COORDINATOR_H_
