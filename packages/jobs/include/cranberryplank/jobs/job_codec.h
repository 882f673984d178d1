#ifndef CRANBERRYPLANK_JOBS_JOB_CODEC_H_
#define CRANBERRYPLANK_JOBS_JOB_CODEC_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "cranberryplank/jobs/job.h"

namespace cranberryplank {

/// A start after which the worker fell silent, so that the task may have crashed it.
struct SuspectStart {
  std::string worker;
  std::string vm;                    ///< Empty if the worker reports none.
  std::int64_t started_unix_ms = 0;  ///< Start of the worker's incarnation.
  bool confirmed = false;  ///< The worker replied to the start. Otherwise it may never have run.
  bool alone = false;      ///< No other run had begun on the worker shortly before.

  friend bool operator==(const SuspectStart& left, const SuspectStart& right) = default;
};

/// Stored progress of a job. It lets a new owner continue without repeating a task whose end was
/// acknowledged.
struct JobProgress {
  using StepKey = std::pair<int, int>;  ///< Occurrence and step.
  using TaskKey = std::pair<StepKey, int>;

  JobState state = JobState::kQueued;
  std::int64_t finished_unix_ms = 0;      ///< 0 while the job is not final.
  std::set<int> done_occurrences;         ///< Occurrences with all tasks done.
  std::map<StepKey, std::set<int>> done;  ///< Done tasks of the other occurrences.
  /// Failed runs of tasks that are not done. They are stored as run numbers instead of a count,
  /// because a new owner receives again the ended runs that were stored but not acknowledged, and
  /// must not count them twice.
  std::map<TaskKey, std::set<int>> failures;
  /// Runs of tasks that are not done whose worker crashed soon after their start.
  std::map<TaskKey, std::set<int>> crashes;
  /// The same for runs whose start the worker did not reply to.
  std::map<TaskKey, std::set<int>> unconfirmed_crashes;
  /// Runs of tasks that are not done whose worker has not been heard of since their start, by run.
  /// A later start of the worker proves that it crashed.
  std::map<TaskKey, std::map<int, SuspectStart>> suspects;
};

/// Minimal record of a job that has ended; it replaces the spec.
struct EndedJob {
  std::string queue;
  std::string customer;
  JobState state = JobState::kDone;
  std::int64_t finished_unix_ms = 0;
  std::string queue_path = {};  ///< As in `JobSpec`.
};

/// Encodes records for the store. The encoding is MessagePack with numbered fields.
std::string EncodeJob(const JobSpec& spec);
std::string EncodeProgress(const JobProgress& progress);
std::string EncodeEndedJob(const EndedJob& job);

/// A decoded job record: exactly one of the two fields is set.
struct JobRecord {
  std::optional<JobSpec> spec;
  std::optional<EndedJob> ended;
};

/// @return nothing if the value can not be decoded
std::optional<JobRecord> DecodeJob(std::string_view id, std::string_view value);
std::optional<JobProgress> DecodeProgress(std::string_view value);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_JOBS_JOB_CODEC_H_
