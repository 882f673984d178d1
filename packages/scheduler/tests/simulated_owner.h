#ifndef CRANBERRYPLANK_SCHEDULER_TESTS_SIMULATED_OWNER_H_
#define CRANBERRYPLANK_SCHEDULER_TESTS_SIMULATED_OWNER_H_

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cranberryplank/scheduler/earlier_owners.h"
#include "cranberryplank/scheduler/scheduler.h"
#include "simulated_workers.h"

namespace cranberryplank {

/// Time for which an owner may act after it last confirmed its claim.
constexpr Duration kAuthority{8'000};
constexpr Duration kAuthorityMargin{300};

/// Identifies the queue of `TestConfig`.
constexpr const char* kTestQueueId = "host/jobs/";

/// Returns a configuration with one queue. @param version higher ones have other names for it
inline std::shared_ptr<const ClusterConfig> TestConfig(std::uint64_t version = 1) {
  ClusterConfig config;
  config.version = version;
  QueueConfig queue;
  queue.name = "queue";
  queue.host = "host";
  queue.path_prefix = "/jobs/";
  queue.pool = "pool";
  queue.max_attempts = 50;
  queue.stretch = 2;
  queue.objective = Duration(1'000);
  queue.name += version > 1 ? std::to_string(version) : "";
  config.queues.push_back(queue);
  config.pools["pool"] = {"pool", false, false};
  return std::make_shared<const ClusterConfig>(config);
}

/// Returns a job with one task, for the queue of `TestConfig`.
inline JobSpec OneTask(const std::string& id, Duration estimate) {
  JobSpec spec;
  spec.id = id;
  spec.queue = "queue";
  spec.queue_path = kTestQueueId;
  spec.pool = "pool";
  StepSpec step;
  step.count = 1;
  step.per_task = {1'000, 1'000, 0};
  step.estimate_ms = estimate.count();
  spec.steps.push_back(step);
  return spec;
}

/// Store contents; only the owner with the newest claim may write.
struct DurableState {
  std::uint64_t epoch = 0;
  TimePoint claimed_at{};
  std::vector<EarlierOwner> earlier;  ///< Owners that might act at the time of the claim.
  int claims = 0;
  std::map<std::string, std::string> records;
  std::map<std::string, std::string> progress;
  std::vector<RecordedWorker> workers;
  std::map<std::string, QueueRecord> queues;                   ///< By id.
  std::shared_ptr<const ClusterConfig> config = TestConfig();  ///< The operators' newest one.
};

/// One owner of the schedule, with its scheduler, its link and its access to the store.
class Owner {
 public:
  Owner(TimePoint now, SimulatedWorkers* workers, DurableState* store)
      : m_link(workers), m_scheduler(SchedulerSettings{}, &m_link), m_store(store), m_now(now) {
    m_link.Connect(&m_scheduler, &m_now);
    if (store->epoch > 0) {
      const auto known_for = std::chrono::duration_cast<Duration>(now - store->claimed_at);
      store->earlier = OwnersBeforeClaim(IdentityOf(store->epoch), store->earlier, known_for,
                                         kAuthority + kAuthorityMargin);
    }
    m_earlier = EarlierOwners(store->earlier, now + kAuthority + kAuthorityMargin);
    m_epoch = ++store->epoch;
    m_claimed_at = store->claimed_at = m_confirmed = now;
    m_scheduler.SetConfig(Present(), store->config);
    for (const auto& [name, record] : store->queues) {
      m_scheduler.LoadQueue(record);
    }
    for (const auto& [id, worker] : workers->workers()) {
      if (worker.registered) {
        m_scheduler.SetWorker(Present(), worker.info);
      }
    }
    for (const auto& [id, value] : store->records) {
      const auto progress = store->progress.find(id);
      m_scheduler.LoadJob(
          Present(), id, *DecodeJob(id, value),
          progress == store->progress.end() ? JobProgress{} : *DecodeProgress(progress->second));
    }
    Takeover takeover;
    takeover.epoch = m_epoch;
    takeover.generation = store->claims++;
    takeover.unreconciled_bound =
        m_scheduler.UnheardWorkersBound(now + kAuthority + kAuthorityMargin);
    takeover.workers = store->workers;
    m_scheduler.Begin(Present(), takeover);
  }

  void Tick(TimePoint now) {
    m_now = now;
    if (m_reaches_store && m_store->epoch == m_epoch) {
      m_confirmed = now;
    }
    m_scheduler.SetAuthority({m_confirmed, authority_until()});
    m_scheduler.Tick(Present());
    if (m_reaches_store && m_store->epoch == m_epoch) {
      Store();
    }
  }

  /// Sets whether the owner reaches the store, and the workers that it does not reach.
  void Partition(bool reaches_store, std::set<std::string> cut_off) {
    m_reaches_store = reaches_store;
    m_link.CutOff(std::move(cut_off));
  }
  std::uint64_t epoch() const { return m_epoch; }
  TimePoint authority_until() const {
    return m_stepped_down ? TimePoint{} : m_confirmed + kAuthority;
  }
  /// Ends the authority of an owner that hands over.
  void StepDown() { m_stepped_down = true; }
  static EarlierOwner IdentityOf(std::uint64_t epoch) {
    return {fmt::format("vm{}", epoch), "address", fmt::format("incarnation{}", epoch), epoch};
  }
  EarlierOwners& earlier() { return m_earlier; }
  /// Shortens the wait for workers of earlier owners by what is known of these.
  void ApplyEarlierOwners() {
    m_scheduler.SetEarlierOwnersBound(std::max(m_earlier.act_until(), m_claimed_at));
  }

  void SetRegistration(TimePoint now, const SimulatedWorkers::SimulatedWorker& worker) {
    m_now = now;
    if (worker.registered) {
      m_scheduler.SetWorker(Present(), worker.info);
    } else {
      m_scheduler.RemoveWorker(Present(), worker.info.id);
    }
  }

  Scheduler& scheduler() { return m_scheduler; }

  void Freeze() { m_link.Hold(); }
  /// Handles what arrived while the owner was frozen.
  void Resume(TimePoint now) {
    m_now = now;
    m_link.Release();
  }

 private:
  Now Present() const {
    return {m_now, std::chrono::duration_cast<Duration>(m_now.time_since_epoch()).count()};
  }

  void Store() {
    if (const auto workers = m_scheduler.WorkersToRecord()) {
      m_store->workers = *workers;
      m_scheduler.OnWorkersRecorded(*workers);
    }
    StoreQueues();
    const std::vector<JobChange> changes = m_scheduler.CollectChanges(m_now, 29);
    for (const JobChange& change : changes) {
      if (change.record) {
        m_store->records[change.job] = *change.record;
      }
      if (change.progress) {
        m_store->progress[change.job] = *change.progress;
      }
      if (change.remove_record) {
        m_store->records.erase(change.job);
      }
      if (change.remove_progress) {
        m_store->progress.erase(change.job);
      }
    }
    m_scheduler.OnStored(Present(), changes);
  }

  void StoreQueues() {
    const std::vector<QueueRecord> queues = m_scheduler.CollectQueues(29);
    for (const QueueRecord& record : queues) {
      m_store->queues.erase(record.queue.id());
      if (!record.remove) {
        m_store->queues.emplace(record.queue.id(), record);
      }
    }
    m_scheduler.OnQueuesStored(queues);
  }

  SimulatedLink m_link;
  Scheduler m_scheduler;
  DurableState* m_store;
  TimePoint m_now;
  std::uint64_t m_epoch = 0;
  bool m_reaches_store = true;
  bool m_stepped_down = false;
  TimePoint m_confirmed{};
  TimePoint m_claimed_at{};
  EarlierOwners m_earlier;
};

/// Simulated workers in one pool, the store and the owners of the schedule.
class SimulatedCluster {
 public:
  SimulatedCluster(std::uint64_t seed, int workers, const Resources& capacity) : m_workers(seed) {
    m_workers.Advance(m_now);
    for (int i = 0; i < workers; ++i) {
      m_workers.AddWorker(fmt::format("worker{}", i), "pool", capacity, fmt::format("vm{}", i));
    }
    m_workers.OnRegistration([this](const SimulatedWorkers::SimulatedWorker& worker) {
      for (const auto& owner : m_owners) {
        owner->SetRegistration(m_now, worker);
      }
    });
    ReplaceOwner();
  }
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  SimulatedWorkers& workers() { return m_workers; }
  const SimulatedWorkers& workers() const { return m_workers; }
  Scheduler& scheduler() { return m_owners.back()->scheduler(); }
  /// Returns an owner. @param number 0 for the first one
  Owner& owner(std::size_t number) { return *m_owners.at(number); }
  TimePoint now() const { return m_now; }

  /// Adds an owner that takes over. Earlier owners tick until their authority expires.
  void ReplaceOwner() { m_owners.push_back(std::make_unique<Owner>(m_now, &m_workers, &m_store)); }

  /// Ends the newest owner at once, as a kill does. The next one begins with `ReplaceOwner`.
  void KillOwner() { m_owners.pop_back(); }

  /// The operators store a configuration, which the newest owner receives at once.
  void Configure(const ClusterConfig& config) {
    m_store.config = std::make_shared<const ClusterConfig>(config);
    scheduler().SetConfig({m_now, UnixMs()}, m_store.config);
  }

  void Cancel(const std::string& job) {
    scheduler().Cancel({m_now, UnixMs()}, job, [](bool) {});
  }

  /// Submits a job whose tasks run for `time`.
  void Submit(JobSpec spec, Duration time) {
    m_workers.SetTask(spec.id, spec.steps.front().per_task, time, 0);
    spec.accepted_unix_ms = UnixMs();
    scheduler().Submit({m_now, UnixMs()}, spec, [this, id = spec.id](bool stored) {
      if (stored) {
        m_accepted.insert(id);
      }
    });
  }

  /// Advances by one step. Earlier owners skip a random step now and then.
  void Step() {
    m_now += Duration(10);
    m_workers.Advance(m_now);
    for (const auto& each : m_owners) {
      if (each == m_owners.back() || m_workers.random().Below(20) != 0) {
        each->Tick(m_now);
      }
    }
  }
  /// Advances while the newest owner does not run.
  void RunWithFrozenOwner(Duration time) {
    m_owners.back()->Freeze();
    for (const TimePoint end = m_now + time; m_now < end;) {
      m_now += Duration(10);
      m_workers.Advance(m_now);
    }
    m_owners.back()->Resume(m_now);
  }
  void Run(Duration time) {
    for (const TimePoint end = m_now + time; m_now < end;) {
      Step();
    }
  }
  /// Advances until a worker runs the task, for at most 40 s.
  /// @return the worker, or an empty string
  std::string RunUntilStarted(const std::string& task) {
    for (const TimePoint end = m_now + Duration(40'000); m_now < end; Step()) {
      for (const auto& [id, worker] : m_workers.workers()) {
        if (worker.runs.contains(task)) {
          return id;
        }
      }
    }
    return {};
  }

  /// Returns whether the job's submitter was told that the job is stored.
  bool Accepted(const std::string& job) const { return m_accepted.contains(job); }
  /// Returns whether the store has the job.
  bool Known(const std::string& job) const { return m_store.records.contains(job); }
  /// Returns the stored final state of an accepted job; nothing if it has not ended.
  std::optional<JobState> EndOf(const std::string& job) const {
    const auto record = DecodeJob(job, m_store.records.at(job));
    return record->ended ? std::optional(record->ended->state) : std::nullopt;
  }

 private:
  std::int64_t UnixMs() const {
    return std::chrono::duration_cast<Duration>(m_now.time_since_epoch()).count();
  }

  SimulatedWorkers m_workers;
  DurableState m_store;
  std::set<std::string> m_accepted;
  TimePoint m_now{std::chrono::seconds(1'000)};
  std::vector<std::unique_ptr<Owner>> m_owners;
};

/// Returns the number of seeds to simulate, which the environment can override.
inline std::uint64_t SeedCount(std::uint64_t usual) {
  const char* text = std::getenv("CRANBERRYPLANK_SEEDS");
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/// Returns the first seed to simulate, which the environment can override.
inline std::uint64_t FirstSeed() {
  const char* text = std::getenv("CRANBERRYPLANK_FIRST_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_TESTS_SIMULATED_OWNER_H_
