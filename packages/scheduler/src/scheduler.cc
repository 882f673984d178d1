#include "cranberryplank/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/change_choice.h"

namespace cranberryplank {

namespace {

/// A fence is the owner's epoch times this number, plus a counter that the owner increments.
constexpr std::uint64_t kFencesPerEpoch = 65'536;
/// Run numbers of a later owner are higher than those of all earlier owners.
constexpr int kRunsPerGeneration = 1'000;
constexpr Duration kScheduleInterval{100};
constexpr Duration kExpiryInterval{40};
constexpr Duration kLeaseMargin{150};
/// Records of ended jobs are kept a little longer than the retention time.
constexpr Duration kRetentionMargin{10'000};
constexpr Duration kCleanupInterval{1'000};

PendingChange PendingChangeOf(TimePoint now, const Job& job, bool progress_in_log) {
  PendingChange pending;
  pending.age = std::chrono::duration_cast<Duration>(now - job.changed_at);
  pending.awaited = !job.ended_record && (IsFinal(job.state) || !job.stored);
  pending.entries = !job.ended_record && IsFinal(job.state) && job.progress_stored ? 2 : 1;
  if (progress_in_log && !pending.awaited && !job.ended_record) {
    pending.entries = 0;  // The progress of all jobs shares one entry.
  }
  return pending;
}

JobChange ChangeOf(TimePoint now, const Job& job, bool progress_in_log) {
  JobChange change;
  change.collected = now;
  change.job = job.spec.id;
  change.number = job.change;
  change.done_occurrences = job.done_occurrences.size();
  change.job_ended = IsFinal(job.state);
  if (job.outdated) {
    change.remove_record = true;
  } else if (IsFinal(job.state)) {
    change.record = EncodeEndedJob(
        {job.spec.queue, job.spec.customer, job.state, job.finished_unix_ms, job.spec.queue_path});
    change.remove_progress = job.progress_stored;
  } else if (!job.stored) {
    change.record = EncodeJob(job.spec);
  } else {
    change.progress = EncodeProgress(job.Progress());
    change.progress_in_log = progress_in_log;
  }
  return change;
}

/// Returns a queue for a job of which neither a configuration nor a record in the store has one:
/// daemons of earlier versions did not store the queues that are removed later.
QueueConfig UnrecordedQueueOf(const JobSpec& spec) {
  QueueConfig queue;
  queue.name = spec.queue;
  const std::size_t prefix = std::min(spec.queue_path.find('/'), spec.queue_path.size());
  queue.host = spec.queue_path.substr(0, prefix);
  queue.path_prefix = spec.queue_path.substr(prefix);
  queue.pool = spec.pool;
  queue.priority = 1;
  queue.max_attempts = 3;
  queue.stretch = 2;
  queue.objective = Duration(1'000);
  return queue;
}

}  // namespace

Scheduler::Scheduler(const SchedulerSettings& settings, WorkerLink* link)
    : m_settings(settings), m_link(link) {
  m_jobs.SetMemoryLimit(settings.max_job_bytes);
}

Scheduler::~Scheduler() = default;

void Scheduler::Begin(Now now, const Takeover& takeover) {
  m_active = true;
  m_epoch = takeover.epoch;
  m_first_fence = m_epoch * kFencesPerEpoch;
  m_run_base = takeover.generation * kRunsPerGeneration;
  m_unreconciled_bound = takeover.unreconciled_bound;
  m_unix_ms = now.unix_ms;
  for (const RecordedWorker& worker : takeover.workers) {
    m_unreconciled.emplace(worker.id, worker);
    m_recorded.insert(worker.id);
  }
  for (auto& [id, worker] : m_workers) {
    worker.fence = m_first_fence;
    worker.recorded = m_recorded.contains(id);
    worker.lease_bound = m_unreconciled_bound;
    SetRecordedClock(&worker);
  }
  m_record_changed = true;
  m_share_refilled = now.time;
  LogLine(LogLevel::kInfo, "schedule_begin")
      .Field("epoch", m_epoch)
      .Field("generation", takeover.generation)
      .Field("jobs", m_jobs.jobs().size())
      .Field("recorded_workers", takeover.workers.size());
  if (m_crashes.size() > 0) {
    LogLine(LogLevel::kInfo, "suspects_loaded").Field("runs", m_crashes.size());
  }
  for (const auto& [id, worker] : m_workers) {
    if (worker.has_drained) {
      DropSuspects(now.time, m_crashes.TakeOfIncarnation(worker.info));
    }
  }
  for (const auto& [id, job] : m_jobs.active()) {
    m_queues.AddUnconfigured(UnrecordedQueueOf(job->spec));
    m_queues.Use(job->spec.queue_id());
  }
}

void Scheduler::LoadQueue(QueueRecord record) {
  const QueueConfig* configured = m_config ? m_config->FindQueue(record.queue.name) : nullptr;
  if (record.queue.path().empty() && configured != nullptr && !configured->path().empty()) {
    record.former_key_name = record.queue.name;
    record.queue.host = configured->host;
    record.queue.path_prefix = configured->path_prefix;
  }
  m_queues.Load(record);
}

void Scheduler::ResolveQueuePath(JobSpec* spec) const {
  const QueueConfig* configured = m_config ? m_config->FindQueue(spec->queue) : nullptr;
  if (spec->queue_path.empty() && configured != nullptr) {
    spec->queue_path = configured->path();
  }
}

void Scheduler::LoadJob(Now now, const std::string& id, const JobRecord& record,
                        const JobProgress& progress) {
  Job* job = m_jobs.Load(now.time, now.unix_ms, id, record, progress);
  ResolveQueuePath(&job->spec);
  m_suspects_wait =
      m_suspects_wait || !progress.crashes.empty() || !progress.unconfirmed_crashes.empty();
  LoadSuspects(now.time, job);
}

void Scheduler::SetConfig(Now /*now*/, std::shared_ptr<const ClusterConfig> config) {
  m_config = std::move(config);
  m_queues.SetConfig(*m_config, m_jobs);
  m_schedule_needed = true;
}

void Scheduler::SetEarlierOwnersBound(TimePoint act_until) {
  const TimePoint bound = UnheardWorkersBound(act_until);
  if (bound >= m_unreconciled_bound) {
    return;
  }
  LogLine(LogLevel::kInfo, "earlier_owners_bound")
      .Field("unheard_workers", m_unreconciled.size())
      .Field("sooner_ms",
             std::chrono::duration_cast<Duration>(m_unreconciled_bound - bound).count());
  m_unreconciled_bound = bound;
  for (auto& [id, worker] : m_workers) {
    if (!worker.reconciled) {
      worker.lease_bound = std::min(worker.lease_bound, bound);
    }
  }
}

Duration Scheduler::LongestLease() const {
  return MaxLocalDuration(std::min(m_settings.lease, m_settings.max_lease)) + kLeaseMargin;
}

Duration Scheduler::LongestEarlierLease() const {
  return MaxLocalDuration(m_settings.max_lease) + kLeaseMargin;
}

void Scheduler::SetRecordedClock(Worker* worker) {
  const auto recorded = m_unreconciled.find(worker->info.id);
  // No order reached an earlier incarnation of a worker that is not recorded.
  worker->clock_start_unix_ms = recorded == m_unreconciled.end()
                                    ? worker->info.started_unix_ms
                                    : recorded->second.clock_start_unix_ms;
}

const QueueConfig& Scheduler::QueueOfJob(const Job& job) {
  if (job.queue == nullptr) {
    m_jobs.Find(job.spec.id)->queue = &m_queues.Used(job.spec.queue_id());
  }
  return *job.queue;
}

void Scheduler::SetWorker(Now now, const WorkerInfo& info) {
  auto [it, added] = m_workers.try_emplace(info.id);
  Worker& worker = it->second;
  const bool moved = worker.info.host != info.host || worker.info.port != info.port;
  const bool drains = info.draining && !worker.info.draining;
  if (added || !worker.registered || drains || moved) {
    LogLine(LogLevel::kInfo, "worker_registered")
        .Field("worker", info.id)
        .Field("pool", info.pool)
        .Field("rack", info.rack)
        .Field("draining", info.draining)
        .Field("born", info.started_unix_ms);
  }
  const bool restarted = worker.info.started_unix_ms != 0 && info.started_unix_ms != 0 &&
                         worker.info.started_unix_ms != info.started_unix_ms;
  const std::int64_t known_start = worker.info.started_unix_ms;
  if (drains) {
    DropSuspects(now.time, m_crashes.TakeOfWorker(info.id));
  }
  m_crashes.AddStart(info);
  worker.has_drained = worker.has_drained || info.draining;
  worker.info = info;
  worker.registered = true;
  if (added) {
    worker.first_seen = now.time;
    worker.fence = m_first_fence;
    worker.recorded = m_recorded.contains(info.id);
    worker.lease_bound = m_unreconciled.contains(info.id) ? m_unreconciled_bound : TimePoint{};
    SetRecordedClock(&worker);
    m_record_changed = true;
  }
  if (restarted) {
    // A list of the new incarnation confirms the restart; until then the old one may still run.
    worker.info.started_unix_ms = known_start;
  }
  // The registration of an incarnation that a list has shown may arrive after that list.
  const bool newly_registered = worker.registered_start_unix_ms != info.started_unix_ms;
  worker.registered_start_unix_ms = info.started_unix_ms;
  if (restarted && newly_registered) {
    SuspectRestart(now.time, &worker);
  }
  m_schedule_needed = true;
}

void Scheduler::RemoveWorker(Now /*now*/, const std::string& id) {
  if (Worker* worker = FindWorker(id)) {
    if (worker->registered) {
      LogLine(LogLevel::kInfo, "worker_unregistered")
          .Field("worker", id)
          .Field("runs", worker->runs.size());
    }
    worker->registered = false;
  }
}

Worker* Scheduler::FindWorker(const std::string& id) {
  const auto it = m_workers.find(id);
  return it == m_workers.end() ? nullptr : &it->second;
}

bool Scheduler::Submit(Now now, JobSpec spec, std::function<void(bool stored)> done,
                       const std::optional<QueueConfig>& queue) {
  m_unix_ms = now.unix_ms;
  if (Job* known = m_jobs.Find(spec.id)) {
    if (known->stored) {
      done(true);
    } else {
      known->on_stored.push_back(std::move(done));
    }
    return true;
  }
  if (!m_active || m_fenced) {
    return false;
  }
  ResolveQueuePath(&spec);
  m_queues.AddUnconfigured(queue && queue->id() == spec.queue_id() ? *queue
                                                                   : UnrecordedQueueOf(spec));
  const std::string customer = spec.customer;
  constexpr double kMillicoreMsPerCoreS = 1e6;
  if (!spec.timed() && !spec.steps.front().long_running) {
    m_arrivals[spec.pool].Add(now.time, spec.WorkEstimate() / kMillicoreMsPerCoreS);
  }
  Job* job = m_jobs.Add(now.time, std::move(spec));
  m_queues.Use(job->spec.queue_id());
  job->on_stored.push_back(std::move(done));
  const CustomerConfig* config = m_config ? m_config->FindCustomer(customer) : nullptr;
  if (config != nullptr && config->weight > 0) {
    double& tokens = m_share_tokens.try_emplace(customer, config->weight).first->second;
    job->over_share = tokens < 1;
    tokens -= job->over_share ? 0 : 1;
  }
  return true;
}

void Scheduler::Withdraw(const std::string& id) {
  Job* job = m_jobs.Find(id);
  if (job == nullptr || job->stored) {
    return;
  }
  const auto callbacks = std::move(job->on_stored);
  m_jobs.Remove(id);
  for (const auto& done : callbacks) {
    done(false);
  }
}

bool Scheduler::Cancel(Now now, const std::string& id, std::function<void(bool stored)> done) {
  m_unix_ms = now.unix_ms;
  Job* job = m_jobs.Find(id);
  if (job == nullptr) {
    return false;
  }
  if (IsFinal(job->state)) {
    if (job->change == 0) {
      done(true);
    } else {
      job->on_stored.push_back(std::move(done));
    }
    return true;
  }
  job->on_stored.push_back(std::move(done));
  ++m_counters.jobs_cancelled;
  EndJob(now.time, job, JobState::kCancelled);
  return true;
}

std::optional<JobState> Scheduler::StateOf(const std::string& id) const {
  const Job* job = m_jobs.Find(id);
  if (job == nullptr || !job->stored) {
    return std::nullopt;
  }
  if (IsFinal(job->stored_state)) {
    return job->stored_state;
  }
  return job->started ? JobState::kRunning : JobState::kQueued;
}

const JobSpec* Scheduler::SpecOf(const std::string& id) const {
  const Job* job = m_jobs.Find(id);
  return job == nullptr ? nullptr : &job->spec;
}

int Scheduler::WaitingJobs(std::string_view queue) const {
  int count = 0;
  for (const auto& [id, job] : m_jobs.active()) {
    if (job->spec.queue_id() == queue && job->stored && !job->started) {
      ++count;
    }
  }
  return count;
}

void Scheduler::Tick(Now now) {
  m_unix_ms = now.unix_ms;
  if (!m_active) {
    return;
  }
  const double refill = std::chrono::duration<double>(now.time - m_share_refilled).count();
  m_share_refilled = now.time;
  if (m_config) {
    for (const CustomerConfig& customer : m_config->customers) {
      double& tokens = m_share_tokens.try_emplace(customer.name, customer.weight).first->second;
      tokens = std::min(tokens + refill * customer.weight, customer.weight);
    }
  }
  if (m_jobs.OpenDue(now.time, now.unix_ms)) {
    m_schedule_needed = true;
  }
  // What keeps running work alive goes before new starts.
  SendRenewals(now.time);
  if (now.time - m_last_expiry >= kExpiryInterval) {
    m_last_expiry = now.time;
    ExpireWorkers(now.time);
    HandleCrashes(now.time);
    MoveLongRunningOffDraining(now.time);
  }
  EvacuateZones(now.time);
  WatchRuns(now.time);
  SendStops(now.time);
  if (m_schedule_needed || now.time - m_last_schedule >= kScheduleInterval ||
      now.time >= m_rack_wait_ends) {
    Schedule(now.time);
  }
  RemoveOldJobs(now);
}

void Scheduler::RemoveOldJobs(Now now) {
  if (now.time - m_last_cleanup < kCleanupInterval) {
    return;
  }
  m_last_cleanup = now.time;
  const std::int64_t oldest = now.unix_ms - (m_settings.retention + kRetentionMargin).count();
  std::vector<Job*> old;
  for (const auto& [id, job] : m_jobs.jobs()) {
    if (job->ended_record && job->change == 0 && job->finished_unix_ms < oldest) {
      old.push_back(job.get());
    }
  }
  for (Job* job : old) {
    job->outdated = true;
    m_jobs.MarkChanged(now.time, job);
  }
  m_queues.FindOutdated(m_jobs);
}

void Scheduler::OnQueuesStored(std::span<const QueueRecord> queues) {
  m_queues.OnStored(queues);
  m_schedule_needed = true;
}

std::vector<JobChange> Scheduler::CollectChanges(TimePoint now, std::size_t max_entries,
                                                 std::span<const QueueRecord> queues) {
  std::vector<Job*> jobs;
  std::vector<PendingChange> pending;
  for (const auto& [number, job] : m_jobs.changed()) {
    const bool waits =
        !job->stored && !IsFinal(job->state) && !m_queues.IsRecorded(job->spec.queue_id(), queues);
    if (job->being_stored || waits) {
      continue;
    }
    jobs.push_back(job);
    pending.push_back(PendingChangeOf(now, *job, m_progress_in_log));
  }
  std::vector<JobChange> changes;
  for (const std::size_t index : ChooseChanges(pending, max_entries)) {
    changes.push_back(ChangeOf(now, *jobs[index], m_progress_in_log));
    jobs[index]->being_stored = true;
    ++m_being_stored;
  }
  return changes;
}

void Scheduler::ReleaseChanges(std::span<const JobChange> changes) {
  for (const JobChange& change : changes) {
    if (Job* job = m_jobs.Find(change.job); job != nullptr && job->being_stored) {
      job->being_stored = false;
      --m_being_stored;
    }
  }
}

std::size_t Scheduler::WaitingChanges() const { return m_jobs.changed().size() - m_being_stored; }

void Scheduler::SetProgressInLog(TimePoint now, bool in_log) {
  if (in_log == m_progress_in_log) {
    return;
  }
  LogLine(LogLevel::kInfo, "progress_format").Field("in_log", in_log);
  m_progress_in_log = in_log;
  if (in_log) {
    return;  // Entries of single jobs stay valid until there is newer progress.
  }
  for (const auto& [id, job] : m_jobs.active()) {
    if (job->stored) {
      m_jobs.MarkChanged(now, job);
    }
  }
}

Duration Scheduler::OldestUnstored(TimePoint now) const {
  TimePoint oldest = now;
  for (const auto& [number, job] : m_jobs.changed()) {
    oldest = std::min(oldest, job->changed_at);
  }
  return std::chrono::duration_cast<Duration>(now - oldest);
}

void Scheduler::OnStored(Now now, std::span<const JobChange> changes) {
  ReleaseChanges(changes);
  for (const JobChange& change : changes) {
    Job* job = m_jobs.Find(change.job);
    if (job == nullptr) {
      continue;
    }
    const bool current = job->change == change.number;
    m_jobs.MarkStored(change.collected, job, change.number, change.done_occurrences);
    job->progress_stored = job->progress_stored || (change.progress && !change.progress_in_log);
    if (change.remove_record) {
      m_jobs.Remove(change.job);
      continue;
    }
    if (current && IsFinal(job->state)) {
      job->stored_state = job->state;
      job->ended_record = true;
      m_jobs.ReleasePayload(job);
    }
    if (!current) {
      continue;
    }
    const auto callbacks = std::move(job->on_stored);
    job->on_stored.clear();
    for (const auto& done : callbacks) {
      done(true);
    }
  }
  m_schedule_needed = true;
  ReleaseAcknowledged(now.time);
}

std::optional<std::vector<RecordedWorker>> Scheduler::WorkersToRecord() const {
  if (!m_active || !m_record_changed) {
    return std::nullopt;
  }
  std::vector<RecordedWorker> workers;
  for (const auto& [id, worker] : m_workers) {
    if (worker.recorded || worker.failed_renewals == 0 || !worker.runs.empty()) {
      workers.push_back({id, worker.info.pool, worker.clock_start_unix_ms, worker.info.vm});
    }
  }
  for (const auto& [id, worker] : m_unreconciled) {
    if (!m_workers.contains(id)) {
      workers.push_back(worker);
    }
  }
  return workers;
}

void Scheduler::OnWorkersRecorded(std::span<const RecordedWorker> workers) {
  m_recorded.clear();
  for (const RecordedWorker& worker : workers) {
    m_recorded.insert(worker.id);
  }
  m_record_changed = false;
  for (auto& [id, worker] : m_workers) {
    worker.recorded = m_recorded.contains(id);
    m_record_changed = m_record_changed || (!worker.recorded && worker.failed_renewals == 0);
  }
  m_schedule_needed = true;
}

}  // namespace cranberryplank
