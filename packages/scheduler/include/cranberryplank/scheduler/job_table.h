#ifndef CRANBERRYPLANK_SCHEDULER_JOB_TABLE_H_
#define CRANBERRYPLANK_SCHEDULER_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cranberryplank/jobs/job.h"
#include "cranberryplank/jobs/job_codec.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/scheduler/cluster_config.h"

namespace cranberryplank {

/// Time for which a suspect task waits for its step's other suspect tasks and for the workers that
/// are usually kept for such tasks. Then another worker is kept. It is longer than the proof that a
/// crash needs.
constexpr Duration kTrialWait{5'000};
/// The same for a long-running task, whose absence is noticed sooner.
constexpr Duration kLongRunningTrialWait{500};

/// One task of an occurrence of a job.
struct JobTaskState {
  bool done = false;
  int placed = 0;             ///< Runs that are, or may be, on a worker.
  int last_run = 0;           ///< Highest run number used or reported.
  std::set<int> failed_runs;  ///< Runs that ended as failed.
  std::string saved;          ///< Newest saved progress; empty if there is none.
  std::string failed_worker;  ///< Worker of the last run that failed.
  TimePoint retry_at{};       ///< The task is not started before this time.
  TimePoint lost_at{};        ///< When a run of it was last lost with a restart of its worker.
  bool ready = false;         ///< For a long-running task, whether its start-up is complete.
  /// Runs whose worker crashed soon after their start. Emptied once a run outlives that time.
  std::set<int> crashed_runs;
  std::set<int> unconfirmed_runs;  ///< The same, but the worker did not reply to the start.
  bool worker_lost = false;  ///< Its worker fell silent soon after its start and may have crashed.
  TimePoint trial_until{};   ///< While suspect, it waits until then for a worker that is kept.

  /// Returns whether the task may be what crashes the workers that start it.
  bool suspect() const { return worker_lost || !crashed_runs.empty() || !unconfirmed_runs.empty(); }
};

/// One step of an occurrence.
struct StepState {
  std::vector<JobTaskState> tasks;
  int done = 0;
  int placed = 0;  ///< Tasks with at least one run placed.
  /// When a task of it first waited for the rack of its data although others had room.
  std::optional<TimePoint> waits_for_rack_since;

  int waiting() const { return static_cast<int>(tasks.size()) - done - placed; }
};

/// One occurrence of a job that has become due.
struct OccurrenceState {
  std::vector<StepState> steps;
  std::int64_t due_unix_ms = 0;
  TimePoint due{};

  bool AllDone() const;
};

/// A job and the state of its tasks.
struct Job {
  std::uint64_t serial = 0;  ///< Order in which this process added the job.
  JobSpec spec;
  JobState state = JobState::kQueued;
  JobState stored_state = JobState::kQueued;  ///< The stored state, which is reported to callers.
  std::map<int, OccurrenceState> open;        ///< Due and not finished.
  std::set<int> done_occurrences;
  std::size_t stored_done = 0;  ///< Number of done occurrences that the store has.
  int next_occurrence = 0;
  TimePoint accepted{};
  std::int64_t finished_unix_ms = 0;
  bool loaded_from_store = false;  ///< An earlier owner may have started tasks.
  bool stored = false;             ///< The record is in the store.
  bool progress_stored = false;    ///< The store may have an own entry of the job's progress.
  bool ended_record = false;       ///< The record has been replaced by that of an ended job.
  bool outdated = false;           ///< Ended so long ago that its record is to be removed.
  bool started = false;            ///< A worker is known to have begun a task.
  bool over_share = false;  ///< Exceeded its customer's guaranteed jobs per second on arrival.
  int placed_runs = 0;
  std::size_t memory = 0;  ///< What the table counts for the job, in bytes.
  /// Runs whose worker fell silent soon after their start, by task and run. Kept here and not with
  /// the tasks, because few jobs have any.
  std::map<JobProgress::TaskKey, std::map<int, SuspectStart>> suspects;
  std::uint64_t change = 0;        ///< Number of the newest change that is not stored; 0 if none.
  std::uint64_t first_change = 0;  ///< Lower bound of the changes that are not stored.
  TimePoint changed_at{};          ///< When the oldest change that is not stored was made.
  bool being_stored = false;       ///< Its changes are in a transaction that is under way.
  const QueueConfig* queue = nullptr;  ///< Cached by the scheduler.
  std::vector<std::function<void(bool stored)>> on_stored;

  bool StepReady(const OccurrenceState& occurrence, std::size_t step) const;
  JobProgress Progress() const;
  /// Returns whether the store has the change with this number.
  bool HasStored(std::uint64_t number) const { return first_change == 0 || number < first_change; }
};

using JobPointer = std::shared_ptr<Job>;

/// Identifies one task inside the process.
struct TaskRef {
  Job* job = nullptr;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  TaskId Id() const { return {job->spec.id, occurrence, step, index}; }
  JobProgress::TaskKey Key() const { return {{occurrence, step}, index}; }
  const StepSpec& spec() const { return job->spec.steps[static_cast<std::size_t>(step)]; }
  /// Returns the state, or nullptr if the occurrence is not open.
  JobTaskState* state() const;
  StepState* step_state() const;

  friend bool operator==(const TaskRef& left, const TaskRef& right) = default;
  /// Orders by the jobs' serial numbers instead of addresses, so that test runs are reproducible.
  friend bool operator<(const TaskRef& left, const TaskRef& right) {
    return std::tuple(left.job->serial, left.occurrence, left.step, left.index) <
           std::tuple(right.job->serial, right.occurrence, right.step, right.index);
  }
};

/// Estimates the memory of a job, in bytes, from what its submitter chose.
/// @param occurrences number of open occurrences
std::size_t MemoryOf(const JobSpec& spec, std::size_t occurrences);

/// Returns the number of occurrences of a job that may be open at the same time, at least 1. It
/// follows from the job alone, so that it is the same for each owner.
std::size_t MostOpenOccurrences(const JobSpec& spec);

/// All jobs known to the owner of the schedule, with the order in which changes must be stored.
class JobTable {
 public:
  /// Limits the memory of all jobs, in bytes. Jobs that were accepted stay beyond it.
  void SetMemoryLimit(std::size_t bytes) { m_memory_limit = bytes; }
  /// Returns the estimated memory of all jobs, in bytes.
  std::size_t memory() const { return m_memory; }
  /// Returns whether a job can be added within the limit of the memory. The upper quarter of it is
  /// for customers whose own jobs take little, so that one customer cannot shut the others out.
  bool HasRoomFor(const JobSpec& spec) const;
  /// Adds a job that was just submitted; its record is to be stored.
  Job* Add(TimePoint now, JobSpec spec);
  /// Adds a job from the store.
  Job* Load(TimePoint now, std::int64_t now_unix_ms, const std::string& id, const JobRecord& record,
            const JobProgress& progress);
  Job* Find(std::string_view id) const;
  void Remove(std::string_view id);

  /// Returns the task with the given name, or a reference without a job if there is none.
  TaskRef Resolve(std::string_view name) const;

  /// Opens the occurrences that are due.
  /// @return whether any was opened
  bool OpenDue(TimePoint now, std::int64_t now_unix_ms);

  /// Marks a task as done, and also its occurrence and job if all their tasks are done.
  void MarkDone(TimePoint now, const TaskRef& task, std::int64_t now_unix_ms);
  void SetState(TimePoint now, Job* job, JobState state, std::int64_t now_unix_ms);
  /// Frees the payload of a job whose end is stored; nothing of it starts any more.
  void ReleasePayload(Job* job);
  /// Records that the job has a change to store. @return the number of the change
  std::uint64_t MarkChanged(TimePoint now, Job* job);

  /// Jobs with changes to store, oldest change first.
  const std::set<std::pair<std::uint64_t, Job*>>& changed() const { return m_changed; }
  /// Records that the changes of `job` up to number `change`, as they were at `built`, are stored.
  /// @param done_occurrences number of done occurrences at that time
  void MarkStored(TimePoint built, Job* job, std::uint64_t change, std::size_t done_occurrences);

  const std::unordered_map<std::string, JobPointer>& jobs() const { return m_jobs; }
  /// Jobs that are not final, by id.
  const std::map<std::string, Job*, std::less<>>& active() const { return m_active; }

 private:
  void Open(Job* job, int occurrence, TimePoint now, std::int64_t now_unix_ms);
  /// Opens the due occurrences of a timed job, in order, as far as their number is allowed. A new
  /// owner opens at least those that an earlier one has opened: what allows one more is stored.
  /// @return whether any was opened
  bool OpenDueOf(Job* job, TimePoint now, std::int64_t now_unix_ms);
  /// Updates the memory that is counted for a job: that of all occurrences that may become open.
  void Count(Job* job);
  void SetMemory(Job* job, std::size_t bytes);

  std::unordered_map<std::string, JobPointer> m_jobs;
  std::map<std::string, Job*, std::less<>> m_active;
  std::set<std::pair<std::uint64_t, Job*>> m_changed;
  std::uint64_t m_last_change = 0;
  std::uint64_t m_last_serial = 0;
  std::size_t m_memory = 0;  ///< Sum over all jobs.
  std::unordered_map<std::string, std::size_t> m_memory_by_customer;
  std::size_t m_memory_limit = std::numeric_limits<std::size_t>::max();
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_JOB_TABLE_H_
