#ifndef REVIEW_STANDIN_2_SOAK_STAGE_WORKERS_H_
#define REVIEW_STANDIN_2_SOAK_STAGE_WORKERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/model/time.h"
#include "emulated_store.h"

namespace cranberryplank {

using StageLog = std::function<void(const std::string& text)>;

/// What a task does when it runs, by the step's name without the occurrence.
struct StageTask {
  Duration work{1'000};
  std::string customer;
  std::int64_t cpu_millis = 0;
  std::string ticket;  ///< Needed for a start; empty if the queue has no policy.
  int failures = 0;    ///< That many runs of each task end as failed.
};

/// One run on a worker.
struct StageRun {
  int run = 0;
  TimePoint began{};
};

/// One row of a worker's list of ended runs.
struct StageEnd {
  std::uint64_t number = 0;
  std::string task;
  int run = 0;
  std::string how;
};

/// One worker, as `PROTOCOL.md` describes it.
struct StageWorker {
  std::string id;
  std::string pool;
  std::string kind;
  std::string machine;
  Endpoint endpoint;
  std::unique_ptr<ApiServer> server;
  bool listening = false;
  bool cut = false;   ///< Partitioned from all daemons and the store; it runs on.
  bool dark = false;  ///< Crashed without a sign.
  std::int64_t born_unix_ms = 0;
  TimePoint started{};
  std::uint64_t fence = 0;
  std::int64_t deadline_ms = 0;
  std::uint64_t last_end = 0;
  std::map<std::string, StageRun> running;
  std::map<std::string, int> highest_ended;
  std::vector<StageEnd> ended;
  TimePoint next_beat{};
  int beats = 0;
  bool listed = false;  ///< Its registration is in the store.
};

/// Serves the workers on loopback and keeps a record of what runs on them.
class StageWorkers {
 public:
  StageWorkers(event_base* base, EmulatedStore* store, StageLog log);

  StageWorker* Add(const std::string& id, const std::string& pool, const std::string& kind,
                   const std::string& machine = {});
  /// Returns whether every worker could bind its address.
  bool AllListen() const;
  StageWorker* Find(const std::string& id) { return m_workers.at(id).get(); }
  /// Sets what the tasks of a step do, by JOB.STEP.
  void SetTask(const std::string& step, const StageTask& task) { m_tasks[step] = task; }
  /// Called with the id of a worker that has been silent for three heartbeats.
  void OnSilent(std::function<void(const std::string& id)> silent) { m_silent = std::move(silent); }
  /// Ends everything on the worker at once. It does not answer any more.
  void Crash(StageWorker* worker);
  /// The worker ends and starts again behind a cut, under the same id and at the same address. It
  /// knows nothing of before.
  void RestartBehindCut(StageWorker* worker);
  void Tick(TimePoint now);

  /// Names of the workers on which the task runs now.
  std::vector<std::string> WorkersOf(const std::string& task) const;
  /// Returns whether a task of the job has ever begun.
  bool HasBegun(const std::string& job) const { return m_begun.contains(job); }
  /// What the customer has running now, on all workers that are up.
  std::int64_t RunningCpu(const std::string& customer) const;
  /// Returns how many runs of the task have ended as failed.
  int FailedRuns(const std::string& task) const {
    const auto found = m_failed.find(task);
    return found == m_failed.end() ? 0 : found->second;
  }
  int refused_starts() const { return m_refused_starts; }

 private:
  using Exchange = std::shared_ptr<ApiExchange>;
  struct WaitingHold {
    Exchange exchange;
    std::string worker;
    TimePoint until{};
  };

  void Handle(StageWorker* worker, const Exchange& exchange);
  ApiResponse Start(StageWorker* worker, const std::string& body);
  ApiResponse Stop(StageWorker* worker, const std::string& body);
  void Hold(StageWorker* worker, const Exchange& exchange);
  ApiResponse Lists(const StageWorker& worker) const;
  static ApiResponse Answer(const StageWorker& worker, int status, const std::string& reason);
  static std::int64_t ClockMs(const StageWorker& worker);
  void End(StageWorker* worker, const std::string& task, const std::string& how);
  void Beat(StageWorker* worker);
  void Serve(StageWorker* worker);
  const StageTask& TaskOf(const std::string& task) const;

  event_base* m_base;
  EmulatedStore* m_store;
  StageLog m_log;
  std::function<void(const std::string& id)> m_silent;
  std::map<std::string, std::unique_ptr<StageWorker>> m_workers;
  std::map<std::string, StageTask> m_tasks;
  std::set<std::string> m_begun;
  std::map<std::string, int> m_failed;  ///< Runs that ended as failed, by task.
  std::vector<WaitingHold> m_holds;
  std::vector<Exchange> m_unanswered;
  int m_refused_starts = 0;
};

/// Returns a loopback port that is free now, below those that the system gives to connections.
std::uint16_t FreeLoopbackPort();

}  // namespace cranberryplank

#endif  // REVIEW_STANDIN_2_SOAK_STAGE_WORKERS_H_
