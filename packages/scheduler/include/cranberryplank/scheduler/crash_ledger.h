#ifndef CRANBERRYPLANK_SCHEDULER_CRASH_LEDGER_H_
#define CRANBERRYPLANK_SCHEDULER_CRASH_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cranberryplank/scheduler/job_table.h"
#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

/// A run that had begun shortly before its worker fell silent.
struct SuspectRun {
  JobPointer job;  ///< Keeps the job of `task` alive.
  TaskRef task;
  int run = 0;
  SuspectStart start;
};

/// Finds out whether a worker that fell silent has crashed or is only unreachable. A later start of
/// a worker on the same VM, or under the same id, proves a crash. A reply of the same incarnation
/// disproves it.
class CrashLedger {
 public:
  /// Records a run whose worker fell silent soon after its start. An earlier record of the run is
  /// replaced.
  void Add(TimePoint now, SuspectRun run);
  /// Records the start time of a worker's incarnation.
  void AddStart(const WorkerInfo& worker);
  /// Removes and returns the runs of this incarnation of the worker.
  std::vector<SuspectRun> TakeOfIncarnation(const WorkerInfo& worker);
  /// Removes and returns the runs of all incarnations of the worker.
  std::vector<SuspectRun> TakeOfWorker(const std::string& worker);
  /// Removes and returns the runs of the task.
  std::vector<SuspectRun> TakeOfTask(const TaskRef& task);
  /// Removes and returns one run of the task, if it is recorded.
  std::vector<SuspectRun> TakeRun(const TaskRef& task, int run);
  /// Removes and returns the runs whose worker has certainly ended.
  std::vector<SuspectRun> TakeProved();
  /// Removes and returns the runs whose worker has not been heard of for long.
  std::vector<SuspectRun> TakeExpired(TimePoint now);

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    TimePoint since{};
    SuspectRun run;
  };

  /// Removes and returns the runs of the entries for which `matches` returns true.
  template <typename Predicate>
  std::vector<SuspectRun> Take(Predicate matches);

  std::vector<Entry> m_entries;
  /// Newest start in Unix milliseconds, by VM, or by worker if it reports no VM.
  std::map<std::string, std::int64_t> m_newest_start;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_CRASH_LEDGER_H_
