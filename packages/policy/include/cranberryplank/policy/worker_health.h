#ifndef CRANBERRYPLANK_POLICY_WORKER_HEALTH_H_
#define CRANBERRYPLANK_POLICY_WORKER_HEALTH_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Run of a job on a worker. Failure rates are compared among jobs of one kind (team and queue).
struct JobRun {
  std::string vm;
  std::string rack;
  std::string job;      ///< Equal for all attempts of a request.
  std::string kind;     ///< For example "queue/team".
  TimePoint started{};  ///< If unset, a success does not override another daemon's report.
};

/// Effect of a recorded failure.
enum class FailureEffect {
  kCounted,
  kQuarantined,  ///< The worker fails jobs that others complete; it receives only probes.
  kFaultyJob,    ///< The job failed on three workers in different racks; it must not be retried.
};

/// Distinguishes faulty workers, which fail jobs that others complete, from jobs that fail
/// everywhere.
class WorkerHealth {
 public:
  /// Records a completed run.
  void RecordSuccess(TimePoint now, const JobRun& run);

  /// Records a run that failed on the worker.
  /// @param expected estimated run time; the failed slot counts as busy for that long, so that a
  ///   worker that fails immediately does not appear idle
  FailureEffect RecordFailure(TimePoint now, const JobRun& run, Duration expected);

  /// Returns whether a worker is quarantined.
  bool Quarantined(std::string_view vm) const;

  /// Returns whether a worker has failed recently, for this or another daemon, without a success
  /// since. Requests that must not be retried are not placed on it.
  bool Suspect(TimePoint now, std::string_view vm) const;

  /// Returns the workers that failed recently for this daemon, to be reported to the other daemons.
  std::vector<std::string> SuspectVms(TimePoint now) const;

  /// Returns the workers that are suspect only because other daemons report them.
  std::vector<std::string> PeerSuspectVms(TimePoint now) const;

  /// Records that another daemon suspects a worker. Once a run that started after the first report
  /// succeeds for this daemon, the report is ignored for as long as it is repeated.
  void RecordPeerSuspicion(TimePoint now, std::string_view vm);

  /// Returns whether a quarantined worker may receive a job as a probe. The job must be idempotent.
  bool ProbeDue(TimePoint now, std::string_view vm) const;

  /// Records that a probe was sent to a quarantined worker.
  void BeginProbe(TimePoint now, std::string_view vm);

  /// Returns the number of slots of a worker that count as busy because of recent failures.
  int PenaltySlots(TimePoint now, std::string_view vm) const;

  /// Returns whether a job failed on three workers in different racks.
  bool FaultyJob(std::string_view job) const;

  /// Discards the records of a worker that was rebooted or replaced.
  void Forget(std::string_view vm);

  /// Returns the ids of all quarantined workers.
  std::vector<std::string> QuarantinedVms() const;

 private:
  // Count with exponential decay (half-life 30 s), so that old failures lose their weight.
  struct DecayingCount {
    double value = 0;
    TimePoint time;
    double At(TimePoint now) const;
    void Add(TimePoint now, double amount);
  };
  struct KindCounts {
    DecayingCount successes;
    DecayingCount failures;
  };
  struct Worker {
    double failure_weight = 0;  // Sum of failure weights since the last success.
    TimePoint suspect_until;
    TimePoint peer_suspect_until;
    TimePoint peer_suspect_since;
    bool cleared_locally = false;  // A run started since the first report has succeeded.
    std::map<std::string, KindCounts> kinds;
    std::vector<TimePoint> penalties;  // End times of slot penalties.
    bool quarantined = false;
    TimePoint next_probe;
    Duration probe_interval{0};
    int good_probes = 0;
  };
  struct WeightedFailure {
    std::string vm;
    std::string rack;
    double weight = 0;
  };
  struct Job {
    std::vector<WeightedFailure> weighted_failures;
    bool faulty = false;
  };

  double FailureWeight(TimePoint now, const JobRun& run) const;
  Job& FindOrAddJob(const std::string& job);
  void ClearFailures(TimePoint now, const std::string& kind, Job* job);

  std::map<std::string, Worker, std::less<>> m_workers;
  std::map<std::string, KindCounts, std::less<>> m_kinds;
  std::map<std::string, Job, std::less<>> m_jobs;
  std::deque<std::string> m_job_order;  // Oldest first.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_POLICY_WORKER_HEALTH_H_
