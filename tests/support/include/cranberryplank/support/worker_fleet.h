#ifndef CRANBERRYPLANK_SUPPORT_WORKER_FLEET_H_
#define CRANBERRYPLANK_SUPPORT_WORKER_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "cranberryplank/support/simulated_worker.h"

namespace cranberryplank {

/// Faults between one worker and its clients. May be changed at any time.
struct WorkerFaults {
  bool unreachable = false;   ///< Connections are refused.
  bool silent = false;        ///< Requests and answers are lost; calls time out.
  Duration request_delay{1};  ///< Time from the call until the worker receives it.
  Duration answer_delay{1};
  int lose_answers = 0;      ///< The next starts get a closed connection instead of an answer.
  int truncate_answers = 0;  ///< The next starts get half an answer.
  int swap_answers = 0;      ///< The next pairs of answers are exchanged between their callers.
};

/// In-memory workers, shared by the clients of several processes.
class WorkerFleet {
 public:
  struct Member {
    explicit Member(std::unique_ptr<SimulatedWorker> w) : worker(std::move(w)) {}

    std::unique_ptr<SimulatedWorker> worker;
    WorkerFaults faults;
    /// Delivers the answer that waits to be swapped; takes the task id of the other answer.
    std::function<void(const std::string& other_id)> swap_waiting;
    std::string swap_waiting_id;
  };

  SimulatedWorker& Add(Scheduler* scheduler, const WorkerAddress& address,
                       const WorkerSettings& settings = {});

  /// The worker must have been added.
  SimulatedWorker& worker(const WorkerAddress& address) { return *m_members.at(address).worker; }
  WorkerFaults& faults(const WorkerAddress& address) { return m_members.at(address).faults; }

  /// Returns nullptr for an unknown address.
  Member* Find(const WorkerAddress& address);

  /// Number of starts of a task on all workers.
  int Starts(std::string_view task_id) const;

  /// Ids of the tasks that were started more than once, on the same or on different workers.
  std::vector<std::string> DuplicateTasks() const;

 private:
  std::map<WorkerAddress, Member> m_members;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_WORKER_FLEET_H_
