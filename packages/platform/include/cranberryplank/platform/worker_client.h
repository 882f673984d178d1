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

/// Status that a worker reports.
struct WorkerStatus {
  std::string boot_id;  ///< Changes with each reboot.
  Duration clock{0};    ///< The worker's monotonic clock at the time of the answer.
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
  std::string boot_id;   ///< Boot to which `start_by` refers; the worker rejects any other.
  Duration start_by{0};  ///< Deadline on the worker's clock; a later start is refused.
  Duration lease{0};     ///< Run time after which the worker stops the task.
};

/// Reason for which a worker refused to start a task.
enum class WorkerRefusal {
  kNone,
  kDraining,
  kBusy,
  kExpired,  ///< The start-by deadline had passed or the boot id did not match.
};

/// Result of a task.
struct TaskResult {
  Verdict verdict = Verdict::kMayHaveRun;
  WorkerRefusal refusal = WorkerRefusal::kNone;
  int status = 0;  ///< HTTP status of the task's own answer, if completed.
  std::string content_type;
  std::string body;
  Duration worker_clock{0};  ///< The worker's clock at the time of the answer; 0 if unknown.
  std::string reason;        ///< Set unless completed.
};

/// State of a task on a worker.
enum class TaskState { kUnknown, kRunning, kFinished };

/// A worker's report on a task, with the worker's clock at the time of the answer.
struct TaskReport {
  TaskState state = TaskState::kUnknown;
  Duration worker_clock{0};
  std::string boot_id;
};

/// Interface for calls to workers. Each callback runs exactly once, from the event loop and never
/// from within the call; an empty optional means that no complete answer was received.
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
  /// byte was written or the worker explicitly refused the task.
  virtual void Start(const WorkerAddress& worker, const TaskStart& task, Duration timeout,
                     TaskCallback done) = 0;

  /// Requests the state of a task on the worker.
  virtual void GetTask(const WorkerAddress& worker, std::string_view task_id,
                       ReportCallback done) = 0;

  /// Requests that the worker checkpoints and stops a task.
  virtual void Checkpoint(const WorkerAddress& worker, std::string_view task_id,
                          DoneCallback done) = 0;

  /// Requests that the worker accepts no new tasks (`drain` true) or accepts them again.
  virtual void SetDraining(const WorkerAddress& worker, bool drain, DoneCallback done) = 0;

  /// Reboots a worker whose current boot is `boot_id`. The worker refuses while tasks run on it and
  /// if its boot id differs, so that a delayed request does not reboot it a second time.
  virtual void Reboot(const WorkerAddress& worker, std::string_view boot_id, DoneCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_WORKER_CLIENT_H_
