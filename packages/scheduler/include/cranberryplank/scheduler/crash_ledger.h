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
  bool confirmed = false;  ///< The worker replied to the start. Otherwise it may never have run.
  bool alone = false;      ///< No other run had begun on the worker shortly before.
  std::string worker;
};

/// Finds out whether a worker that fell silent has crashed or is only unreachable. A later start of
/// a worker on the same VM, or under the same id, proves a crash. A reply of the same incarnation
/// disproves it.
class CrashLedger {
 public:
  /// Records that a run was lost because its worker fell silent.
  void AddLostRun(TimePoint now, const WorkerInfo& worker, SuspectRun run);
  /// Records the start time of a worker's incarnation.
  void AddStart(const WorkerInfo& worker);
  /// Removes and returns the lost runs of the incarnation that replied.
  std::vector<SuspectRun> TakeDisproved(const WorkerInfo& worker);
  /// Removes and returns the lost runs whose worker has certainly ended.
  std::vector<SuspectRun> TakeProved();
  /// Forgets the lost runs of a worker whose VM was taken down as planned.
  void Forget(const std::string& worker);
  /// Forgets lost runs whose worker has not been heard of for long.
  void Expire(TimePoint now);

 private:
  struct Entry {
    WorkerInfo worker;
    TimePoint since{};
    SuspectRun run;
  };

  std::vector<Entry> m_entries;
  /// Newest start in Unix milliseconds, by VM, or by worker if it reports no VM.
  std::map<std::string, std::int64_t> m_newest_start;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_CRASH_LEDGER_H_
