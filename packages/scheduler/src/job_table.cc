#include "cranberryplank/scheduler/job_table.h"

#include <algorithm>
#include <utility>

namespace cranberryplank {

namespace {

/// Memory of a job without its payload, steps and tasks: the record, its entries in the tables, and
/// allocations for its lists.
constexpr std::size_t kJobBytes = sizeof(Job) + 512;
/// Most occurrences of one job that are open at the same time, and most tasks of them if there are
/// several. Further ones wait until one ends.
constexpr std::size_t kMaxOpenOccurrences = 64;
constexpr std::size_t kMaxOpenTasks = 10'000;
/// The upper part of the limit, which is for customers whose jobs take little.
constexpr std::size_t kReservedDivisor = 4;
/// A customer whose jobs take less than this part of the limit may use the upper part.
constexpr std::size_t kSmallCustomerDivisor = 16;

/// Returns the state of a task that is named in stored progress, or nullptr if there is none.
JobTaskState* TaskAt(Job* job, const JobProgress::TaskKey& key) {
  const TaskRef task{job, key.first.first, key.first.second, key.second};
  const bool valid = job->open.contains(task.occurrence) && task.step >= 0 && task.index >= 0 &&
                     static_cast<std::size_t>(task.step) < job->spec.steps.size() &&
                     task.index < task.spec().count;
  return valid ? task.state() : nullptr;
}

}  // namespace

std::size_t MemoryOf(const JobSpec& spec, std::size_t occurrences) {
  std::size_t steps = 0;
  for (const StepSpec& step : spec.steps) {
    steps += sizeof(StepSpec) + step.after.size() * sizeof(int) + step.required_label.size() +
             step.preferred_rack.size() + step.image.size();
  }
  const std::size_t occurrence = spec.steps.size() * sizeof(StepState) +
                                 static_cast<std::size_t>(spec.TaskCount()) * sizeof(JobTaskState);
  return kJobBytes + spec.payload.size() + steps + occurrences * occurrence;
}

std::size_t MostOpenOccurrences(const JobSpec& spec) {
  const auto tasks = static_cast<std::size_t>(std::max<std::int64_t>(spec.TaskCount(), 1));
  const std::size_t by_tasks = std::max<std::size_t>(kMaxOpenTasks / tasks, 1);
  const auto all = static_cast<std::size_t>(spec.occurrence_count());
  return std::min({all, by_tasks, kMaxOpenOccurrences});
}

bool OccurrenceState::AllDone() const {
  return std::all_of(steps.begin(), steps.end(), [](const StepState& step) {
    return step.done == static_cast<int>(step.tasks.size());
  });
}

bool Job::StepReady(const OccurrenceState& occurrence, std::size_t step) const {
  const std::vector<int>& after = spec.steps[step].after;
  return std::all_of(after.begin(), after.end(), [&](int earlier) {
    const StepState& before = occurrence.steps[static_cast<std::size_t>(earlier)];
    return before.done == static_cast<int>(before.tasks.size());
  });
}

JobProgress Job::Progress() const {
  JobProgress progress;
  progress.state = state;
  progress.finished_unix_ms = finished_unix_ms;
  progress.done_occurrences = done_occurrences;
  for (const auto& [number, occurrence] : open) {
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const JobProgress::StepKey key{number, static_cast<int>(i)};
      const std::vector<JobTaskState>& tasks = occurrence.steps[i].tasks;
      for (std::size_t t = 0; t < tasks.size(); ++t) {
        if (tasks[t].done) {
          progress.done[key].insert(static_cast<int>(t));
          continue;
        }
        const JobProgress::TaskKey task{key, static_cast<int>(t)};
        if (!tasks[t].failed_runs.empty() && !spec.steps[i].long_running) {
          progress.failures[task] = tasks[t].failed_runs;
        }
        if (!tasks[t].crashed_runs.empty()) {
          progress.crashes[task] = tasks[t].crashed_runs;
        }
        if (!tasks[t].unconfirmed_runs.empty()) {
          progress.unconfirmed_crashes[task] = tasks[t].unconfirmed_runs;
        }
        if (const auto found = suspects.find(task); found != suspects.end()) {
          progress.suspects.insert(*found);
        }
      }
    }
  }
  return progress;
}

StepState* TaskRef::step_state() const {
  const auto it = job->open.find(occurrence);
  return it == job->open.end() ? nullptr : &it->second.steps[static_cast<std::size_t>(step)];
}

JobTaskState* TaskRef::state() const {
  StepState* found_step = step_state();
  return found_step == nullptr ? nullptr : &found_step->tasks[static_cast<std::size_t>(index)];
}

