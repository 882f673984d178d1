#ifndef CRANBERRYPLANK_DAEMON_WORKER_TABLE_H_
#define CRANBERRYPLANK_DAEMON_WORKER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/policy/placement_policy.h"

namespace cranberryplank {

/// This daemon's view of the workers, with their records, clocks, load and availability.
class WorkerTable {
 public:
  /// Start-by deadline on a worker's clock, with the id of the boot to which the clock belongs.
  struct StartBy {
    std::string boot_id;
    Duration worker_clock{0};
  };

  WorkerTable() = default;
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;

  /// Applies the VM records of a newer configuration.
  void SetFleet(const Fleet& fleet);

  /// Replaces the set of VMs that the VM list or a peer reports as leaving or missing.
  void SetLeavingVms(const std::set<std::string, std::less<>>& leaving);

  /// Processes a worker's status report.
  void OnStatus(TimePoint now, std::string_view vm, const WorkerStatus& status);

  /// Records the clock reading in a worker's answer.
  void OnClock(TimePoint now, std::string_view vm, Duration worker_clock);

  /// Records that a worker refused to start a task. A draining worker gets no new work from then
  /// on. If the start was refused as expired, the clock reading is discarded.
  /// @param busy_for time for which a full worker is assumed to stay full
  void OnRefusal(TimePoint now, std::string_view vm, WorkerRefusal refusal, Duration busy_for);

  /// Records that a worker did not answer. It gets no work until a probe succeeds.
  void OnNoAnswer(std::string_view vm);

  void TaskStarted(std::string_view vm);
  void TaskEnded(std::string_view vm);

  /// Sets the number of tasks that other daemons run in `pool`. They are assumed to be spread
  /// evenly over its workers.
  void SetRunningElsewhere(std::string_view pool, int tasks);

  /// Returns the pool's workers for placement. Valid until the next call on this object.
  std::span<const WorkerView> Views(TimePoint now, std::string_view pool);

  /// Converts a deadline of this process to the worker's clock, never later than the original.
  std::optional<StartBy> StartByOf(std::string_view vm, TimePoint deadline) const;

  /// Returns the address of a worker, or `std::nullopt` if the VM is unknown.
  std::optional<WorkerAddress> AddressOf(std::string_view vm) const;

  const Vm* Find(std::string_view vm) const;

  /// Returns at most `max_count` VMs that are due for a probe and schedules their next probes.
  std::vector<std::string> DueProbes(TimePoint now, int max_count);

  /// Returns the VMs whose workers report that they drain, for the heartbeat.
  std::vector<std::string> Draining() const;

 private:
  struct ClockReading {
    Duration worker_clock{0};
    TimePoint received;
  };

  struct PoolWorkers;

  struct Worker {
    Vm vm;
    PoolWorkers* pool = nullptr;
    std::size_t index = 0;  ///< Index in the pool's lists.
    std::string boot_id;
    std::optional<ClockReading> clock;
    bool draining = false;
    bool leaving = false;
    bool answering = false;
    int running_here = 0;
    int busy_slots = 0;  ///< Assumed to be used by other daemons until `busy_until`.
    TimePoint busy_until;
    std::optional<TimePoint> next_probe;
  };

  /// Workers of a pool. Only the views of changed workers are updated, since visiting every worker
  /// of a large pool for each placement would cost more than the rest of the request.
  struct PoolWorkers {
    std::vector<const Worker*> workers;
    std::vector<WorkerView> views;
    std::vector<std::size_t> changed;  ///< Indices of views that are out of date.
    bool all_changed = true;
    TimePoint valid_until;  ///< When the first `busy_until` of a full worker passes.
    int running_elsewhere = 0;

    /// Number of tasks of other daemons that is assumed to run on each worker.
    int TasksElsewherePerWorker() const;
    void UpdateView(TimePoint now, std::size_t index);
  };

  Worker* FindWorker(std::string_view vm);
  const Worker* FindWorker(std::string_view vm) const;
  static bool IsAvailable(const Worker& worker);
  static void MarkChanged(const Worker& worker);

  std::map<std::string, Worker, std::less<>> m_workers;
  std::map<std::string, PoolWorkers, std::less<>> m_pools;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_WORKER_TABLE_H_
