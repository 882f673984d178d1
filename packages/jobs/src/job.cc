#include "cranberryplank/jobs/job.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <limits>

#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

constexpr int kMaxSteps = 1'000;
constexpr int kMaxTasksPerStep = 100'000;
/// Over all steps. Bounds the memory that one job takes at the owner.
constexpr std::int64_t kMaxTasks = 100'000;
constexpr std::size_t kMaxPayloadBytes = 4'000;

std::optional<std::string> FindStepError(const StepSpec& step, int number) {
  if (step.count < 1 || step.count > kMaxTasksPerStep) {
    return fmt::format("step {} has an invalid number of tasks: {}", number, step.count);
  }
  const Resources& need = step.per_task;
  if (need.cpu_millis < 0 || need.memory_mb < 0 || need.gpus < 0 || step.estimate_ms < 0) {
    return fmt::format("step {} has a negative resource request or estimate", number);
  }
  for (const int earlier : step.after) {
    if (earlier < 0 || earlier >= number) {
      return fmt::format("step {} depends on step {}, which is not an earlier one", number,
                         earlier);
    }
  }
  return std::nullopt;
}

}  // namespace

Resources& Resources::operator+=(const Resources& other) {
  cpu_millis += other.cpu_millis;
  memory_mb += other.memory_mb;
  gpus += other.gpus;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millis -= other.cpu_millis;
  memory_mb -= other.memory_mb;
  gpus -= other.gpus;
  return *this;
}

bool Resources::FitsIn(const Resources& room) const {
  return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb && gpus <= room.gpus;
}

Resources StepSpec::Footprint() const {
  Resources footprint = per_task;
  if (uses_leftover_cpu) {
    footprint.cpu_millis = 0;
  }
  return footprint;
}

std::int64_t JobSpec::DueUnixMs(int occurrence) const {
  std::int64_t offset = 0;
  std::int64_t due = 0;
  if (__builtin_mul_overflow(interval_ms, occurrence, &offset) ||
      __builtin_add_overflow(first_due_unix_ms, offset, &due)) {
    return std::numeric_limits<std::int64_t>::max();
  }
  return std::max<std::int64_t>(due, 0);
}

std::int64_t JobSpec::TaskCount() const {
  std::int64_t count = 0;
  for (const StepSpec& step : steps) {
    count += step.count;
  }
  return count;
}

std::int64_t JobSpec::ChainEstimateMs() const {
  std::vector<std::int64_t> end(steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    std::int64_t start = 0;
    for (const int earlier : steps[i].after) {
      start = std::max(start, end[static_cast<std::size_t>(earlier)]);
    }
    end[i] = start + steps[i].estimate_ms;
    longest = std::max(longest, end[i]);
  }
  return longest;
}

double JobSpec::WorkEstimate() const {
  double work = 0;
  for (const StepSpec& step : steps) {
    work += static_cast<double>(step.count) * static_cast<double>(step.estimate_ms) *
            static_cast<double>(step.per_task.cpu_millis);
  }
  return work;
}

std::optional<std::string> FindSpecError(const JobSpec& spec) {
  if (spec.steps.empty() || spec.steps.size() > kMaxSteps) {
    return fmt::format("the job has an invalid number of steps: {}", spec.steps.size());
  }
  if (spec.payload.size() > kMaxPayloadBytes) {
    return fmt::format("the payload is too long: {} bytes", spec.payload.size());
  }
  if (spec.occurrences < 0 || spec.interval_ms < 0) {
    return "the occurrences and the interval must not be negative";
  }
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    if (auto error = FindStepError(spec.steps[i], static_cast<int>(i))) {
      return error;
    }
  }
  if (spec.TaskCount() > kMaxTasks) {
    return fmt::format("the job has too many tasks: {}", spec.TaskCount());
  }
  return std::nullopt;
}

std::string_view ToString(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kRunning:
      return "running";
    case JobState::kDone:
      return "done";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool IsFinal(JobState state) {
  return state == JobState::kDone || state == JobState::kFailed || state == JobState::kCancelled;
}

std::string TaskId::Name() const {
  return fmt::format("{}.{}.{}.{}", job, occurrence, step, index);
}

std::string TaskId::StepName() const { return fmt::format("{}.{}.{}", job, occurrence, step); }

std::optional<TaskId> TaskId::Parse(std::string_view name) {
  TaskId id;
  std::array<int*, 3> numbers{&id.index, &id.step, &id.occurrence};
  for (int* number : numbers) {
    const std::size_t dot = name.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const auto value = ParseNumber<int>(name.substr(dot + 1));
    if (!value || *value < 0) {
      return std::nullopt;
    }
    *number = *value;
    name = name.substr(0, dot);
  }
  if (name.empty()) {
    return std::nullopt;
  }
  id.job = name;
  return id;
}

}  // namespace cranberryplank
