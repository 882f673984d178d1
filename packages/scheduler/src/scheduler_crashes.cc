#include <algorithm>
#include <tuple>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"
#include "placement_pass.h"

namespace cranberryplank {

namespace {

/// Time after a task's start, on its worker's clock, in which the end of the worker may be the
/// task's doing. A worker that sends a list later has outlived the start.
constexpr Duration kCrashWindow{200};
/// Added to the wait of the lease renewal that shows whether a suspect task outlives the window.
constexpr Duration kTrialMargin{50};
/// A suspect task waits this long for proof that its worker crashed, before it is tried again. For
/// each further run without proof it waits `kProofWaitGrowth` times as long, so that a task whose
/// workers stay away does not take down one after the other.
constexpr Duration kProofWait{500};
constexpr int kProofWaitGrowth = 8;
constexpr int kMaxProofWaitGrowths = 3;
/// Crashes after which a task is given up: when it was the only run that could be the cause of the
/// last one, and in any case.
constexpr std::size_t kCrashesAlone = 2;
constexpr std::size_t kCrashesInAnyCase = 4;
/// At most one of this many usable workers of a pool is usually kept for suspect tasks.
constexpr std::size_t kWorkersPerTrialWorker = 3;
/// A worker that started this recently may have crashed for a cause of its own.
constexpr Duration kRecentStart{10'000};

/// Returns whether nothing shows yet that the worker outlived the start of the run.
bool JustBegun(const Worker& worker, const PlacedRun& run) {
  return run.phase != RunPhase::kRunning || run.began_clock_ms == 0 ||
         worker.heard_clock_ms < run.began_clock_ms + kCrashWindow.count();
}

int JustBegunRuns(const Worker& worker) {
  return static_cast<int>(
      std::count_if(worker.runs.begin(), worker.runs.end(),
                    [&](const auto& item) { return JustBegun(worker, item.second); }));
}

/// Returns whether the task must be started on a worker that is kept for suspect tasks. Members of
/// a gang start together, and tickets are for single workers, so these are started as usual.
bool NeedsTrial(const JobTaskState& task, const StepSpec& spec, const QueueConfig& queue) {
  return task.suspect() && !spec.gang && !queue.advice;
}

TimePoint TrialUntil(const TaskRef& task) {
  return task.state()->retry_at + (task.spec().long_running ? kLongRunningTrialWait : kTrialWait);
}

/// Returns how long a task waits for proof, given the number of its runs that lack it.
Duration ProofWait(std::size_t unproved_runs) {
  Duration wait = kProofWait;
  for (std::size_t run = 1; run < unproved_runs && run <= kMaxProofWaitGrowths; ++run) {
    wait *= kProofWaitGrowth;
  }
  return wait;
}

bool HasRoomFor(const Worker& worker, const TaskRef& task) {
  const StepSpec& spec = task.spec();
  const RunRange runs = worker.RunsOfStep(task);
  const auto of_step = static_cast<int>(std::distance(runs.begin(), runs.end()));
  const bool labelled =
      spec.required_label.empty() || std::find(worker.info.labels.begin(), worker.info.labels.end(),
                                               spec.required_label) != worker.info.labels.end();
  return labelled && (spec.max_per_vm == 0 || of_step < spec.max_per_vm) &&
         spec.Footprint().FitsIn(worker.free());
}

}  // namespace

Duration Scheduler::TrialRenewalWait() { return kCrashWindow + kTrialMargin; }

void Scheduler::RecordLostRuns(TimePoint now, const Worker& worker) {
  if (EndsAsPlanned(worker)) {
    DropSuspects(now, m_crashes.TakeOfIncarnation(worker.info));
    return;
  }
  RecordSuspects(now, worker);
  for (const auto& [task, run] : worker.runs) {
    JobTaskState* state = task.state();
    if (state != nullptr && !state->done && JustBegun(worker, run)) {
      state->worker_lost = true;
      const auto unproved = run.job->suspects.find(task.Key());
      const std::size_t runs = unproved == run.job->suspects.end() ? 0 : unproved->second.size();
      state->retry_at = std::max(state->retry_at, now + ProofWait(runs));
      state->trial_until = TrialUntil(task);
      m_suspects_wait = true;
    }
  }
}

bool Scheduler::EndsAsPlanned(const Worker& worker) const {
  return worker.has_drained || m_closed.contains(worker.info.id);
}

void Scheduler::RecordSuspects(TimePoint now, const Worker& worker) {
  if (EndsAsPlanned(worker)) {
    return;
  }
  const int just_begun = JustBegunRuns(worker);
  for (const auto& [task, run] : worker.runs) {
    const JobTaskState* state = task.state();
    const bool counts = state != nullptr && !state->done && !IsFinal(run.job->state) &&
                        !state->crashed_runs.contains(run.run) &&
                        !state->unconfirmed_runs.contains(run.run);
    if (!counts || !JustBegun(worker, run)) {
      continue;
    }
    const SuspectStart start{worker.info.id, worker.info.vm, worker.info.started_unix_ms,
                             run.phase == RunPhase::kRunning, just_begun == 1};
    SuspectStart& stored = run.job->suspects[task.Key()][run.run];
    if (stored != start) {
      stored = start;
      m_crashes.Add(now, {run.job, task, run.run, start});
      m_jobs.MarkChanged(now, run.job.get());
    }
  }
}

void Scheduler::LoadSuspects(TimePoint now, Job* job) {
  for (const auto& [key, runs] : job->suspects) {
    const TaskRef task{job, key.first.first, key.first.second, key.second};
    JobTaskState* state = task.state();
    state->worker_lost = true;
    state->retry_at = now + ProofWait(runs.size());
    state->trial_until = TrialUntil(task);
    m_suspects_wait = true;
    for (const auto& [run, start] : runs) {
      m_crashes.Add(now, {m_jobs.jobs().at(job->spec.id), task, run, start});
    }
  }
}

void Scheduler::DropSuspects(TimePoint now, std::span<const SuspectRun> runs) {
  for (const SuspectRun& run : runs) {
    const auto of_task = run.job->suspects.find(run.task.Key());
    if (of_task == run.job->suspects.end() || of_task->second.erase(run.run) == 0) {
      continue;
    }
    if (of_task->second.empty()) {
      run.job->suspects.erase(of_task);
    }
    if (!IsFinal(run.job->state)) {
      m_jobs.MarkChanged(now, run.job.get());
    }
  }
}

void Scheduler::HandleCrashes(TimePoint now) {
  const std::vector<SuspectRun> proved = m_crashes.TakeProved();
  for (const SuspectRun& run : proved) {
    CountCrash(now, run);
  }
  DropSuspects(now, proved);
  DropSuspects(now, m_crashes.TakeExpired(now));
}

void Scheduler::CountCrash(TimePoint now, const SuspectRun& run) {
  JobTaskState* state = run.task.state();
  if (state == nullptr || state->done || IsFinal(run.job->state)) {
    return;
  }
  (run.start.confirmed ? state->crashed_runs : state->unconfirmed_runs).insert(run.run);
  state->retry_at = now;
  state->trial_until = TrialUntil(run.task);
  m_suspects_wait = m_schedule_needed = true;
  m_jobs.MarkChanged(now, run.job.get());
  const std::size_t confirmed = state->crashed_runs.size();
  const std::size_t all = confirmed + state->unconfirmed_runs.size();
  ++m_counters.worker_crashes;
  LogLine(LogLevel::kInfo, "worker_crashed")
      .Field("task", run.task.Id().Name())
      .Field("run", run.run)
      .Field("worker", run.start.worker)
      .Field("confirmed", run.start.confirmed)
      .Field("alone", run.start.alone)
      .Field("crashes", confirmed);
  const bool proved = run.start.confirmed && run.start.alone && confirmed >= kCrashesAlone;
  if (proved || all >= kCrashesInAnyCase) {
    ++m_counters.jobs_failed;
    ++m_counters.crashing_tasks;
    LogLine(LogLevel::kWarning, "job_failed")
        .Field("job", run.job->spec.id)
        .Field("task", run.task.Id().Name())
        .Field("crashed_workers", all);
    EndJob(now, run.job.get(), JobState::kFailed);
  }
}

void Scheduler::ClearUnproved(TimePoint now, const Worker& worker) {
  const std::vector<SuspectRun> disproved = m_crashes.TakeOfIncarnation(worker.info);
  DropSuspects(now, disproved);
  for (const SuspectRun& run : disproved) {
    JobTaskState* state = run.task.state();
    if (state != nullptr && !run.job->suspects.contains(run.task.Key())) {
      state->worker_lost = false;
      state->retry_at = std::min(state->retry_at, now);
    }
  }
}

void Scheduler::ClearSuspicion(TimePoint now, const TaskRef& task) {
  JobTaskState* state = task.state();
  if (state == nullptr) {
    return;
  }
  if (!task.job->suspects.empty()) {
    DropSuspects(now, m_crashes.TakeOfTask(task));
  }
  state->worker_lost = false;
  const bool counted = !state->crashed_runs.empty() || !state->unconfirmed_runs.empty();
  if (counted && !IsFinal(task.job->state)) {
    state->crashed_runs.clear();
    state->unconfirmed_runs.clear();
    m_jobs.MarkChanged(now, task.job);
  }
}

void Scheduler::ClearOutlived(TimePoint now, Worker* worker) {
  for (const auto& [task, run] : worker->runs) {
    if (run.phase == RunPhase::kRunning && !JustBegun(*worker, run)) {
      ClearSuspicion(now, task);
    }
  }
  if (worker->trial && worker->trial->state() != nullptr && !worker->trial->state()->suspect()) {
    worker->trial.reset();
    m_schedule_needed = true;
  }
}

bool Scheduler::WaitsForTrial(const JobTaskState& task, const StepSpec& spec,
                              const QueueConfig& queue) {
  const bool waits = NeedsTrial(task, spec, queue);
  m_suspects_wait = m_suspects_wait || waits;
  return waits;
}

void Scheduler::PlaceSuspects(TimePoint now, const WaitingStep& waiting, PoolPass* pass) {
  TaskRef task = waiting.step;
  const StepSpec& spec = task.spec();
  const std::vector<JobTaskState>& tasks = task.step_state()->tasks;
  const bool one_on_trial = std::any_of(tasks.begin(), tasks.end(), [](const JobTaskState& other) {
    return other.suspect() && other.placed > 0;
  });
  for (task.index = 0; task.index < spec.count; ++task.index) {
    const JobTaskState& state = *task.state();
    if (state.done || state.placed > 0 || !NeedsTrial(state, spec, *waiting.queue)) {
      continue;
    }
    m_suspects_wait = pass->suspects_wait = true;
    const bool in_turn = !one_on_trial || now >= state.trial_until;
    const bool may_start = in_turn && IsDue(now, state) && m_starts_left > 0 && MayPlace(waiting) &&
                           WithinCap(*task.job, spec.per_task);
    if (!may_start) {
      continue;
    }
    if (Worker* worker = FindTrialWorker(now, task, pass)) {
      StartTrial(now, worker, task);
    }
    return;
  }
}

Worker* Scheduler::FindTrialWorker(TimePoint now, const TaskRef& task, PoolPass* pass) {
  bool any_has_room = false;
  bool any_waits = false;
  for (Worker* worker : pass->trial_workers) {
    if (!HasRoomFor(*worker, task)) {
      continue;
    }
    if (!worker->trial && JustBegunRuns(*worker) == 0 && now >= worker->avoid_until) {
      return worker;
    }
    any_has_room = true;
    any_waits = any_waits || !worker->trial;
  }
  const std::size_t all = pass->usable.size() + pass->trial_workers.size();
  const std::size_t usual = std::max<std::size_t>(all / kWorkersPerTrialWorker, 1);
  const bool keep_another = !any_waits && (!any_has_room || pass->trial_workers.size() < usual ||
                                           now >= task.state()->trial_until);
  Worker* kept = keep_another ? KeepTrialWorker(now, task, pass) : nullptr;
  return kept != nullptr && JustBegunRuns(*kept) == 0 ? kept : nullptr;
}

Worker* Scheduler::KeepTrialWorker(TimePoint now, const TaskRef& task, PoolPass* pass) {
  const auto preference = [&](const Worker* worker) {
    return std::tuple(!HasRoomFor(*worker, task), JustBegunRuns(*worker) > 0,
                      now < worker->avoid_until, now - worker->first_seen < kRecentStart,
                      UsedShare(worker->info.capacity, worker->free()));
  };
  const auto best = std::min_element(
      pass->usable.begin(), pass->usable.end(),
      [&](const Worker* a, const Worker* b) { return preference(a) < preference(b); });
  if (best == pass->usable.end() || !HasRoomFor(**best, task)) {
    return nullptr;
  }
  Worker* worker = *best;
  worker->kept_for_trials = true;
  pass->trial_workers.push_back(worker);
  pass->usable.erase(best);
  pass->candidates.clear();  // They are in the order of the usable workers.
  return worker;
}

void Scheduler::StartTrial(TimePoint now, Worker* worker, const TaskRef& task) {
  const int run = std::max(task.state()->last_run, m_run_base) + 1;
  if (!StartTask(now, worker, task, run, {})) {
    return;
  }
  --m_starts_left;
  worker->trial = task;
  LogLine(LogLevel::kInfo, "start_suspect")
      .Field("task", task.Id().Name())
      .Field("run", run)
      .Field("worker", worker->info.id)
      .Field("registrations_age_ms", RegistrationsAge(now).count())
      .Field("crashes", task.state()->crashed_runs.size());
  SendRenewal(now, worker);  // Its reply shows whether the worker outlives the start.
}

}  // namespace cranberryplank
