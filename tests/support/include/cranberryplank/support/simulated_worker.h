#ifndef CRANBERRYPLANK_SUPPORT_SIMULATED_WORKER_H_
#define CRANBERRYPLANK_SUPPORT_SIMULATED_WORKER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/support/simulated_process.h"

namespace cranberryplank {

/// Settings of a simulated worker.
struct WorkerSettings {
  int slots = 8;
  Duration reboot_time{2'000};    ///< Time for which a reboot makes it unreachable.
  Duration clock_at_boot{1'000};  ///< Value of the worker's clock at boot.
};

/// Answer of a task.
struct TaskAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

/// Statuses of tasks that the worker ended.
inline constexpr int kTaskBadBody = 400;
inline constexpr int kTaskFailed = 500;
inline constexpr int kTaskCheckpointed = 503;
inline constexpr int kTaskLeaseExpired = 504;

/// Entry of a worker's task log, which survives reboots. `starts` above 1 means a duplicate run.
struct LoggedTask {
  std::string queue;
  std::string reply;  ///< Reply requested in the body, which may identify the request.
  int starts = 0;
  int completions = 0;  ///< Runs that ended with the requested reply.
};

/// Simulates a worker with slots, start-by deadline, boot id, lease, draining and reboot. The body
/// of a task is JSON `{"run_ms": N, "reply": "TEXT"}`.
class SimulatedWorker {
 public:
  /// `answer` is empty if the worker crashed while the task ran.
  using EndCallback = std::function<void(TimePoint now, const std::optional<TaskAnswer>& answer)>;

  /// @param name prefix of the boot ids
  SimulatedWorker(Scheduler* scheduler, std::string name, WorkerSettings settings);

  /// Scheduler for the handling of requests, so that nothing is handled while the worker is paused.
  SimulatedProcess& process() { return m_process; }

  /// False while the worker reboots.
  bool Reachable() const { return m_process.Now() >= m_reachable_at; }

  WorkerStatus Status() const;
  Duration WorkerClock() const;

  /// Starts a task unless it is refused. If the result is kNone, `ended` is called exactly once,
  /// never from inside the call.
  WorkerRefusal Start(const TaskStart& task, EndCallback ended);

  /// Returns the state of a task of the current boot; tasks of earlier boots are unknown.
  TaskState GetTask(std::string_view task_id) const;

  /// Stops a task. @return false if it is not running.
  bool Checkpoint(std::string_view task_id);

  void SetDraining(bool draining) { m_draining = draining; }

  /// Reboots and ends draining. @return false, without effect, if a task is running or `boot_id` is
  /// not that of the current boot.
  bool Reboot(std::string_view boot_id);

  /// Ends all tasks without an answer and reboots.
  void Crash();

  /// Makes every new task fail immediately.
  void SetFailAll(bool fail_all) { m_fail_all = fail_all; }

  const std::map<std::string, LoggedTask, std::less<>>& log() const { return m_log; }

  /// Maximum number of concurrent tasks so far.
  int max_running() const { return m_max_running; }

 private:
  struct Run {
    std::uint64_t number = 0;
    EndCallback ended;
  };

  std::string BootId() const;
  void End(const std::string& task_id, std::uint64_t number, const TaskAnswer& answer);
  void StartNewBoot();

  std::string m_name;
  WorkerSettings m_settings;
  SimulatedProcess m_process;
  int m_boots = 1;
  TimePoint m_booted_at;
  TimePoint m_reachable_at;
  bool m_draining = false;
  bool m_fail_all = false;
  std::uint64_t m_last_run = 0;
  int m_max_running = 0;
  std::multimap<std::string, Run, std::less<>> m_running;
  std::map<std::string, LoggedTask, std::less<>> m_log;
  std::map<std::string, int, std::less<>> m_finished;  ///< Finished runs of this boot by task id.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_SIMULATED_WORKER_H_
