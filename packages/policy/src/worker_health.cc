#include "cranberryplank/policy/worker_health.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cranberryplank {

namespace {

constexpr double kHalfLifeSeconds = 30;
// Sum of failure weights since the last success that causes quarantine. It is below the 8 slots of
// a worker, whose slot penalties prevent further placements until these failures are counted.
constexpr double kQuarantineFailureWeight = 3;
constexpr int kFaultyJobRacks = 3;
constexpr int kGoodProbesToRelease = 3;
constexpr Duration kFirstProbeInterval{5'000};
constexpr Duration kLongestProbeInterval{300'000};
// Interval between successful probes of one quarantine.
constexpr Duration kProbeIntervalAfterSuccess{500};
// Below this sum of failure weights a worker is not suspect, because others fail the same jobs.
constexpr double kSuspectFailureWeight = 0.3;
// A suspicion ends with the next success. Without one it expires only after a long time, because a
// worker of an idle pool may receive no work that would confirm it.
constexpr Duration kSuspectTime{600'000};
// Other daemons repeat their reports every 200 to 500 ms while the suspicion lasts.
constexpr Duration kPeerSuspectTime{1'000};
// Maximum number of jobs whose failures are stored; limits the memory use.
constexpr std::size_t kMaxJobs = 10'000;

}  // namespace

double WorkerHealth::DecayingCount::At(TimePoint now) const {
  const double seconds = std::chrono::duration<double>(now - time).count();
  return seconds <= 0 ? value : value * std::exp2(-seconds / kHalfLifeSeconds);
}

void WorkerHealth::DecayingCount::Add(TimePoint now, double amount) {
  value = std::max(0.0, At(now) + amount);
  time = now;
}

void WorkerHealth::RecordSuccess(TimePoint now, const JobRun& run) {
  m_kinds[run.kind].successes.Add(now, 1);
  Worker& worker = m_workers[run.vm];
  worker.kinds[run.kind].successes.Add(now, 1);
  worker.failure_weight = 0;
  worker.suspect_until = TimePoint();
  // A run that started before the worker began to fail does not show that it has recovered.
  worker.cleared_locally = worker.cleared_locally || run.started > worker.peer_suspect_since;
  if (!worker.quarantined) {
    return;
  }
  worker.next_probe = now + kProbeIntervalAfterSuccess;
  if (++worker.good_probes >= kGoodProbesToRelease) {
    worker.quarantined = false;
  }
}

double WorkerHealth::FailureWeight(TimePoint now, const JobRun& run) const {
  // Success rate of other workers for jobs of the same kind. One success and one failure are
  // assumed as a prior.
  double successes = 1;
  double failures = 1;
  const auto kind = m_kinds.find(run.kind);
  if (kind != m_kinds.end()) {
    successes += kind->second.successes.At(now);
    failures += kind->second.failures.At(now);
  }
  const auto worker = m_workers.find(run.vm);
  if (worker != m_workers.end()) {
    const auto own = worker->second.kinds.find(run.kind);
    if (own != worker->second.kinds.end()) {
      successes -= own->second.successes.At(now);
      failures -= own->second.failures.At(now);
    }
  }
  successes = std::max(1.0, successes);
  failures = std::max(1.0, failures);
  return successes / (successes + failures);
}

WorkerHealth::Job& WorkerHealth::FindOrAddJob(const std::string& job) {
  const auto [entry, added] = m_jobs.try_emplace(job);
  if (added) {
    m_job_order.push_back(job);
  }
  while (m_job_order.size() > kMaxJobs) {
    m_jobs.erase(m_job_order.front());
    m_job_order.pop_front();
  }
  return m_jobs[job];
}

FailureEffect WorkerHealth::RecordFailure(TimePoint now, const JobRun& run, Duration expected) {
  Worker& worker = m_workers[run.vm];
  std::erase_if(worker.penalties, [&](TimePoint end) { return end <= now; });
  worker.penalties.push_back(now + expected);

  Job& job = FindOrAddJob(run.job);
  if (job.faulty) {
    return FailureEffect::kFaultyJob;
  }
  const double weight = FailureWeight(now, run);
  m_kinds[run.kind].failures.Add(now, 1);
  worker.kinds[run.kind].failures.Add(now, 1);
  job.weighted_failures.push_back(WeightedFailure{run.vm, run.rack, weight});
  std::set<std::string_view> racks;
  std::set<std::string_view> vms;
  for (const WeightedFailure& earlier : job.weighted_failures) {
    racks.insert(earlier.rack);
    vms.insert(earlier.vm);
  }
  if (racks.size() >= kFaultyJobRacks && vms.size() >= kFaultyJobRacks) {
    job.faulty = true;
    ClearFailures(now, run.kind, &job);
    return FailureEffect::kFaultyJob;
  }
  if (worker.quarantined) {
    worker.good_probes = 0;
    worker.probe_interval = std::min(worker.probe_interval * 2, kLongestProbeInterval);
    worker.next_probe = now + worker.probe_interval;
    return FailureEffect::kCounted;
  }
  worker.failure_weight += weight;
  if (worker.failure_weight >= kSuspectFailureWeight) {
    worker.suspect_until = now + kSuspectTime;
  }
  if (worker.failure_weight < kQuarantineFailureWeight) {
    return FailureEffect::kCounted;
  }
  worker.quarantined = true;
  worker.good_probes = 0;
  worker.probe_interval = kFirstProbeInterval;
  worker.next_probe = now + kFirstProbeInterval;
  return FailureEffect::kQuarantined;
}

void WorkerHealth::ClearFailures(TimePoint now, const std::string& kind, Job* job) {
  for (const WeightedFailure& failure : job->weighted_failures) {
    m_kinds[kind].failures.Add(now, -1);
    const auto found = m_workers.find(failure.vm);
    if (found == m_workers.end()) {
      continue;
    }
    Worker& worker = found->second;
    worker.kinds[kind].failures.Add(now, -1);
    worker.failure_weight = std::max(0.0, worker.failure_weight - failure.weight);
    if (worker.failure_weight < kSuspectFailureWeight) {
      worker.suspect_until = TimePoint();
    }
    if (worker.quarantined && worker.failure_weight < kQuarantineFailureWeight) {
      worker.quarantined = false;
    }
  }
  job->weighted_failures.clear();
}

bool WorkerHealth::Quarantined(std::string_view vm) const {
  const auto found = m_workers.find(vm);
  return found != m_workers.end() && found->second.quarantined;
}

bool WorkerHealth::Suspect(TimePoint now, std::string_view vm) const {
  const auto found = m_workers.find(vm);
  return found != m_workers.end() &&
         (found->second.quarantined || found->second.suspect_until > now ||
          (found->second.peer_suspect_until > now && !found->second.cleared_locally));
}

std::vector<std::string> WorkerHealth::SuspectVms(TimePoint now) const {
  std::vector<std::string> vms;
  for (const auto& [vm, worker] : m_workers) {
    if (worker.quarantined || worker.suspect_until > now) {
      vms.push_back(vm);
    }
  }
  return vms;
}

std::vector<std::string> WorkerHealth::PeerSuspectVms(TimePoint now) const {
  std::vector<std::string> vms;
  for (const auto& [vm, worker] : m_workers) {
    const bool here = worker.quarantined || worker.suspect_until > now;
    if (!here && worker.peer_suspect_until > now && !worker.cleared_locally) {
      vms.push_back(vm);
    }
  }
  return vms;
}

void WorkerHealth::RecordPeerSuspicion(TimePoint now, std::string_view vm) {
  Worker& worker = m_workers[std::string(vm)];
  if (worker.peer_suspect_until <= now) {
    worker.cleared_locally = false;
    worker.peer_suspect_since = now;
  }
  worker.peer_suspect_until = now + kPeerSuspectTime;
}

bool WorkerHealth::ProbeDue(TimePoint now, std::string_view vm) const {
  const auto found = m_workers.find(vm);
  return found != m_workers.end() && found->second.quarantined && found->second.next_probe <= now;
}

void WorkerHealth::BeginProbe(TimePoint now, std::string_view vm) {
  const auto found = m_workers.find(vm);
  if (found != m_workers.end()) {
    found->second.next_probe = now + found->second.probe_interval;
  }
}

int WorkerHealth::PenaltySlots(TimePoint now, std::string_view vm) const {
  const auto found = m_workers.find(vm);
  if (found == m_workers.end()) {
    return 0;
  }
  const std::vector<TimePoint>& penalties = found->second.penalties;
  return static_cast<int>(
      std::count_if(penalties.begin(), penalties.end(), [&](TimePoint end) { return end > now; }));
}

bool WorkerHealth::FaultyJob(std::string_view job) const {
  const auto found = m_jobs.find(job);
  return found != m_jobs.end() && found->second.faulty;
}

void WorkerHealth::Forget(std::string_view vm) {
  const auto found = m_workers.find(vm);
  if (found != m_workers.end()) {
    m_workers.erase(found);
  }
}

std::vector<std::string> WorkerHealth::QuarantinedVms() const {
  std::vector<std::string> vms;
  for (const auto& [vm, worker] : m_workers) {
    if (worker.quarantined) {
      vms.push_back(vm);
    }
  }
  return vms;
}

}  // namespace cranberryplank
