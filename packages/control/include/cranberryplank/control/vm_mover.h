#ifndef CRANBERRYPLANK_CONTROL_VM_MOVER_H_
#define CRANBERRYPLANK_CONTROL_VM_MOVER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/control/recorded_change.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/platform/store.h"
#include "cranberryplank/platform/worker_client.h"

namespace cranberryplank {

/// Settings of a VmMover.
struct VmMoverOptions {
  Duration retry_interval{500};  ///< Interval between attempts at a step of one move.
  /// Time after which a worker refuses every start request that was sent before the VM was empty.
  /// Equals the longest time that a daemon stays fresh, which determines the start-by deadlines.
  Duration start_request_expiry{2'000};
  /// Always true in production; tests disable it to verify that the invariant checks detect the
  /// fault.
  bool test_wait_for_effect = true;
};

/// Moves VMs between pools: serving(A) -> draining(A), in effect -> empty -> serving(B). Each
/// transition is a change of the head. The state is stored in the record of the VM. One daemon,
/// chosen by a hash over the registered ones, advances a move.
class VmMover {
 public:
  using DecisionSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*line*/>;

  /// A move under way.
  struct Move {
    std::string vm;
    std::string from;
    std::string to;
    VmState state = VmState::kDraining;
    std::string step;  ///< Condition that the move waits for, as known to this daemon.
  };

  VmMover(HeadControl* head, Store* store, WorkerClient* workers, RandomSource* random,
          const VmMoverOptions& options = {});

  /// Starts the move of `vm` to `pool`. Refused if the VM is unknown, already moves, is under
  /// maintenance or is already in `pool`, or if `pool` is unknown. `done` may run before this
  /// function returns.
  /// @param pool target pool; if empty, the VM is drained and stays out of service
  /// @param identity recorded with the change; a change that is already recorded gets the same
  ///   result again
  void Start(TimePoint now, std::string_view vm, std::string_view pool,
             HeadControl::ChangeCallback done, const ChangeIdentity& identity = {});

  /// Cancels the move of `vm` or returns a drained VM to service. The VM serves its old pool again.
  /// Refused if the VM is unknown or already serves.
  void Cancel(TimePoint now, std::string_view vm, HeadControl::ChangeCallback done,
              const ChangeIdentity& identity = {});

  /// Processes the status of a worker, whoever sent the probe. Undrains a worker that was left
  /// draining although its VM serves.
  void ObserveWorker(TimePoint now, std::string_view vm, const WorkerStatus& status);

  /// Returns the moves under way, from the head.
  std::vector<Move> Moves() const;

  void Tick(TimePoint now);

  /// Emitted with a log line (key=value) for each decision.
  DecisionSignal& signal_decision() { return m_decision; }

 private:
  struct Progress {
    std::string move_id;
    VmState state = VmState::kServing;
    std::string boot_id;
    std::uint64_t revision = 0;  ///< Revision at which this daemon first read the state.
    std::uint64_t recorded = 0;  ///< The next step waits until this revision is applied here.
    bool busy = false;           ///< A call or a head change is under way.
    TimePoint next;
    TimePoint state_since;  ///< Time at which this daemon first read the state.
    std::string step;
  };
  /// Requested move.
  struct Request {
    std::string vm;
    std::string from;
    std::string to;
    ChangeIdentity identity;
    HeadControl::ChangeCallback done;
  };
  struct Step {
    Vm from;  ///< Record on which the step is based.
    Vm to;
  };

  void StartChecked(TimePoint now, const Request& request, std::optional<bool> under_maintenance);
  void Refuse(TimePoint now, const Request& request, std::string_view reason,
              ChangeOutcome outcome);
  HeadControl::ChangeCallback LoggingCallback(std::string_view event, const std::string& vm,
                                              HeadControl::ChangeCallback done);
  void Advance(TimePoint now, const Vm& vm);
  void CheckMaintenance(const Vm& vm);
  void DrainWorker(const Vm& vm);
  void CheckEmpty(const Vm& vm);
  void CheckBoot(const Vm& vm);
  void Undrain(const Vm& vm);
  void UndrainServingWorker(TimePoint now, const Vm& vm);
  void QueueStep(const Vm& from, const Vm& to);
  void SubmitSteps(TimePoint now);
  void RetryLater(TimePoint now, const Vm& vm, std::string_view step);
  bool CheckStillValid(TimePoint now, const Vm& vm);
  bool Unchanged(const Vm& vm) const;
  bool IsActingDaemon(std::string_view vm) const;

  HeadControl* m_head;
  Store* m_store;
  WorkerClient* m_workers;
  RandomSource* m_random;
  VmMoverOptions m_options;
  std::map<std::string, Progress, std::less<>> m_progress;
  std::map<std::string, TimePoint, std::less<>> m_next_undrain;  ///< Earliest next undrain, by VM.
  std::vector<std::string> m_moving;  ///< Sorted ids of moving VMs, as of `m_scanned_revision`.
  std::uint64_t m_scanned_revision = 0;
  std::vector<Step> m_queued_steps;
  bool m_submitting = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
  DecisionSignal m_decision;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_VM_MOVER_H_
