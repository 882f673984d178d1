#ifndef CRANBERRYPLANK_PLATFORM_WORKER_CLIENT_H_
#define CRANBERRYPLANK_PLATFORM_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "cranberryplank/model/time.h"
#include "cranberryplank/model/verdict.h"

namespace cranberryplank {

/// Address of a worker.
struct WorkerAddress {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const WorkerAddress&) const = default;
  bool operator<(const WorkerAddress& other) const {
    return std::tie(host, port) < std::tie(other.host, other.port);
  }
};

/// What a worker reports of itself.
struct WorkerStatus {
  std::string boot_id;  ///< New after each reboot.
  Duration clock{0};    ///< The worker's monotonic clock when it answered.
  int slots = 0;
  int running = 0;
  bool draining = false;
};

/// Request to start one task.
struct TaskStart {
  std::string task_id;
  std::string queue;
  std::string content_type;
  std::string body;
  std::string boot_id;   ///< Boot that `start_by` belongs to; the worker refuses any other.
  Duration start_by{0};  ///< On the worker's clock; the worker refuses to start it later.
  Duration lease{0};     ///< The worker stops the task when it has run this long.
};

/// Why a worker refused to start a task.
enum class WorkerRefusal {
  kNone,
  kDraining,
  kBusy,
  kExpired,  ///< The start-by deadline had passed or the boot id was another one.
};

/// How a task ended.
struct TaskResult {
  Verdict verdict = Verdict::kMayHaveRun;
  WorkerRefusal refusal = WorkerRefusal::kNone;
  int status = 0;  ///< HTTP status of the task's own answer, if completed.
  std::string content_type;
  std::string body;
  Duration worker_clock{0};  ///< The worker's clock when it answered; 0 if unknown.
  std::string reason;        ///< Set unless completed.
};

/// What a worker knows of a task.
enum class TaskState { kUnknown, kRunning, kFinished };

/// Answer to a question about a task, with the worker's clock when it answered.
struct TaskReport {
  TaskState state = TaskState::kUnknown;
  Duration worker_clock{0};
  std::string boot_id;
};

/// Calls to workers. Each callback runs exactly once, from the event loop and never from inside
/// the call itself; an empty optional means that no whole answer arrived.
class WorkerClient {
 public:
  using StatusCallback = std::function<void(
      TimePoint now, const std::optional<WorkerStatus>& status, std::string_view last_reason)>;
  using TaskCallback = std::function<void(TimePoint now, TaskResult result)>;
  using ReportCallback = std::function<void(TimePoint now, const std::optional<TaskReport>& report,
                                            std::string_view last_reason)>;
  using DoneCallback = std::function<void(TimePoint now, bool ok, std::string_view last_reason)>;

  virtual ~WorkerClient() = default;

  virtual void GetStatus(const WorkerAddress& worker, StatusCallback done) = 0;

  /// Starts a task and waits at most `timeout` for its answer. The verdict is kNotRun only if no
  /// byte was written or the worker explicitly refused.
  virtual void Start(const WorkerAddress& worker, const TaskStart& task, Duration timeout,
                     TaskCallback done) = 0;

  /// Asks what the worker knows of a task.
  virtual void GetTask(const WorkerAddress& worker, std::string_view task_id,
                       ReportCallback done) = 0;

  /// Asks the worker to checkpoint and stop a task.
  virtual void Checkpoint(const WorkerAddress& worker, std::string_view task_id,
                          DoneCallback done) = 0;

  /// Asks the worker to take no new tasks (`drain` true) or to take them again.
  virtual void SetDraining(const WorkerAddress& worker, bool drain, DoneCallback done) = 0;

  /// Ends the boot `boot_id` of a worker. The worker refuses while tasks run on it, and if it runs
  /// another boot, so that a delayed request does not reboot it a second time.
  virtual void Reboot(const WorkerAddress& worker, std::string_view boot_id, DoneCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_WORKER_CLIENT_H_
