#ifndef CRANBERRYPLANK_JOBS_JOB_H_
#define CRANBERRYPLANK_JOBS_JOB_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryplank {

/// An amount of each resource that a worker offers and a task requests.
struct Resources {
  std::int64_t cpu_millis = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  friend Resources operator+(Resources left, const Resources& right) { return left += right; }
  friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
  bool operator==(const Resources&) const = default;

  /// Returns whether every amount is at most that of `room`.
  bool FitsIn(const Resources& room) const;
};

/// One step of a job: a number of identical tasks.
struct StepSpec {
  int count = 0;
  Resources per_task;
  std::int64_t estimate_ms = 0;  ///< The submitter's rough estimate of a task's duration.
  std::vector<int> after;        ///< Steps whose tasks must all be done first.
  bool saves_progress = false;
  bool gang = false;         ///< Tasks make progress only while all tasks of the step run together.
  bool same_rack = false;    ///< Tasks are slower when they span racks.
  bool speculative = false;  ///< Copies of a task may run at the same time.
  bool long_running = false;       ///< Tasks run until the job is cancelled.
  bool uses_leftover_cpu = false;  ///< The CPU request is not counted against capacity.
  std::string required_label;
  std::string preferred_rack;  ///< Rack that holds the data; tasks run slower on others.
  int max_per_vm = 0;          ///< Maximum number of tasks of the step on one VM; 0 means no limit.
  std::string image;
  /// Target for the tail latency of the requests that a task serves; 0 means none.
  std::int64_t latency_target_ms = 0;
  /// Maximum number of the step's tasks that the system may stop at the same time.
  int max_unavailable = 0;

  /// Returns the part of a worker's capacity that one task uses.
  Resources Footprint() const;
};

/// A job as it was submitted.
struct JobSpec {
  std::string id;
  std::string queue;  ///< Name of the queue at acceptance, for logs; operators may change it.
  /// Host and path prefix at which the job was submitted, which identify its queue. Empty in
  /// records of earlier versions.
  std::string queue_path;
  std::string pool;      ///< Pool of the queue at acceptance.
  std::string customer;  ///< Empty if the queue is open to all and the request had no key.
  std::string payload;   ///< Opaque bytes passed to every run of a task.
  std::vector<StepSpec> steps;
  std::int64_t first_due_unix_ms = 0;
  std::int64_t interval_ms = 0;
  int occurrences = 0;  ///< 0 for a job that runs once, immediately.
  std::int64_t accepted_unix_ms = 0;

  /// Returns what identifies the job's queue: its path, or its name if the path is not known.
  const std::string& queue_id() const { return queue_path.empty() ? queue : queue_path; }
  bool timed() const { return occurrences > 0; }
  int occurrence_count() const { return occurrences > 0 ? occurrences : 1; }

  /// Returns when an occurrence of a timed job is due, in milliseconds since 1970; the largest
  /// value if that does not fit.
  std::int64_t DueUnixMs(int occurrence) const;
  /// Returns the number of tasks of one occurrence.
  std::int64_t TaskCount() const;
  /// Returns the length of the longest chain of dependent steps by the submitter's estimates, in
  /// milliseconds.
  std::int64_t ChainEstimateMs() const;
  /// Returns the estimated CPU time of one occurrence, in millicore-milliseconds.
  double WorkEstimate() const;
};

/// Validates a submitted job.
/// @return the reason why the job can not be accepted; nothing if it is valid
std::optional<std::string> FindSpecError(const JobSpec& spec);

/// State of a job as reported to its submitter.
enum class JobState { kQueued, kRunning, kDone, kFailed, kCancelled };

std::string_view ToString(JobState state);

/// Returns whether the state is terminal: no further task will start.
bool IsFinal(JobState state);

/// Identifies one task of one job.
struct TaskId {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  /// Returns the form JOB.OCCURRENCE.STEP.INDEX.
  std::string Name() const;
  /// Returns the form JOB.OCCURRENCE.STEP.
  std::string StepName() const;
  /// Parses a name; returns nothing if it does not have that form.
  static std::optional<TaskId> Parse(std::string_view name);

  auto operator<=>(const TaskId&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_JOBS_JOB_H_
