#ifndef CRANBERRYPLANK_ENTRY_SCHEDULE_OWNER_H_
#define CRANBERRYPLANK_ENTRY_SCHEDULE_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryplank/entry/cancelled_jobs.h"
#include "cranberryplank/entry/key_value_store.h"
#include "cranberryplank/entry/owner_load_meter.h"
#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/entry/schedule_ownership.h"
#include "cranberryplank/entry/state_writer.h"
#include "cranberryplank/entry/vm_fleet.h"
#include "cranberryplank/entry/watched_prefix.h"
#include "cranberryplank/scheduler/earlier_owners.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// A worker link with a replaceable receiver of replies. Replies to orders that were sent before
/// the last `SetEvents` call are dropped.
class RedirectableWorkerLink : public WorkerLink {
 public:
  virtual void SetEvents(WorkerEvents* events) = 0;
};

struct ScheduleOwnerParts {
  KeyValueStore* store = nullptr;
  RedirectableWorkerLink* workers = nullptr;
  const PlatformFormat* format = nullptr;
  ScheduleOwnership* ownership = nullptr;
  VmControl* machines = nullptr;  ///< nullptr if VMs cannot be moved.
};

/// The schedule while this daemon owns it. It loads the state, runs the scheduler, stores its
/// changes and answers the calls of all daemons.
class ScheduleOwner {
 public:
  using Callback = std::function<void(TimePoint now, const OwnerReply& reply)>;

  ScheduleOwner(const ScheduleOwnerParts& parts, const SchedulerSettings& settings,
                const VmFleetSettings& fleet_settings);
  ~ScheduleOwner();
  ScheduleOwner(const ScheduleOwner&) = delete;
  ScheduleOwner& operator=(const ScheduleOwner&) = delete;

  /// Begins to load the state. `Tick` continues.
  void Begin(Now now);
  void SetConfig(Now now, std::shared_ptr<const ClusterConfig> config);
  void SetWave(TimePoint now, const UpkeepWave& wave);
  void SetSettings(const SchedulerSettings& settings, const VmFleetSettings& fleet_settings);
  void SetEvacuatedZones(ZoneSet zones) { m_scheduler->SetEvacuatedZones(std::move(zones)); }
  /// Reports that every request for an evacuation acknowledged before `time` is known. Without that
  /// no task is started where evacuations are enabled.
  void SetEvacuationsKnownUntil(TimePoint time) { m_scheduler->SetEvacuationsKnownUntil(time); }
  /// Earlier owners that may still act. What is recorded there takes effect with the next `Tick`.
  EarlierOwners* earlier_owners() { return &m_earlier; }
  /// Returns how much longer earlier owners may act.
  Duration EarlierOwnersActFor(TimePoint now) const;
  void Tick(Now now);
  void Handle(Now now, const OwnerCall& call, Callback done);

  /// Answers all waiting calls with kUnknown, so that callers retry with the next owner.
  void End(TimePoint now);

  bool ready() const { return m_ready; }
  /// Returns whether a worker has refused an order because it has seen a higher fence.
  bool fenced() const { return m_ready && m_scheduler->fenced(); }
  Scheduler* scheduler() { return m_scheduler.get(); }
  const VmFleet* fleet() const { return m_fleet.get(); }
  bool store_failing(TimePoint now) const { return m_writer.failing(now); }
  const OwnerLoadMeter& load() const { return m_load; }

  /// Sets whether all daemons that may take over know the progress log.
  void SetProgressInLog(TimePoint now, bool in_log) { m_scheduler->SetProgressInLog(now, in_log); }

 private:
  struct WaitingCount {
    TimePoint counted_at{};
    int jobs = 0;
  };

  /// A call about a job that is not known here.
  struct UnknownJobCall {
    TimePoint asked{};
    OwnerCall call;
    Callback done;
  };

  struct LoadedProgress {
    JobProgress progress;
    std::uint64_t revision = 0;
  };

