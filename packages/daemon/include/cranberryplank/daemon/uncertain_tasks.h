#ifndef CRANBERRYPLANK_DAEMON_UNCERTAIN_TASKS_H_
#define CRANBERRYPLANK_DAEMON_UNCERTAIN_TASKS_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/worker_client.h"

namespace cranberryplank {

/// A task whose start was sent but whose answer did not arrive.
struct UncertainTask {
  std::string task_id;
  WorkerAddress worker;
  std::string boot_id;
  Duration start_by{0};  ///< On the worker's clock.
  TimePoint ends_by;     ///< From then on it cannot run: start-by deadline plus lease have passed.
};

/// What became of an uncertain task.
enum class TaskOutcome {
  kNeverRan,  ///< The worker does not know it and will refuse to start it.
  kEnded,     ///< It ran, or it can no longer be told whether it ran; it does not run any more.
};

/// Finds out when tasks with unknown outcome can no longer run, so that their slots may be used
/// again. The worker is asked; without an answer the start-by deadline and the lease decide.
class UncertainTasks {
 public:
  using OutcomeCallback = std::function<void(TimePoint now, TaskOutcome outcome)>;

  explicit UncertainTasks(WorkerClient* workers) : m_workers(workers) {}

  /// Watches `task` until its outcome is known. `done` runs once.
  void Add(TimePoint now, const UncertainTask& task, OutcomeCallback done);

  void Tick(TimePoint now);

  /// Tasks whose fate is still open.
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
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);  ///< Guards late callbacks.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_UNCERTAIN_TASKS_H_
