#ifndef CRANBERRYPLANK_DAEMON_UNCERTAIN_TASKS_H_
#define CRANBERRYPLANK_DAEMON_UNCERTAIN_TASKS_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/worker_client.h"

namespace cranberryplank {

/// A task whose start was sent to a worker but whose answer did not arrive.
struct UncertainTask {
  std::string task_id;
  WorkerAddress worker;
  std::string boot_id;
  Duration start_by{0};  ///< Start-by deadline on the worker's clock.
  TimePoint ends_by;     ///< Start-by deadline plus lease, after which it cannot be running.
};

/// Outcome of a task whose answer did not arrive.
enum class TaskOutcome {
  kNeverRan,  ///< The worker has no record of it and will refuse to start it.
  kEnded,     ///< It is not running any more, and it ran or may have run.
};

/// Determines when tasks with an unknown outcome can no longer run, so that their slots can be
/// reused. Queries the worker; without an answer, a task counts as ended once its start-by deadline
/// and lease have passed.
class UncertainTasks {
 public:
  using OutcomeCallback = std::function<void(TimePoint now, TaskOutcome outcome)>;

  explicit UncertainTasks(WorkerClient* workers) : m_workers(workers) {}

  /// Watches `task` until its outcome is known. `done` is called once.
  void Add(TimePoint now, const UncertainTask& task, OutcomeCallback done);

  void Tick(TimePoint now);

  /// Number of tasks whose outcome is still unknown.
  std::size_t size() const { return m_tasks.size(); }

 private:
  struct Entry {
    UncertainTask task;
    OutcomeCallback done;
    bool query_in_flight = false;
    TimePoint next_query;
  };

  void Query(TimePoint now, Entry* entry);
  void OnReport(TimePoint now, const std::string& task_id, const std::optional<TaskReport>& report);
  void Resolve(TimePoint now, const std::string& task_id, TaskOutcome outcome);

  WorkerClient* m_workers;
  std::unordered_map<std::string, Entry> m_tasks;
  std::shared_ptr<bool> m_alive =
      std::make_shared<bool>(true);  ///< Invalidates callbacks after destruction.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_UNCERTAIN_TASKS_H_
