#ifndef CRANBERRYPLANK_SUPPORT_MEMORY_WORKERS_H_
#define CRANBERRYPLANK_SUPPORT_MEMORY_WORKERS_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/support/event_queue.h"
#include "cranberryplank/support/worker_fleet.h"

namespace cranberryplank {

/// Client of in-memory workers, driven by a simulated clock. Each process has its own client;
/// several clients may share a WorkerFleet.
class MemoryWorkers : public WorkerClient {
 public:
  explicit MemoryWorkers(EventQueue* queue);

  /// @param network delivers requests and answers, including those of a paused process
  /// @param process runs the callbacks
  MemoryWorkers(Scheduler* network, Scheduler* process, std::shared_ptr<WorkerFleet> fleet);

  void GetStatus(const WorkerAddress& worker, StatusCallback done) override;
  void Start(const WorkerAddress& worker, const TaskStart& task, Duration timeout,
             TaskCallback done) override;
  void GetTask(const WorkerAddress& worker, std::string_view task_id, ReportCallback done) override;
  void Checkpoint(const WorkerAddress& worker, std::string_view task_id,
                  DoneCallback done) override;
  void SetDraining(const WorkerAddress& worker, bool drain, DoneCallback done) override;
  void Reboot(const WorkerAddress& worker, std::string_view boot_id, DoneCallback done) override;

  /// Partitions this client from one worker, so that calls time out and have no effect.
  void SetCut(const WorkerAddress& worker, bool cut) {
    cut ? void(m_cut.insert(worker)) : void(m_cut.erase(worker));
  }

  const std::shared_ptr<WorkerFleet>& fleet() { return m_fleet; }

 private:
  struct StartCall;

  /// Runs `handle` on the worker, which returns a reason if the worker refuses, and calls `done`
  /// exactly once.
  void ShortCall(const WorkerAddress& address, std::function<std::string(SimulatedWorker&)> handle,
                 DoneCallback done);

  Scheduler* m_network;
  Scheduler* m_process;
  std::shared_ptr<WorkerFleet> m_fleet;
  std::set<WorkerAddress> m_cut;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_MEMORY_WORKERS_H_