  void ReadPage();
  void OnPage(const KvReadReply& reply);
  void LoadItem(const KvItem& item);
  bool LoadProgress(const std::string& job, std::string_view value, std::uint64_t revision);
  bool LoadProgressEntry(const KvItem& item);
  void NextPrefix();
  void FinishLoad(Now now);
  /// Shortens the wait for workers of earlier owners as these are known to have stopped.
  void ApplyEarlierOwners(TimePoint now);
  void OnWorkerItem(TimePoint now, const KvItem& item);
  /// Returns a recent count of the jobs of a queue without a started task.
  int WaitingJobs(TimePoint now, const std::string& queue);
  void Submit(Now now, const OwnerCall& call, Callback done);
  void Cancel(Now now, const OwnerCall& call, Callback done);
  /// Cancels a job that is not known. It is answered once later submissions are refused.
  void CancelUnknown(Now now, const OwnerCall& call, Callback done);
  /// Returns the path of the job that the call is about: host, prefix and id.
  std::string JobPathOf(const OwnerCall& call) const { return QueueIdOf(call) + call.job; }
  /// Returns whether "no such job" is true for the waiting call now and will be.
  bool MayDeny(const UnknownJobCall& waiting) const;
  void Answer(std::uint64_t waiting, const OwnerReply& reply);
  /// Returns whether the job that the call is about is known and in the call's queue.
  bool Knows(const OwnerCall& call) const;
  /// Returns whether a job with the call's id is known of which it is not known whether it is in
  /// the call's queue: an earlier version accepted it at a queue that has another name now.
  bool MayBeInQueue(const OwnerCall& call) const;
  /// Returns `QueueConfig::id` of the call's queue.
  std::string QueueIdOf(const OwnerCall& call) const;
  /// Answers the calls about unknown jobs. A daemon may have taken over and accepted the job, so
  /// "no such job" is answered only after a confirmation of the ownership that was sent later than
  /// the call arrived. Without one, the caller is told soon to ask again. To a cancelling it is
  /// answered only once every later submission of the job will be refused.
  void AnswerUnknownJobs(Now now);
  std::uint64_t AddWaitingCall(Callback done);
  /// Limits the starts of the next placement pass by the load, and logs the load.
  void UpdateLoad(TimePoint now);

  ScheduleOwnerParts m_parts;
  std::unique_ptr<Scheduler> m_scheduler;
  StateWriter m_writer;
  CancelledJobs m_cancelled;
  WatchedPrefix m_workers;
  VmFleetSettings m_fleet_settings;
  std::unique_ptr<VmFleet> m_fleet;  ///< Set once the state is loaded.
  std::map<std::int64_t, UpkeepWave> m_waves;
  std::map<std::int64_t, std::set<std::string>> m_wave_progress;
  std::shared_ptr<const ClusterConfig> m_config;
  bool m_ready = false;
  bool m_reading = false;
  int m_prefix = 0;  ///< Index of the prefix being loaded.
  std::string m_last_key;
  TimePoint m_retry_at{};
  std::map<std::string, JobRecord> m_records;
  std::map<std::string, LoadedProgress> m_progress;
  std::vector<RecordedWorker> m_recorded;
  std::vector<QueueRecord> m_queue_records;  ///< Loaded once the configuration is known.
  TimePoint m_started_at{};
  EarlierOwners m_earlier;
  bool m_stored_settled = false;  ///< It was stored that no earlier owner acts any more.
  std::map<std::uint64_t, Callback> m_waiting;  ///< Calls that wait for the store.
  std::uint64_t m_last_waiting = 0;
  std::vector<UnknownJobCall> m_unknown_job_calls;       ///< They wait for a confirmation.
  std::map<std::string, WaitingCount> m_waiting_counts;  ///< By id of the queue.
  OwnerLoadMeter m_load;
  std::uint64_t m_reported_starts = 0;
  std::shared_ptr<int> m_lifetime = std::make_shared<int>(0);
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SCHEDULE_OWNER_H_