Job* JobTable::Add(TimePoint now, JobSpec spec) {
  auto job = std::make_shared<Job>();
  job->serial = ++m_last_serial;
  job->spec = std::move(spec);
  job->accepted = now;
  Job* raw = job.get();
  m_active.emplace(raw->spec.id, raw);
  m_jobs.emplace(raw->spec.id, std::move(job));
  Count(raw);
  MarkChanged(now, raw);
  return raw;
}

Job* JobTable::Load(TimePoint now, std::int64_t now_unix_ms, const std::string& id,
                    const JobRecord& record, const JobProgress& progress) {
  auto job = std::make_shared<Job>();
  Job* raw = job.get();
  job->serial = ++m_last_serial;
  job->stored = job->progress_stored = true;
  if (record.ended) {
    job->spec.id = id;
    job->spec.queue = record.ended->queue;
    job->spec.queue_path = record.ended->queue_path;
    job->spec.customer = record.ended->customer;
    job->state = job->stored_state = record.ended->state;
    job->finished_unix_ms = record.ended->finished_unix_ms;
    job->ended_record = true;
    m_jobs[id] = std::move(job);
    Count(raw);
    return raw;
  }
  job->spec = *record.spec;
  job->accepted = now - Duration(std::clamp<std::int64_t>(now_unix_ms - job->spec.accepted_unix_ms,
                                                          0, 600'000));
  job->state = job->stored_state = progress.state;
  job->finished_unix_ms = progress.finished_unix_ms;
  job->loaded_from_store = true;
  job->done_occurrences = progress.done_occurrences;
  job->stored_done = job->done_occurrences.size();
  m_jobs[id] = job;
  Count(raw);
  if (IsFinal(job->state)) {
    return raw;
  }
  m_active.emplace(id, raw);
  if (!job->spec.timed() && job->done_occurrences.empty()) {
    Open(raw, 0, job->accepted, now_unix_ms);
  }
  if (job->spec.timed()) {
    OpenDueOf(raw, now, now_unix_ms);
  }
  for (const auto& [key, tasks] : progress.done) {
    const auto occurrence = job->open.find(key.first);
    if (occurrence == job->open.end() ||
        static_cast<std::size_t>(key.second) >= occurrence->second.steps.size()) {
      continue;
    }
    StepState& step = occurrence->second.steps[static_cast<std::size_t>(key.second)];
    for (const int task : tasks) {
      if (static_cast<std::size_t>(task) < step.tasks.size()) {
        step.tasks[static_cast<std::size_t>(task)].done = true;
        ++step.done;
      }
    }
    job->started = true;
  }
  for (const auto& [key, runs] : progress.failures) {
    if (JobTaskState* task = TaskAt(raw, key)) {
      task->failed_runs = runs;
      job->started = true;
    }
  }
  for (const auto& [key, runs] : progress.crashes) {
    if (JobTaskState* task = TaskAt(raw, key)) {
      task->crashed_runs = runs;
      task->trial_until = now + kTrialWait;
    }
  }
  for (const auto& [key, runs] : progress.unconfirmed_crashes) {
    if (JobTaskState* task = TaskAt(raw, key)) {
      task->unconfirmed_runs = runs;
      task->trial_until = now + kTrialWait;
    }
  }
  for (const auto& [key, runs] : progress.suspects) {
    if (TaskAt(raw, key) != nullptr) {
      raw->suspects[key] = runs;
    }
  }
  return raw;
}

Job* JobTable::Find(std::string_view id) const {
  const auto it = m_jobs.find(std::string(id));
  return it == m_jobs.end() ? nullptr : it->second.get();
}

void JobTable::Remove(std::string_view id) {
  const auto it = m_jobs.find(std::string(id));
  if (it == m_jobs.end()) {
    return;
  }
  m_changed.erase({it->second->first_change, it->second.get()});
  if (const auto active = m_active.find(id); active != m_active.end()) {
    m_active.erase(active);
  }
  SetMemory(it->second.get(), 0);
  m_jobs.erase(it);
}

TaskRef JobTable::Resolve(std::string_view name) const {
  const auto id = TaskId::Parse(name);
  if (!id) {
    return {};
  }
  Job* job = Find(id->job);
  if (job == nullptr || static_cast<std::size_t>(id->step) >= job->spec.steps.size() ||
      id->index >= job->spec.steps[static_cast<std::size_t>(id->step)].count) {
    return {};
  }
  return {job, id->occurrence, id->step, id->index};
}

void JobTable::Open(Job* job, int occurrence, TimePoint now, std::int64_t now_unix_ms) {
  job->next_occurrence = std::max(job->next_occurrence, occurrence + 1);
  if (job->done_occurrences.contains(occurrence)) {
    return;
  }
  OccurrenceState state;
  state.due_unix_ms =
      job->spec.timed() ? job->spec.DueUnixMs(occurrence) : job->spec.accepted_unix_ms;
  state.due =
      now -
      Duration(job->spec.timed() ? std::max<std::int64_t>(now_unix_ms - state.due_unix_ms, 0) : 0);
  for (const StepSpec& step : job->spec.steps) {
    StepState step_state;
    step_state.tasks.resize(static_cast<std::size_t>(step.count));
    state.steps.push_back(std::move(step_state));
  }
  job->open.emplace(occurrence, std::move(state));
  Count(job);
}

bool JobTable::OpenDueOf(Job* job, TimePoint now, std::int64_t now_unix_ms) {
  const std::size_t most = job->stored_done + MostOpenOccurrences(job->spec);
  bool opened = false;
  while (job->next_occurrence < job->spec.occurrences &&
         job->spec.DueUnixMs(job->next_occurrence) <= now_unix_ms &&
         static_cast<std::size_t>(job->next_occurrence) < most) {
    Open(job, job->next_occurrence, now, now_unix_ms);
    opened = true;
  }
  return opened;
}

void JobTable::Count(Job* job) {
  std::size_t occurrences = job->open.size();
  if (!IsFinal(job->state)) {
    const auto all = static_cast<std::size_t>(job->spec.occurrence_count());
    const std::size_t left = all - std::min(all, job->done_occurrences.size());
    occurrences = std::max(occurrences, std::min(left, MostOpenOccurrences(job->spec)));
  }
  SetMemory(job, MemoryOf(job->spec, occurrences));
}

void JobTable::SetMemory(Job* job, std::size_t bytes) {
  std::size_t& of_customer = m_memory_by_customer[job->spec.customer];
  m_memory = m_memory - job->memory + bytes;
  of_customer = of_customer - job->memory + bytes;
  job->memory = bytes;
  if (of_customer == 0) {
    m_memory_by_customer.erase(job->spec.customer);
  }
}

bool JobTable::HasRoomFor(const JobSpec& spec) const {
  const std::size_t bytes = MemoryOf(spec, MostOpenOccurrences(spec));
  if (m_memory + bytes > m_memory_limit) {
    return false;
  }
  const auto of_customer = m_memory_by_customer.find(spec.customer);
  const std::size_t held = of_customer == m_memory_by_customer.end() ? 0 : of_customer->second;
  return m_memory + bytes <= m_memory_limit - m_memory_limit / kReservedDivisor ||
         held + bytes <= m_memory_limit / kSmallCustomerDivisor;
}

void JobTable::ReleasePayload(Job* job) {
  if (!job->spec.payload.empty()) {
    job->spec.payload = std::string();
    Count(job);
  }
}

bool JobTable::OpenDue(TimePoint now, std::int64_t now_unix_ms) {
  bool opened = false;
  for (const auto& [id, job] : m_active) {
    if (!job->stored) {
      continue;
    }
    if (!job->spec.timed()) {
      if (job->next_occurrence == 0) {
        Open(job, 0, job->accepted, now_unix_ms);
        opened = true;
      }
      continue;
    }
    opened = OpenDueOf(job, now, now_unix_ms) || opened;
  }
  return opened;
}

void JobTable::MarkDone(TimePoint now, const TaskRef& task, std::int64_t now_unix_ms) {
  JobTaskState* state = task.state();
  if (state == nullptr || state->done) {
    return;
  }
  state->done = true;
  StepState* step = task.step_state();
  ++step->done;
  if (state->placed > 0) {
    --step->placed;
  }
  const auto occurrence = task.job->open.find(task.occurrence);
  if (occurrence->second.AllDone()) {
    task.job->done_occurrences.insert(task.occurrence);
    task.job->open.erase(occurrence);
    Count(task.job);
  }
  if (static_cast<int>(task.job->done_occurrences.size()) == task.job->spec.occurrence_count()) {
    SetState(now, task.job, JobState::kDone, now_unix_ms);
    return;
  }
  MarkChanged(now, task.job);
}

void JobTable::SetState(TimePoint now, Job* job, JobState state, std::int64_t now_unix_ms) {
  job->state = state;
  if (IsFinal(state)) {
    job->finished_unix_ms = now_unix_ms;
    m_active.erase(job->spec.id);
    Count(job);
  }
  MarkChanged(now, job);
}

std::uint64_t JobTable::MarkChanged(TimePoint now, Job* job) {
  job->change = ++m_last_change;
  if (job->first_change == 0) {
    job->first_change = job->change;
    job->changed_at = now;
    m_changed.emplace(job->first_change, job);
  }
  return job->change;
}

void JobTable::MarkStored(TimePoint built, Job* job, std::uint64_t change,
                          std::size_t done_occurrences) {
  job->stored = true;
  job->stored_done = std::max(job->stored_done, done_occurrences);
  m_changed.erase({job->first_change, job});
  if (job->change == change) {
    job->change = job->first_change = 0;
    return;
  }
  job->first_change = change + 1;
  job->changed_at = built;
  m_changed.emplace(job->first_change, job);
}

}  // namespace cranberryplank
