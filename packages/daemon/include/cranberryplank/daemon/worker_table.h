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

/// What this daemon knows of the workers: their records, clocks, load and whether they leave.
class WorkerTable {
 public:
  /// Deadline on a worker's own clock, together with the boot that the clock belongs to.
  struct StartBy {
    std::string boot_id;
    Duration worker_clock{0};
  };

  WorkerTable() = default;
  WorkerTable(const WorkerTable&) = delete;
  WorkerTable& operator=(const WorkerTable&) = delete;

  /// Takes over the VM records of a newer configuration.
  void SetFleet(const Fleet& fleet);

  /// Replaces the VMs that the VM list or a peer reports as leaving or gone.
  void SetLeaving(const std::set<std::string, std::less<>>& leaving);

  /// Takes in a worker's report of itself.
  void OnStatus(TimePoint now, std::string_view vm, const WorkerStatus& status);

  /// Takes in the clock that came with a worker's answer.
  void OnClock(TimePoint now, std::string_view vm, Duration worker_clock);

  /// Notes that the worker refused to start a task. A draining worker takes effect at once; a
  /// boot id that is no longer valid is forgotten.
  /// @param busy_for how long a full worker is taken to stay full
  void OnRefusal(TimePoint now, std::string_view vm, WorkerRefusal refusal, Duration busy_for);

  /// Notes that the worker did not answer; it gets no work until a probe succeeds.
  void OnNoAnswer(std::string_view vm);

  void TaskStarted(std::string_view vm);
  void TaskEnded(std::string_view vm);

  /// Spreads the tasks that other daemons run in `pool` evenly over its workers.
  void SetRunningElsewhere(std::string_view pool, int tasks);

  /// Views of the pool's workers for placement. Valid until the next call of this object.
  std::span<const WorkerView> Views(TimePoint now, std::string_view pool);

  /// Converts a deadline of this process to the worker's clock, never later than the original.
  std::optional<StartBy> StartByOf(std::string_view vm, TimePoint deadline) const;

  /// Address of a worker, or nothing if the VM is unknown.
  std::optional<WorkerAddress> AddressOf(std::string_view vm) const;

  const Vm* Find(std::string_view vm) const;

  /// VMs whose status is to be asked now, at most `max_count`; each is marked as asked.
  std::vector<std::string> DueProbes(TimePoint now, int max_count);

  /// VMs whose own answer said that they drain, for the heartbeat.
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
    std::size_t index = 0;  ///< In the pool's lists.
    std::string boot_id;
    std::optional<ClockReading> clock;
    bool draining = false;
    bool leaving = false;
    bool answering = false;
    int running_here = 0;
    int busy_slots = 0;  ///< Assumed taken by others until `busy_until`.
    TimePoint busy_until;
    std::optional<TimePoint> next_probe;
  };

  /// Workers of a pool. The views are kept up to date by changes, since a placement that looked
  /// at every worker of a large pool would cost more than the rest of the request.
  struct PoolWorkers {
    std::vector<const Worker*> workers;
    std::vector<WorkerView> views;
    std::vector<std::size_t> changed;  ///< Places whose views are to be renewed.
    bool all_changed = true;
    TimePoint valid_until;  ///< When the first worker is no longer taken to be full.
    int running_elsewhere = 0;

    /// Part of the tasks running elsewhere that falls to each worker.
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
