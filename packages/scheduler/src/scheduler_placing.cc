#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/placement.h"
#include "cranberryplank/scheduler/scheduler.h"
#include "placement_pass.h"

namespace cranberryplank {

namespace {

/// Registrations can be used for this long even where workers drain for a shorter time.
constexpr Duration kLeastRegistrationsUse{400};

Duration ObjectiveOf(const JobSpec& spec, const QueueConfig& queue) {
  const auto stretched =
      static_cast<std::int64_t>(static_cast<double>(spec.ChainEstimateMs()) * queue.stretch);
  return Duration(stretched) + queue.objective;
}

/// Returns the longest chain of the steps that are not done, by the submitter's estimates.
/// @param ends space for the calculation, reused between calls
Duration RemainingChain(const JobSpec& spec, const OccurrenceState& occurrence,
                        std::vector<std::int64_t>* ends) {
  std::vector<std::int64_t>& end = *ends;
  end.assign(spec.steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    std::int64_t start = 0;
    for (const int earlier : spec.steps[i].after) {
      start = std::max(start, end[static_cast<std::size_t>(earlier)]);
    }
    const StepState& state = occurrence.steps[i];
    const bool done = state.done == static_cast<int>(state.tasks.size());
    end[i] = start + (done ? 0 : spec.steps[i].estimate_ms);
    longest = std::max(longest, end[i]);
  }
  return Duration(longest);
}

bool HasLabel(const WorkerInfo& info, std::string_view label) {
  return label.empty() ||
         std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

int RunsOfStep(const Worker& worker, const TaskRef& step) {
  const RunRange runs = worker.RunsOfStep(step);
  return static_cast<int>(std::distance(runs.begin(), runs.end()));
}

WorkerCandidate CandidateOf(TimePoint now, const Worker& worker) {
  WorkerCandidate candidate;
  candidate.id = worker.info.id;
  candidate.rack = worker.info.rack;
  candidate.capacity = worker.info.capacity;
  candidate.free = worker.free();
  candidate.serving_runs = worker.serving_runs;
  candidate.best_effort_runs = worker.best_effort_runs;
  candidate.long_running_runs = worker.long_running_runs;
  candidate.suspect = now < worker.avoid_until;
  return candidate;
}

std::vector<WorkerCandidate> CandidatesOf(TimePoint now, std::span<Worker* const> workers,
                                          const TaskRef& step) {
  std::vector<WorkerCandidate> candidates;
  candidates.reserve(workers.size());
  for (const Worker* worker : workers) {
    candidates.push_back(CandidateOf(now, *worker));
    if (step.spec().max_per_vm > 0) {
      candidates.back().runs_of_step = RunsOfStep(*worker, step);
    }
  }
  return candidates;
}

/// Sets whether the worker `id` is the one on which the task's last run failed.
void SetFailedTask(std::span<WorkerCandidate> candidates, std::string_view id, bool failed) {
  if (id.empty()) {
    return;
  }
  for (WorkerCandidate& candidate : candidates) {
    if (candidate.id == id) {
      candidate.failed_task = failed;
    }
  }
}

/// Returns whether all workers of the pool may run the step, and equally.
bool AnyWorkerMayRun(const StepSpec& step, const QueueConfig& queue) {
  return step.required_label.empty() && step.max_per_vm == 0 && !step.same_rack && !step.gang &&
         !queue.advice;
}

/// Log line of the tasks of one step that are started in one pass. A line for each task would be
/// most of the log of an owner that starts a thousand tasks per second.
class StartsLine {
 public:
  StartsLine(TimePoint now, const TaskRef& step, std::uint64_t config_version,
             Duration registrations_age)
      : m_step(step.Id().StepName()),
        m_waited(
            std::chrono::duration_cast<Duration>(now - step.job->open.at(step.occurrence).due)),
        m_config_version(config_version),
        m_registrations_age(registrations_age) {}

  void Add(int index, int run, std::string_view worker) {
    fmt::format_to(std::back_inserter(m_runs), "{}{}:{}@{}", m_runs.empty() ? "" : " ", index, run,
                   worker);
  }

  /// Writes the line if a task was started.
  void Write() const {
    if (m_runs.empty()) {
      return;
    }
    LogLine(LogLevel::kInfo, "start")
        .Field("step", m_step)
        .Field("runs", m_runs)
        .Field("config", m_config_version)
        .Field("registrations_age_ms", m_registrations_age.count())
        .Field("waited_ms", m_waited.count());
  }

 private:
  std::string m_step;
  Duration m_waited;
  std::uint64_t m_config_version;
  Duration m_registrations_age;
  std::string m_runs;
};

/// Subtracts a placed task from the candidate's free capacity for the step's next tasks.
void Occupy(WorkerCandidate* candidate, const StepSpec& step) {
  candidate->free -= step.Footprint();
  ++candidate->runs_of_step;
  candidate->serving_runs += step.latency_target_ms > 0 ? 1 : 0;
  candidate->best_effort_runs += step.uses_leftover_cpu ? 1 : 0;
  candidate->long_running_runs += step.long_running ? 1 : 0;
}

/// Returns the rack with most free CPU, for steps whose tasks are slower when they span racks.
std::string RackWithMostFreeCpu(std::span<const WorkerCandidate> candidates) {
  std::map<std::string_view, std::int64_t> free;
  for (const WorkerCandidate& candidate : candidates) {
    free[candidate.rack] += candidate.free.cpu_millis;
  }
  const auto best = std::max_element(
      free.begin(), free.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  return best == free.end() ? std::string() : std::string(best->first);
}

/// Returns the rack of a run of the step that is already placed, or an empty string.
std::string RackInUse(std::span<Worker* const> workers, const TaskRef& step) {
  for (const Worker* worker : workers) {
    if (RunsOfStep(*worker, step) > 0) {
      return worker->info.rack;
    }
  }
  return {};
}

}  // namespace

OrderInput Scheduler::OrderInputOf(const Job& job, const OccurrenceState& occurrence,
                                   const QueueConfig& queue,
                                   std::vector<std::int64_t>* ends) const {
  OrderInput input;
  input.over_share = job.over_share;
  input.step_delay = m_step_delay;
  input.priority = queue.priority;
  input.due = occurrence.due;
  input.objective = ObjectiveOf(job.spec, queue);
  input.remaining_chain = RemainingChain(job.spec, occurrence, ends);
  for (const StepState& step : occurrence.steps) {
    input.remaining_steps += step.done < static_cast<int>(step.tasks.size()) ? 1 : 0;
    input.begun = input.begun || step.done > 0 || step.placed > 0;
  }
  input.serial = job.serial;
  return input;
}

std::vector<Scheduler::WaitingStep> Scheduler::CollectWaiting(TimePoint now) {
  std::vector<WaitingStep> waiting;
  std::vector<std::int64_t> ends;
  for (const auto& [id, job] : m_jobs.active()) {
    if (!job->stored) {
      continue;
    }
    for (const auto& [number, occurrence] : job->open) {
      for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
        if (occurrence.steps[i].waiting() <= 0 || !job->StepReady(occurrence, i)) {
          continue;
        }
        const QueueConfig& queue = QueueOfJob(*job);
        OrderInput input = OrderInputOf(*job, occurrence, queue, &ends);
        input.long_running = job->spec.steps[i].long_running;
        input.best_effort = job->spec.steps[i].uses_leftover_cpu;
        waiting.push_back({OrderOf(input, now), &queue, {job, number, static_cast<int>(i), 0}, {}});
        if (MayWaitForRack(job->spec.steps[i], queue)) {
          waiting.back().latest_start = LatestStart(input);
        }
      }
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const WaitingStep& a, const WaitingStep& b) { return a.key < b.key; });
  return waiting;
}

void Scheduler::Schedule(TimePoint now) {
  m_schedule_needed = false;
  m_last_schedule = now;
  m_rack_wait_ends = TimePoint::max();
  LogPause(now);
  if (!MayStart(now) || !m_config) {
    return;
  }
  m_advice.Expire(now);
  m_unheard_pools = UnheardPools();
  m_starts_left = m_start_limit;
  const std::vector<WaitingStep> all_waiting = CollectWaiting(now);
  if (all_waiting.empty()) {
    return;
  }
  std::map<std::string_view, PoolPass> passes = UsableWorkersByPool();
  const bool suspects_waited = std::exchange(m_suspects_wait, false);
  for (const WaitingStep& waiting : all_waiting) {
    PoolPass* pass = &passes[waiting.queue->pool];
    if (suspects_waited) {
      PlaceSuspects(now, waiting, pass);
    }
    PlaceStep(now, waiting, pass);
    if (m_starts_left <= 0) {
      m_schedule_needed = true;
      m_suspects_wait = m_suspects_wait || suspects_waited;
      return;
    }
  }
  for (const auto& [pool, pass] : passes) {
    for (Worker* worker : pass.trial_workers) {
      worker->kept_for_trials = pass.suspects_wait;
    }
  }
}

bool Scheduler::IsDue(TimePoint now, const JobTaskState& task) const {
  return !task.done && task.placed == 0 && now >= task.retry_at && HasExpired(task.lost_at);
}

bool Scheduler::MayPlace(const WaitingStep& waiting) const {
  const Job& job = *waiting.step.job;
  if (!m_queues.HasRecord(job.spec.queue_id())) {
    return false;
  }
  return !job.loaded_from_store ||
         std::none_of(m_unheard_pools.begin(), m_unheard_pools.end(), [&](const auto& pool) {
           return pool == job.spec.pool || m_queues.MayRunIn(job.spec.queue_id(), pool);
         });
}

std::set<std::string, std::less<>> Scheduler::UnheardPools() const {
  std::set<std::string, std::less<>> pools;
  for (const auto& [id, worker] : m_unreconciled) {
    pools.insert(worker.pool);
  }
  for (const auto& [id, worker] : m_workers) {
    if (worker.awaits_earlier_ends) {
      pools.insert(worker.info.pool);
    }
  }
  return pools;
}

std::map<std::string_view, Scheduler::PoolPass> Scheduler::UsableWorkersByPool() {
  std::map<std::string_view, PoolPass> passes;
  m_usable_workers = 0;
  for (auto& [id, worker] : m_workers) {
    const bool trusted = worker.IsConfirmed(m_authority.confirmed) && worker.recorded &&
                         worker.clock.known && !worker.restart_suspected_at &&
                         worker.failed_renewals == 0 && !worker.has_untracked_runs;
    const bool closed = m_closed.contains(id) || m_evacuation.Covers(worker.info.zone);
    if (trusted && worker.registered && !worker.info.draining && !closed) {
      PoolPass& pass = passes[worker.info.pool];
      const bool for_trials = worker.trial || worker.kept_for_trials;
      (for_trials ? pass.trial_workers : pass.usable).push_back(&worker);
      ++m_usable_workers;
    }
  }
  return passes;
}

Duration Scheduler::RegistrationsAge(TimePoint now) const {
  return m_registrations_known_until
             ? std::chrono::duration_cast<Duration>(now - *m_registrations_known_until)
             : Duration(0);
}

TimePoint Scheduler::StartsUntil() const {
  TimePoint until = m_authority.until;
  if (m_settings.evacuation_bound) {
    until = std::min(until, m_evacuation.StartsUntil(*m_settings.evacuation_bound, kStartDelivery));
  }
  if (!m_registrations_known_until) {
    return until;
  }
  const Duration usable = std::max(m_settings.drain_time - kStartDelivery, kLeastRegistrationsUse);
  return std::min(until, *m_registrations_known_until + usable);
}

void Scheduler::LogPause(TimePoint now) {
  const bool paused = MayAct(now) && !MayStart(now);
  if (paused == m_starts_paused) {
    return;
  }
  m_starts_paused = paused;
  LogLine line(paused ? LogLevel::kWarning : LogLevel::kInfo,
               paused ? "starts_paused" : "starts_resumed");
  line.Field("registrations_age_ms", RegistrationsAge(now).count());
  if (m_settings.evacuation_bound) {
    line.Field("operators_age_ms", m_evacuation.Age(now).count());
  }
}

bool Scheduler::WithinCap(const Job& job, const Resources& more) const {
  const CustomerConfig* customer = m_config->FindCustomer(job.spec.customer);
  if (customer == nullptr) {
    return true;
  }
  const auto it = m_usage.find(job.spec.customer);
  const Resources total = (it == m_usage.end() ? Resources{} : it->second) + more;
  const auto within = [](std::int64_t used, std::int64_t cap) { return cap == 0 || used <= cap; };
  return within(total.cpu_millis, customer->cap.cpu_millis) &&
         within(total.memory_mb, customer->cap.memory_mb) && within(total.gpus, customer->cap.gpus);
}

void Scheduler::PlaceStep(TimePoint now, const WaitingStep& waiting, PoolPass* pass) {
  const TaskRef& step = waiting.step;
  const StepSpec& spec = step.spec();
  const QueueConfig& queue = *waiting.queue;
  if (!MayPlace(waiting)) {
    return;
  }
  if (pass->IsFullFor(spec)) {
    return;
  }
  if (AnyWorkerMayRun(spec, queue)) {
    if (pass->candidates.empty()) {
      pass->candidates = CandidatesOf(now, pass->usable, step);
    }
    PlaceTasks(now, waiting, {pass->usable, pass->candidates, {}}, pass);
    return;
  }
  std::vector<Worker*> usable = pass->usable;
  std::erase_if(usable,
                [&](const Worker* worker) { return !HasLabel(worker->info, spec.required_label); });
  if (!queue.advice) {
    PlaceOn(now, waiting, usable, pass);
    return;
  }
  const std::string step_name = step.Id().StepName();
  std::vector<Worker*> permitted = usable;
  std::erase_if(permitted, [&](const Worker* worker) {
    return m_advice.Ticket(now, step_name, worker->info).empty();
  });
  PlaceOn(now, waiting, permitted, pass);
  AskForAdvice(now, waiting, usable);
}

void Scheduler::PlaceOn(TimePoint now, const WaitingStep& waiting, std::span<Worker* const> workers,
                        PoolPass* pass) {
  const TaskRef& step = waiting.step;
  const StepSpec& spec = step.spec();
  if (spec.gang) {
    PlaceGang(now, waiting, workers, pass);
    pass->candidates.clear();
    return;
  }
  std::vector<WorkerCandidate> candidates = CandidatesOf(now, workers, step);
  std::string rack = spec.same_rack ? RackInUse(workers, step) : std::string();
  if (spec.same_rack && rack.empty()) {
    rack = RackWithMostFreeCpu(candidates);
  }
  PlaceTasks(now, waiting, {workers, candidates, rack}, pass);
  pass->candidates.clear();  // The starts are not counted there.
}

void Scheduler::AskForAdvice(TimePoint now, const WaitingStep& waiting,
                             std::span<Worker* const> workers) {
  const TaskRef& step = waiting.step;
  const StepSpec& spec = step.spec();
  const std::vector<JobTaskState>& tasks = step.step_state()->tasks;
  const bool any_due = std::any_of(tasks.begin(), tasks.end(),
                                   [&](const JobTaskState& task) { return IsDue(now, task); });
  if (!any_due || !WithinCap(*step.job, spec.per_task)) {
    return;
  }
  std::vector<AdviceCandidate> candidates;
  candidates.reserve(workers.size());
  for (const Worker* worker : workers) {
    AdviceCandidate candidate;
    candidate.worker = &worker->info;
    candidate.has_room = spec.Footprint().FitsIn(worker->free()) &&
                         (spec.max_per_vm == 0 || RunsOfStep(*worker, step) < spec.max_per_vm);
    candidate.near_data = worker->info.rack == spec.preferred_rack;
    candidates.push_back(candidate);
  }
  AdviceOrder order;
  if (m_advice.Prepare(now, *waiting.queue->advice, step.Id(), candidates, &order)) {
    m_link->Advise(order);
  }
}

void Scheduler::PlaceTasks(TimePoint now, const WaitingStep& waiting, const StepPlaces& places,
                           PoolPass* pass) {
  const TaskRef& step = waiting.step;
  const StepSpec& spec = step.spec();
  const std::string step_name = waiting.queue->advice ? step.Id().StepName() : std::string();
  const bool may_wait = MayWaitForRack(spec, *waiting.queue);
  TaskRef task = step;
  std::vector<JobTaskState>& tasks = step.step_state()->tasks;
  StartsLine line(now, step, m_config->version, RegistrationsAge(now));
  for (task.index = 0; task.index < spec.count; ++task.index) {
    JobTaskState& state = tasks[static_cast<std::size_t>(task.index)];
    if (!IsDue(now, state) || WaitsForTrial(state, spec, *waiting.queue)) {
      continue;
    }
    if (m_starts_left <= 0 || !WithinCap(*step.job, spec.per_task)) {
      break;
    }
    // A restarted task may have saved progress, so the cost of a start elsewhere is not known.
    if (may_wait && state.last_run == 0 && WaitsForRack(now, waiting, places, 1, pass)) {
      continue;
    }
    SetFailedTask(places.candidates, state.failed_worker, true);
    const int chosen = ChoosePlacement(places.candidates, spec, places.rack);
    SetFailedTask(places.candidates, state.failed_worker, false);
    if (chosen < 0) {
      pass->RecordRefused(spec, *waiting.queue);
      break;
    }
    Worker* worker = places.workers[static_cast<std::size_t>(chosen)];
    const int run = std::max(state.last_run, m_run_base) + 1;
    if (!StartTask(now, worker, task, run, m_advice.Ticket(now, step_name, worker->info))) {
      break;
    }
    --m_starts_left;
    line.Add(task.index, run, worker->info.id);
    Occupy(&places.candidates[static_cast<std::size_t>(chosen)], spec);
  }
  line.Write();
}

void Scheduler::PlaceGang(TimePoint now, const WaitingStep& waiting,
                          std::span<Worker* const> usable, PoolPass* pass) {
  const TaskRef& step = waiting.step;
  const StepSpec& spec = step.spec();
  StepState& state = *step.step_state();
  // A new run of the gang starts only when no member of the previous run is left.
  if (state.placed > 0 || state.waiting() < spec.count) {
    return;
  }
  Resources all;
  int run = m_run_base;
  bool restarted = false;
  std::string saved;
  for (const JobTaskState& task : state.tasks) {
    if (!IsDue(now, task)) {
      return;
    }
    all += spec.per_task;
    restarted = restarted || task.last_run > 0;
    run = std::max(run, task.last_run);
    saved = std::max(saved, task.saved);
  }
  if (!WithinCap(*step.job, all)) {
    return;
  }
  std::vector<WorkerCandidate> candidates = CandidatesOf(now, usable, step);
  const std::string rack = spec.same_rack ? RackWithMostFreeCpu(candidates) : std::string();
  if (!restarted && MayWaitForRack(spec, *waiting.queue) &&
      WaitsForRack(now, waiting, {usable, candidates, rack}, spec.count, pass)) {
    return;
  }
  std::vector<int> chosen;
  for (int i = 0; i < spec.count; ++i) {
    const int candidate = ChoosePlacement(candidates, spec, rack);
    if (candidate < 0) {
      return;
    }
    chosen.push_back(candidate);
    Occupy(&candidates[static_cast<std::size_t>(candidate)], spec);
  }
  const std::string step_name = step.Id().StepName();
  TaskRef task = step;
  // A gang is never split, so it may exceed the limit of the pass.
  m_starts_left -= spec.count;
  StartsLine line(now, step, m_config->version, RegistrationsAge(now));
  for (task.index = 0; task.index < spec.count; ++task.index) {
    Worker* worker = usable[static_cast<std::size_t>(chosen[static_cast<std::size_t>(task.index)])];
    state.tasks[static_cast<std::size_t>(task.index)].saved = saved;
    if (StartTask(now, worker, task, run + 1, m_advice.Ticket(now, step_name, worker->info))) {
      line.Add(task.index, run + 1, worker->info.id);
    }
  }
  line.Write();
}

void Scheduler::MoveLongRunningOffDraining(TimePoint now) {
  for (auto& [id, worker] : m_workers) {
    if (!worker.info.draining || worker.failed_renewals > 0) {
      continue;
    }
    for (auto& [task, run] : worker.runs) {
      if (task.spec().long_running && !run.stopping && run.phase == RunPhase::kRunning) {
        StopRun(now, &worker, task, &run, "the worker drains");
      }
    }
  }
}

}  // namespace cranberryplank
