#ifndef CRANBERRYPLANK_DAEMON_TASK_RUNNER_H_
#define CRANBERRYPLANK_DAEMON_TASK_RUNNER_H_

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "cranberryplank/control/slot_control.h"
#include "cranberryplank/daemon/uncertain_tasks.h"
#include "cranberryplank/daemon/worker_table.h"
#include "cranberryplank/model/queue.h"
#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/policy/run_time_estimator.h"
#include "cranberryplank/policy/worker_health.h"

namespace cranberryplank {

/// One attempt to run a request on a worker.
struct TaskAttempt {
  std::string task_id;     ///< Task id of the request.
  std::string attempt_id;  ///< Task id sent to the worker.
  std::string team;
  std::string vm;
  std::string content_type;
  std::string body;
  TimePoint start_limit;  ///< The worker refuses to start it after this time.
  TimePoint deadline;     ///< Deadline of the caller.
};

/// Result of an attempt.
struct AttemptResult {
  TaskResult result;
  bool checkpointed = false;  ///< The worker stopped it at this daemon's request.
  bool failed = false;        ///< Completed, but the task reported a failure.
  FailureEffect effect = FailureEffect::kCounted;
};

/// Runs tasks on workers and holds a team's slot until the task that uses it can no longer run.
class TaskRunner {
 public:
  using EndCallback = std::function<void(TimePoint now, const AttemptResult& end)>;
  using OutcomeCallback = std::function<void(TimePoint now, TaskOutcome outcome)>;
  using StatusSignal =
      sigc::signal<void, TimePoint /*now*/, const std::string& /*vm*/, const WorkerStatus&>;

  /// @param keep_uncertain_slots whether a task with an unknown outcome keeps its slot; set to
  /// false only by tests, to verify that their checks detect a violation
  TaskRunner(WorkerClient* client, SlotControl* slots, bool keep_uncertain_slots = true);

  /// Starts an attempt on a slot that was acquired before. `ended` is called once. If its verdict
  /// is kMayHaveRun, `resolved` is called once when the task certainly no longer runs.
  void Start(TimePoint now, const TaskAttempt& attempt, const Queue& queue, EndCallback ended,
             OutcomeCallback resolved);

  /// Probes workers and queries tasks with an unknown outcome.
  void Tick(TimePoint now);

  /// Number of a team's tasks in a pool that hold a slot of this daemon.
  int Running(std::string_view pool, std::string_view team) const;

  /// Number of tasks that hold a slot of this daemon, by pool and team.
  const std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>>& Counts()
      const {
    return m_counts;
  }

  /// Asks workers to checkpoint the newest `tasks` tasks of `team` that this daemon started.
  void CheckpointTeam(std::string_view team, int tasks);

  /// Asks workers to checkpoint all tasks that this daemon started on `vm`, or on any VM if `vm` is
  /// empty.
  void CheckpointVm(std::string_view vm, std::string_view reason);

  /// Expected run time of a team's request.
  Duration ExpectedRunTime(std::string_view team, const Queue& queue) const;

  /// Expected time until all tasks that this daemon started on `vm` have ended.
  Duration ExpectedDrain(std::string_view vm) const;

  bool Idle() const { return m_running.empty() && m_uncertain.size() == 0; }
  std::size_t running() const { return m_running.size(); }
  std::size_t uncertain() const { return m_uncertain.size(); }
  WorkerTable& workers() { return m_workers; }
  const WorkerTable& workers() const { return m_workers; }
  WorkerHealth& health() { return m_health; }
  const WorkerHealth& health() const { return m_health; }

  /// Emitted when a worker has reported its status.
  StatusSignal& signal_status() { return m_status; }

 private:
  struct RunningTask {
    std::string task_id;
    std::string team;
    std::string pool;
    std::string queue;
    Duration declared{0};
    std::string vm;
    TimePoint started;
    TimePoint ends_by;
    WorkerTable::StartBy start_by;
    bool checkpoint_requested = false;
  };

  void OnResult(TimePoint now, const std::string& attempt_id, TaskResult result,
                const EndCallback& ended, const OutcomeCallback& resolved);
  AttemptResult OnCompleted(TimePoint now, const RunningTask& task, TaskResult result);
  void OnRefused(TimePoint now, const RunningTask& task, const TaskResult& result);
  void OnNoAnswer(TimePoint now, const std::string& attempt_id, const RunningTask& task,
                  OutcomeCallback resolved);
  void ReleaseSlot(TimePoint now, const RunningTask& task);
  void Probe(TimePoint now);
  void Checkpoint(const std::string& attempt_id, std::string_view reason);
  JobRun RunOf(const RunningTask& task) const;

  WorkerClient* m_client;
  SlotControl* m_slots;
  bool m_keep_uncertain_slots;
  WorkerTable m_workers;
  WorkerHealth m_health;
  RunTimeEstimator m_estimates;
  UncertainTasks m_uncertain;
  std::unordered_map<std::string, RunningTask> m_running;  ///< By attempt id.
  std::map<std::string, std::map<std::string, int, std::less<>>, std::less<>> m_counts;
  TimePoint m_next_probe;
  StatusSignal m_status;
  std::shared_ptr<bool> m_alive =
      std::make_shared<bool>(true);  ///< Invalidates callbacks after destruction.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_TASK_RUNNER_H_
