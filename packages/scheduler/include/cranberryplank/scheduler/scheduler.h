#ifndef CRANBERRYPLANK_SCHEDULER_SCHEDULER_H_
#define CRANBERRYPLANK_SCHEDULER_SCHEDULER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/scheduler/advice_cache.h"
#include "cranberryplank/scheduler/cluster_config.h"
#include "cranberryplank/scheduler/crash_ledger.h"
#include "cranberryplank/scheduler/job_order.h"
#include "cranberryplank/scheduler/job_table.h"
#include "cranberryplank/scheduler/pool_planner.h"
#include "cranberryplank/scheduler/queue_table.h"
#include "cranberryplank/scheduler/worker_link.h"
#include "cranberryplank/scheduler/worker_table.h"
#include "cranberryplank/scheduler/zone_evacuation.h"

namespace cranberryplank {

/// Times used by the scheduler. Those that the platform defines come from the settings.
struct SchedulerSettings {
  Duration lease{3'000};         ///< Lease granted to runs, renewed well before it expires.
  Duration max_lease{6'000};     ///< Longest lease that a worker grants.
  Duration stop_time{900};       ///< Longest time that a stop takes.
  Duration retention{120'000};   ///< How long the state of an ended job is kept.
  Duration renewal_wait{1'000};  ///< How long a worker may delay its reply until a run ends.
  Duration drain_time{2'000};  ///< A worker accepts starts for this long after it reports to drain.
  /// No worker of a zone begins a start later than this after operators requested the zone's
  /// evacuation; nothing if zones are not evacuated.
  std::optional<Duration> evacuation_bound;
  /// Memory of all jobs; further ones are refused, in bytes.
  std::size_t max_job_bytes = std::numeric_limits<std::size_t>::max();
  double far_factor = 1;  ///< Duration of a task away from its data; 1: none waits for its rack.
};

/// Current time on the two clocks that decisions use.
struct Now {
  TimePoint time{};
  std::int64_t unix_ms = 0;
};

/// Right of an owner to act.
struct Authority {
  /// Sending time of the newest call by which the store confirmed the ownership. No other daemon
  /// had claimed the schedule by then.
  TimePoint confirmed{};
  TimePoint until{};  ///< No order is sent after that.
};

/// A change of one job that must be stored.
struct JobChange {
  std::string job;
  std::uint64_t number = 0;
  TimePoint collected{};                ///< The job's changes up to then are included.
  std::optional<std::string> record;    ///< New value of the job's record.
  std::optional<std::string> progress;  ///< New value of the job's progress.
  bool progress_in_log = false;         ///< `progress` goes to the log that all jobs share.
  std::size_t done_occurrences = 0;     ///< Number of the job's done occurrences that are included.
  bool job_ended = false;
  bool remove_progress = false;  ///< Remove the job's own entry of progress.
  bool remove_record = false;
};

/// A worker on which tasks may run, as recorded in the store for the next owner.
struct RecordedWorker {
  std::string id;
  std::string pool;
  std::int64_t clock_start_unix_ms = 0;  ///< As in `Worker`; 0 if it is not known.
  std::string vm;                        ///< Empty if it is not known.
};

/// State that a new owner takes over from the store.
struct Takeover {
  std::uint64_t epoch = 0;         ///< Revision of the claim, unique to each owner.
  int generation = 0;              ///< Number of earlier claims.
  TimePoint unreconciled_bound{};  ///< Runs on workers that do not reply have ended by then.
  std::vector<RecordedWorker> workers;
};

struct SchedulerCounters {
  std::uint64_t starts = 0;
  std::uint64_t start_failures = 0;
  std::uint64_t uncertain_starts = 0;
  std::uint64_t stops = 0;
  std::uint64_t renewals = 0;
  std::uint64_t failed_renewals = 0;
  std::uint64_t tasks_done = 0;
  std::uint64_t tasks_failed = 0;
  std::uint64_t ends_stored = 0;  ///< Ended runs whose changes are stored.
  std::uint64_t runs_lost = 0;
  std::uint64_t restarted_workers = 0;
  std::uint64_t worker_crashes = 0;  ///< Counted once for each run that had just begun.
  std::uint64_t crashing_tasks = 0;  ///< Given up because workers crashed under them.
  std::uint64_t locality_waits = 0;  ///< Steps that began to wait for the rack of their data.
  std::uint64_t jobs_done = 0;
  std::uint64_t jobs_failed = 0;
  std::uint64_t jobs_cancelled = 0;
};

/// Schedules the tasks of all jobs on the workers of their pools. It renews the leases, reads from
/// the workers' lists which runs exist, and decides which runs to start and stop. It does no I/O.
/// Orders go to a WorkerLink, and the caller collects the changes to store. Only one owner acts at
/// a time, because orders carry a fence derived from the owner's epoch and none is sent after the
/// authority has expired.
class Scheduler : public WorkerEvents {
 public:
  Scheduler(const SchedulerSettings& settings, WorkerLink* link);
  ~Scheduler() override;
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  void SetSettings(const SchedulerSettings& settings) {
    m_settings = settings;
    m_jobs.SetMemoryLimit(settings.max_job_bytes);
  }
  const SchedulerSettings& settings() const { return m_settings; }

  /// Begins to act as owner; jobs must have been loaded with `LoadJob`.
  void Begin(Now now, const Takeover& takeover);
  /// Reports that all earlier owners stop acting by `act_until`, so no lease that they granted is
  /// newer.
  void SetEarlierOwnersBound(TimePoint act_until);
  /// Returns the longest time on this daemon's clock for which a lease granted by an owner lasts.
  Duration LongestLease() const;
  /// Returns the same for an order by the clock of an earlier incarnation of the worker, counted
  /// from the time when it took effect.
  Duration LongestEarlierLease() const;
  /// Returns when all runs have ended on workers that this owner has not heard of. Each of them may
  /// have restarted, and have received an order by the clock of its earlier incarnation since.
  /// @param act_until when all earlier owners stop acting
  TimePoint UnheardWorkersBound(TimePoint act_until) const {
    return act_until + LongestEarlierLease();
  }
  void SetAuthority(const Authority& authority) { m_authority = authority; }
  const Authority& authority() const { return m_authority; }
  /// Returns whether the lease of a run has ended that lasts until `bound` at most. Time alone does
  /// not show this to an owner: after `bound`, a successor that it has not heard of may have seen
  /// the end of the run. So the store must have confirmed the ownership after it.
  bool HasExpired(TimePoint bound) const { return m_authority.confirmed > bound; }
  /// Returns whether a decision waits until the store confirms the ownership again.
  bool ConfirmationWanted() const { return m_active && !HasExpired(m_confirmation_wanted); }
  /// Reports that every change of a registration that was acknowledged before `time` is known.
  /// Tasks are started only while the registrations are newer than the time that a worker drains.
  void SetRegistrationsKnownUntil(TimePoint time) { m_registrations_known_until = time; }
  /// Returns how old the registrations may be; 0 if that was never reported.
  Duration RegistrationsAge(TimePoint now) const;

  void LoadJob(Now now, const std::string& id, const JobRecord& record,
               const JobProgress& progress);
  /// Takes over a queue's record from the store. To be called before `Begin`.
  void LoadQueue(QueueRecord record);
  void SetConfig(Now now, std::shared_ptr<const ClusterConfig> config);
  const ClusterConfig* config() const { return m_config.get(); }
  void SetWorker(Now now, const WorkerInfo& info);
  /// Reports that the worker's registration was removed. Its runs may continue.
  void RemoveWorker(Now now, const std::string& id);

  /// Accepts a new job, or finds the existing one with the same id.
  /// @param done called once with whether the job is stored; not called if false is returned
  /// @param queue the job's queue, as the daemon that received the job knows it. It is used if no
  ///   configuration of this owner has the queue. If it is missing too, the job is run with usual
  ///   settings in the pool of its spec.
  /// @return false if the job is not known and the scheduler can not accept it
  bool Submit(Now now, JobSpec spec, std::function<void(bool stored)> done,
              const std::optional<QueueConfig>& queue = {});
  /// Withdraws a job that certainly was never stored, and calls `done` of its submission with
  /// false.
  void Withdraw(const std::string& id);
  /// Cancels a job. @param done called once the cancellation is stored
  /// @return false if there is no such job
  bool Cancel(Now now, const std::string& id, std::function<void(bool stored)> done);
  /// Returns the stored state of a job. @return nothing if there is no such job
  std::optional<JobState> StateOf(const std::string& id) const;
  /// Returns a job as it was submitted; only id, queue and customer of one that has ended.
  /// @return nullptr if there is no such job
  const JobSpec* SpecOf(const std::string& id) const;
  /// Returns the number of accepted jobs of a queue without a started task.
  /// @param queue id of the queue
  int WaitingJobs(std::string_view queue) const;

  /// Executes all due work. Must be called every few milliseconds.
  void Tick(Now now);

  /// Collects records of queues to store. They must be stored one after the other.
  std::vector<QueueRecord> CollectQueues(std::size_t max) { return m_queues.Collect(max, m_jobs); }
  /// Reports that collected records of queues were certainly not stored.
  void ReleaseQueues(std::span<const QueueRecord> queues) { m_queues.Release(queues); }
  void OnQueuesStored(std::span<const QueueRecord> queues);
  /// Collects changes to store, oldest first, with at most `max_entries` keys in total. Further
  /// changes of their jobs are collected only after `OnStored` or `ReleaseChanges`. A new job waits
  /// until the store has the newest settings of its queue.
  /// @param queues records of queues in the same transaction
  std::vector<JobChange> CollectChanges(TimePoint now, std::size_t max_entries,
                                        std::span<const QueueRecord> queues = {});
  /// Reports that collected changes were certainly not stored.
  void ReleaseChanges(std::span<const JobChange> changes);
  /// Returns the number of jobs with changes to collect.
  std::size_t WaitingChanges() const;
  /// Sets whether progress is stored in a log that all jobs share, or in an entry for each job.
  /// When a daemon of an earlier version may take over, which knows only the latter, the progress
  /// of all jobs is stored again in that form.
  void SetProgressInLog(TimePoint now, bool in_log);
  /// Returns the age of the oldest change that is not stored.
  Duration OldestUnstored(TimePoint now) const;
  void OnStored(Now now, std::span<const JobChange> changes);
  /// Returns the workers to record, if the record in the store is not up to date.
  std::optional<std::vector<RecordedWorker>> WorkersToRecord() const;
  void OnWorkersRecorded(std::span<const RecordedWorker> workers);

  // WorkerEvents
  void OnLeaseRenewal(TimePoint now, const std::string& worker,
                      const LeaseRenewalReply& reply) override;
  void OnStart(TimePoint now, const std::string& worker, const StartOrder& order,
               const OrderReply& reply) override;
  void OnStop(TimePoint now, const std::string& worker, const StopOrder& order,
              const OrderReply& reply) override;
  void OnThrottle(TimePoint now, const std::string& worker, const ThrottleOrder& order,
                  const OrderReply& reply) override;
  void OnAdvice(TimePoint now, const AdviceOrder& order, const AdviceReply& reply) override;

  /// Returns whether a worker has refused this owner's fence, which means that another owner acts.
  bool fenced() const { return m_fenced; }
  const SchedulerCounters& counters() const { return m_counters; }
  const JobTable& job_table() const { return m_jobs; }
  const QueueTable& queues() const { return m_queues; }
  const std::map<std::string, Worker>& workers() const { return m_workers; }

  /// Orders a run to stop; its task is started again, preferably on another worker, unless its job
  /// has ended.
  void StopRun(TimePoint now, Worker* worker, const TaskRef& task, PlacedRun* run,
               std::string_view reason);
  /// Reports that the worker's VM was shut down, so nothing runs there any more.
  void RetireWorker(TimePoint now, const std::string& id);
  /// Workers of earlier owners that this owner has not heard of, by id.
  const std::map<std::string, RecordedWorker>& unreconciled() const { return m_unreconciled; }
  /// Reports that a worker that this owner has not heard of has ended: its VM is shut down or has
  /// another worker. Its tasks need not be waited for once the ownership is confirmed again.
  void RecordWorkerEnded(TimePoint now, const std::string& id);
  /// Orders the runs on a worker to stop as far as that is allowed now: a long-running task only
  /// while its step's limit of unavailable tasks permits it, other tasks only if `all` is set.
  void VacateWorker(TimePoint now, const std::string& id, bool all);
  /// Returns the load of each configured pool; the numbers of VMs are left at 0.
  /// @param with_value also finds out how much of the work has lost its value
  std::vector<JobPoolLoad> PoolLoads(TimePoint now, bool with_value);
  /// Returns the number of workers on which a run could be started in the last placement pass.
  std::size_t usable_workers() const { return m_usable_workers; }
  bool may_act(TimePoint now) const { return MayAct(now); }
  /// Sets the time that this owner takes for a step besides the time of its tasks.
  void SetStepDelay(Duration delay) { m_step_delay = delay; }
  /// Sets how many tasks may be started in one placement pass.
  void SetStartLimit(int starts) { m_start_limit = starts; }
  /// Sets the workers, besides draining ones, on which no run is started.
  void SetClosedWorkers(std::set<std::string> ids) { m_closed = std::move(ids); }
  Worker* FindWorker(const std::string& id);
  /// Sets the availability zones in which no run is started; long-running tasks are moved
  /// elsewhere.
  void SetEvacuatedZones(ZoneSet zones);
  /// Reports that every request for an evacuation acknowledged before `time` is known.
  void SetEvacuationsKnownUntil(TimePoint time) { m_evacuation.SetKnownUntil(time); }
  const ZoneEvacuation& evacuation() const { return m_evacuation; }
  /// Returns the number of runs on workers in evacuated zones.
  int RunsInEvacuatedZones() const;

 private:
  struct WaitingStep;
  struct PoolPass;
  struct StepPlaces;
  struct RackPass;

  bool MayAct(TimePoint now) const { return m_active && !m_fenced && now < m_authority.until; }
  void WantConfirmation(TimePoint after) {
    m_confirmation_wanted = std::max(m_confirmation_wanted, after);
  }
  /// Returns the time after which no start is sent.
  TimePoint StartsUntil() const;
  bool MayStart(TimePoint now) const { return MayAct(now) && now < StartsUntil(); }
  /// Logs when starts pause because the registrations or
  /// the operators' keys are old, and when they resume.
  void LogPause(TimePoint now);
  /// Sets the clock that the earlier owner's deadlines on the worker are on.
  void SetRecordedClock(Worker* worker);
  /// Returns by which settings the job is run.
  const QueueConfig& QueueOfJob(const Job& job);
  /// Sets the path of a job's queue if a daemon of an earlier version has left it out: that of the
  /// queue that has the name now.
  void ResolveQueuePath(JobSpec* spec) const;

  // Leases and lists of runs.
  void SendRenewals(TimePoint now);
  void SendRenewal(TimePoint now, Worker* worker);
  std::int64_t GrantLease(TimePoint now, Worker* worker) const;
  /// Handles a worker's refusal of an order because of its fence. If that fence was the newest,
  /// another owner acts.
  void OnFenceRefused(const Worker& worker, std::uint64_t fence);
  Duration PauseAfterRenewal(const Worker& worker) const;
  void OnRenewalFailed(TimePoint now, Worker* worker, const RenewalInFlight& renewal,
                       CallOutcome outcome);
  void BeginIncarnation(TimePoint now, Worker* worker, std::int64_t started_unix_ms);
  /// Asks for a list, because the worker may have restarted since the newest one.
  void SuspectRestart(TimePoint now, Worker* worker);
  /// Extends the bound of the worker's leases, because deadlines that were granted to an earlier
  /// incarnation may have reached the present one.
  void AwaitEarlierDeadlines(TimePoint now, Worker* worker) const;
  /// Records that deadlines by the clock of an earlier incarnation are no longer in force.
  void ForgetEarlierClock(TimePoint now, Worker* worker);
  static void MarkRecentStartsUncertain(Worker* worker);
  /// Lets the tasks of all runs on a restarted worker wait for a confirmation. The worker has
  /// forgotten whether a successor acknowledged their ends.
  void WaitForConfirmation(TimePoint now, const Worker& worker);
  void ApplyEndedRuns(TimePoint now, Worker* worker, const LeaseRenewalReply& reply);
  void ApplyEndedRun(TimePoint now, Worker* worker, const EndedRun& end);
  /// Ends the wait for ended runs that the worker's first list to this owner left out, once they
  /// have been listed.
  /// @param reply a reply whose ended runs are not applied yet
  void CheckEarlierEnds(Worker* worker, const RenewalInFlight& renewal,
                        const LeaseRenewalReply& reply);
  /// Returns whether an ended run was present when the worker was reconciled or later.
  bool EndedAfterReconciliation(const Worker& worker, const EndedRun& end) const;
  void ApplyList(TimePoint now, Worker* worker, const RenewalInFlight& renewal,
                 const LeaseRenewalReply& reply);
  void ApplyListedRun(TimePoint now, Worker* worker, const RenewalInFlight& renewal,
                      const ListedRun& listed);
  void Adopt(TimePoint now, Worker* worker, const TaskRef& task, const ListedRun& listed);
  void StopUntrackedRun(TimePoint now, Worker* worker, const ListedRun& listed);
  /// Returns whether a run on a worker that does not answer has certainly ended, or is known to
  /// have been on an incarnation of the worker that has.
  bool MayLose(TimePoint now, const Worker& worker, const PlacedRun& run) const;
  void LoseRuns(TimePoint now, Worker* worker, std::string_view reason);
  void ReleaseAcknowledged(TimePoint now);
  void ReleaseAcknowledged(TimePoint now, Worker* worker);
  /// Takes the runs as lost whose leases have ended on workers that do not answer.
  void ExpireWorkers(TimePoint now);
  void ExpireSilentWorker(TimePoint now, Worker* worker);
  /// Ends the wait for workers of earlier owners that have ended, or whose leases have.
  void ExpireUnreconciled(TimePoint now);
  /// Returns whether the task waits for a start and may be started now.
  bool IsDue(TimePoint now, const JobTaskState& task) const;
  void UpdateRun(TimePoint now, const Worker& worker, PlacedRun* run, const TaskRef& task,
                 const ListedRun& listed);

  // Runs.
  bool CanMissOneMore(const TaskRef& task) const;
  PlacedRun* AddRun(TimePoint now, Worker* worker, const TaskRef& task, int run);
  void RemoveRun(TimePoint now, Worker* worker, const TaskRef& task);
  void TaskDone(TimePoint now, const TaskRef& task);
  void TaskFailed(TimePoint now, Worker* worker, const TaskRef& task, int run);
  void EndJob(TimePoint now, Job* job, JobState state);
  void StopRunsOf(TimePoint now, Job* job, std::string_view reason);
  void StopOtherRuns(TimePoint now, const TaskRef& task);
  void SendStops(TimePoint now);
  void ResolveFailedStart(TimePoint now, Worker* worker, const TaskRef& task,
                          const StartOrder& order, CallOutcome outcome);

  // Tasks that crash the workers that start them.
  /// Returns whether the end of the worker is planned, so that it is no crash.
  bool EndsAsPlanned(const Worker& worker) const;
  /// Records the runs that had just begun on a worker that fell silent. They are stored, so that a
  /// crash that is proved under a later owner is counted.
  void RecordSuspects(TimePoint now, const Worker& worker);
  /// The same when the runs are lost; their tasks are suspect from then on.
  void RecordLostRuns(TimePoint now, const Worker& worker);
  /// Takes over the runs that the earlier owner recorded.
  void LoadSuspects(TimePoint now, Job* job);
  /// Removes runs that were taken from the ledger from what is stored with their jobs.
  void DropSuspects(TimePoint now, std::span<const SuspectRun> runs);
  void HandleCrashes(TimePoint now);
  /// Counts a crash against a task, and gives the task up after several.
  void CountCrash(TimePoint now, const SuspectRun& run);
  /// Ends the suspicion of tasks whose worker was only unreachable.
  void ClearUnproved(TimePoint now, const Worker& worker);
  void ClearSuspicion(TimePoint now, const TaskRef& task);
  /// Ends the suspicion of tasks whose worker has outlived their start.
  void ClearOutlived(TimePoint now, Worker* worker);
  /// Returns whether the task must not be started as usual, and records that it waits.
  bool WaitsForTrial(const JobTaskState& task, const StepSpec& spec, const QueueConfig& queue);
  /// Starts at most one suspect task of the step, on a worker that is kept for such tasks and where
  /// no other run has just begun. So a crash hits few other runs, and its cause is known.
  void PlaceSuspects(TimePoint now, const WaitingStep& waiting, PoolPass* pass);
  /// Returns a kept worker on which the task can be started now, or nullptr.
  Worker* FindTrialWorker(TimePoint now, const TaskRef& task, PoolPass* pass);
  /// Keeps one more usable worker with room for the task for suspect tasks, if there is one.
  static Worker* KeepTrialWorker(TimePoint now, const TaskRef& task, PoolPass* pass);
  void StartTrial(TimePoint now, Worker* worker, const TaskRef& task);
  /// Returns how long a worker with a run on trial may delay its reply to a lease renewal.
  static Duration TrialRenewalWait();

  // Placement.
  void Schedule(TimePoint now);
  /// Returns what the order of an occurrence depends on, except for the kind of the step.
  /// @param ends space for the calculation, reused between calls
  OrderInput OrderInputOf(const Job& job, const OccurrenceState& occurrence,
                          const QueueConfig& queue, std::vector<std::int64_t>* ends) const;
  std::vector<WaitingStep> CollectWaiting(TimePoint now);
  void PlaceStep(TimePoint now, const WaitingStep& waiting, PoolPass* pass);
  /// Places the tasks of a step for which not all workers of its pool are equal.
  void PlaceOn(TimePoint now, const WaitingStep& waiting, std::span<Worker* const> workers,
               PoolPass* pass);
  /// Asks the advice service about further workers if tasks of the step still wait.
  void AskForAdvice(TimePoint now, const WaitingStep& waiting, std::span<Worker* const> workers);
  void PlaceTasks(TimePoint now, const WaitingStep& waiting, const StepPlaces& places,
                  PoolPass* pass);
  void PlaceGang(TimePoint now, const WaitingStep& waiting, std::span<Worker* const> usable,
                 PoolPass* pass);
  /// Returns whether tasks of the step may wait for the rack of their data.
  bool MayWaitForRack(const StepSpec& step, const QueueConfig& queue) const;
  /// Returns whether `count` tasks of such a step wait now, and records that they do.
  bool WaitsForRack(TimePoint now, const WaitingStep& waiting, const StepPlaces& places, int count,
                    PoolPass* pass);
  std::map<std::string_view, PoolPass> UsableWorkersByPool();
  bool StartTask(TimePoint now, Worker* worker, const TaskRef& task, int run,
                 std::string_view ticket);
  bool WithinCap(const Job& job, const Resources& more) const;
  /// Returns whether the store has the settings by which the job is run, and no task of the step
  /// may still run on a worker that was not heard of since an earlier owner.
  bool MayPlace(const WaitingStep& waiting) const;
  /// Returns the pools with workers that were not heard of since an earlier owner, or that have not
  /// listed all runs that ended before.
  std::set<std::string, std::less<>> UnheardPools() const;
  void MoveLongRunningOffDraining(TimePoint now);
  void RemoveOldJobs(Now now);

  // Evacuation of availability zones.
  /// Logs evacuations that begin or end, and migrates long-running tasks.
  void EvacuateZones(TimePoint now);
  void LogEvacuation(const std::string& zone, bool begun) const;
  /// Stops a few long-running tasks in evacuated zones, for which there is room elsewhere, as far
  /// as their steps' limits of unavailable tasks permit it.
  void MigrateFromZones(TimePoint now);

  // Monitoring of runs.
  void WatchRuns(TimePoint now);
  /// Stops runs that stall or are too slow. Their tasks are then placed again, preferably on other
  /// workers.
  void StopStragglers(TimePoint now, Worker* worker);
  void ThrottleBestEffortRuns(TimePoint now, Worker* worker);

  SchedulerSettings m_settings;
  WorkerLink* m_link;
  std::shared_ptr<const ClusterConfig> m_config;
  QueueTable m_queues;
  JobTable m_jobs;
  std::map<std::string, Worker> m_workers;
  std::map<std::string, Resources, std::less<>> m_usage;  ///< Running, by customer.
  /// Guaranteed jobs still available, by customer.
  std::map<std::string, double, std::less<>> m_share_tokens;
  TimePoint m_share_refilled{};
  std::map<std::string, ArrivalRate, std::less<>> m_arrivals;  ///< By pool.
  AdviceCache m_advice;
  CrashLedger m_crashes;
  std::set<std::string, std::less<>> m_unheard_pools;  ///< In the current placement pass.
  bool m_suspects_wait = false;                        ///< A suspect task may wait for a start.
  std::set<std::string> m_closed;
  ZoneEvacuation m_evacuation;
  /// Recorded by the earlier owner and not reconciled yet.
  std::map<std::string, RecordedWorker> m_unreconciled;
  std::map<std::string, TimePoint> m_ended_unreconciled;  ///< When these were found to have ended.
  std::set<std::string> m_recorded;
  bool m_record_changed = false;
  bool m_active = false;
  bool m_fenced = false;
  bool m_schedule_needed = false;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_first_fence = 0;  ///< Of a worker that becomes known.
  int m_run_base = 0;
  std::uint64_t m_last_call = 0;
  Authority m_authority;
  TimePoint m_confirmation_wanted{};  ///< A decision waits for a confirmation later than this.
  std::optional<TimePoint> m_registrations_known_until;
  bool m_starts_paused = false;
  TimePoint m_unreconciled_bound{};
  TimePoint m_last_schedule{};
  TimePoint m_last_expiry{};
  bool m_progress_in_log = false;
  std::size_t m_being_stored = 0;  ///< Jobs whose changes were collected.
  int m_start_limit = std::numeric_limits<int>::max();
  std::size_t m_usable_workers = 0;
  Duration m_step_delay{0};
  int m_starts_left = 0;                          ///< In the current placement pass.
  TimePoint m_rack_wait_ends = TimePoint::max();  ///< First end of a wait for a rack.
  TimePoint m_last_watch{};
  TimePoint m_last_cleanup{};
  std::int64_t m_unix_ms = 0;
  SchedulerCounters m_counters;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_SCHEDULER_H_
