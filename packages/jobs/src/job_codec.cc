#include "cranberryplank/jobs/job_codec.h"

#include <nlohmann/json.hpp>

#include "cranberryplank/jobs/message_pack.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr int kFormatLive = 1;
constexpr int kFormatEnded = 2;
/// Fields that are missing in records of earlier versions.
constexpr std::size_t kQueuePathOfLive = 10;
constexpr std::size_t kQueuePathOfEnded = 5;

std::string OptionalText(const json& fields, std::size_t index) {
  return fields.size() > index ? fields.at(index).get<std::string>() : std::string();
}

json ToJson(const StepSpec& step) {
  const int flags = (step.saves_progress ? 1 : 0) | (step.gang ? 2 : 0) | (step.same_rack ? 4 : 0) |
                    (step.speculative ? 8 : 0) | (step.long_running ? 16 : 0) |
                    (step.uses_leftover_cpu ? 32 : 0);
  return json::array({step.count, step.per_task.cpu_millis, step.per_task.memory_mb,
                      step.per_task.gpus, step.estimate_ms, step.after, flags, step.required_label,
                      step.preferred_rack, step.max_per_vm, step.image, step.latency_target_ms,
                      step.max_unavailable});
}

StepSpec StepFromJson(const json& fields) {
  StepSpec step;
  step.count = fields.at(0);
  step.per_task = {fields.at(1), fields.at(2), fields.at(3)};
  step.estimate_ms = fields.at(4);
  step.after = fields.at(5).get<std::vector<int>>();
  const int flags = fields.at(6);
  step.saves_progress = (flags & 1) != 0;
  step.gang = (flags & 2) != 0;
  step.same_rack = (flags & 4) != 0;
  step.speculative = (flags & 8) != 0;
  step.long_running = (flags & 16) != 0;
  step.uses_leftover_cpu = (flags & 32) != 0;
  step.required_label = fields.at(7);
  step.preferred_rack = fields.at(8);
  step.max_per_vm = fields.at(9);
  step.image = fields.at(10);
  step.latency_target_ms = fields.at(11);
  step.max_unavailable = fields.at(12);
  return step;
}

JobSpec SpecFromJson(std::string_view id, const json& fields) {
  JobSpec spec;
  spec.id = id;
  spec.queue = fields.at(1);
  spec.customer = fields.at(2);
  spec.payload = fields.at(3);
  spec.first_due_unix_ms = fields.at(4);
  spec.interval_ms = fields.at(5);
  spec.occurrences = fields.at(6);
  spec.accepted_unix_ms = fields.at(7);
  spec.pool = fields.at(9);
  spec.queue_path = OptionalText(fields, kQueuePathOfLive);
  for (const json& step : fields.at(8)) {
    spec.steps.push_back(StepFromJson(step));
  }
  return spec;
}

/// Encodes run numbers by task.
json ToJson(const std::map<JobProgress::TaskKey, std::set<int>>& runs_of_tasks) {
  json rows = json::array();
  for (const auto& [key, runs] : runs_of_tasks) {
    rows.push_back(json::array({key.first.first, key.first.second, key.second, runs}));
  }
  return rows;
}

std::map<JobProgress::TaskKey, std::set<int>> RunsOfTasks(const json& rows) {
  std::map<JobProgress::TaskKey, std::set<int>> runs_of_tasks;
  for (const json& row : rows) {
    runs_of_tasks[{{row.at(0), row.at(1)}, row.at(2)}] = row.at(3).get<std::set<int>>();
  }
  return runs_of_tasks;
}

json ToJson(const std::map<JobProgress::TaskKey, std::map<int, SuspectStart>>& suspects) {
  json rows = json::array();
  for (const auto& [key, runs] : suspects) {
    for (const auto& [run, start] : runs) {
      const int flags = (start.confirmed ? 1 : 0) | (start.alone ? 2 : 0);
      rows.push_back(json::array({key.first.first, key.first.second, key.second, run, start.worker,
                                  start.vm, start.started_unix_ms, flags}));
    }
  }
  return rows;
}

std::map<JobProgress::TaskKey, std::map<int, SuspectStart>> SuspectsFromJson(const json& rows) {
  std::map<JobProgress::TaskKey, std::map<int, SuspectStart>> suspects;
  for (const json& row : rows) {
    const int flags = row.at(7);
    suspects[{{row.at(0), row.at(1)}, row.at(2)}][row.at(3)] = {row.at(4), row.at(5), row.at(6),
                                                                (flags & 1) != 0, (flags & 2) != 0};
  }
  return suspects;
}

}  // namespace

std::string EncodeJob(const JobSpec& spec) {
  json steps = json::array();
  for (const StepSpec& step : spec.steps) {
    steps.push_back(ToJson(step));
  }
  return ToMessagePack(json::array({kFormatLive, spec.queue, spec.customer, spec.payload,
                                    spec.first_due_unix_ms, spec.interval_ms, spec.occurrences,
                                    spec.accepted_unix_ms, steps, spec.pool, spec.queue_path}));
}

std::string EncodeEndedJob(const EndedJob& job) {
  return ToMessagePack(
      json::array({kFormatEnded, job.queue, job.customer, static_cast<int>(job.state),
                   job.finished_unix_ms, job.queue_path}));
}

std::optional<JobRecord> DecodeJob(std::string_view id, std::string_view value) {
  try {
    const json fields = FromMessagePack(value);
    JobRecord record;
    if (fields.at(0) == kFormatEnded) {
      record.ended = EndedJob{fields.at(1), fields.at(2), static_cast<JobState>(fields.at(3)),
                              fields.at(4), OptionalText(fields, kQueuePathOfEnded)};
      return record;
    }
    record.spec = SpecFromJson(id, fields);
    if (FindSpecError(*record.spec)) {
      return std::nullopt;
    }
    return record;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeProgress(const JobProgress& progress) {
  json done = json::array();
  for (const auto& [key, tasks] : progress.done) {
    done.push_back(json::array({key.first, key.second, tasks}));
  }
  json fields = json::array({static_cast<int>(progress.state), progress.finished_unix_ms,
                             progress.done_occurrences, done, ToJson(progress.failures),
                             ToJson(progress.crashes)});
  if (!progress.suspects.empty() || !progress.unconfirmed_crashes.empty()) {
    fields.push_back(ToJson(progress.suspects));
    fields.push_back(ToJson(progress.unconfirmed_crashes));
  }
  return ToMessagePack(fields);
}

std::optional<JobProgress> DecodeProgress(std::string_view value) {
  try {
    const json fields = FromMessagePack(value);
    JobProgress progress;
    progress.state = static_cast<JobState>(fields.at(0));
    progress.finished_unix_ms = fields.at(1);
    progress.done_occurrences = fields.at(2).get<std::set<int>>();
    for (const json& row : fields.at(3)) {
      progress.done[{row.at(0), row.at(1)}] = row.at(2).get<std::set<int>>();
    }
    progress.failures = RunsOfTasks(fields.at(4));
    constexpr std::size_t kCrashesField = 5;  // Missing in entries of earlier versions.
    if (fields.size() > kCrashesField) {
      progress.crashes = RunsOfTasks(fields.at(kCrashesField));
    }
    constexpr std::size_t kSuspectsField = 6;  // Missing in most entries.
    if (fields.size() > kSuspectsField) {
      progress.suspects = SuspectsFromJson(fields.at(kSuspectsField));
      progress.unconfirmed_crashes = RunsOfTasks(fields.at(kSuspectsField + 1));
    }
    return progress;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace cranberryplank
