#ifndef CRANBERRYPLANK_POLICY_WORKER_HEALTH_H_
#define CRANBERRYPLANK_POLICY_WORKER_HEALTH_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Run of a job on a worker. Jobs of one kind (team and queue) are compared with each other.
struct JobRun {
  std::string vm;
  std::string rack;
  std::string job;      ///< The same for all attempts of a request.
  std::string kind;     ///< For example "queue/team".
  TimePoint started{};  ///< If not set, its success does not outweigh another daemon's report.
};

/// What a recorded failure led to.
enum class FailureEffect {
  kCounted,
  kQuarantined,  ///< The worker fails what others complete and gets no more work but probes.
  kFaultyJob,    ///< The job failed on three workers in different racks; do not retry it.
};

/// Tells workers that fail what others complete from jobs that fail everywhere.
class WorkerHealth {
 public:
  /// Records a run that completed.
  void RecordSuccess(TimePoint now, const JobRun& run);

  /// Records a run that the worker failed.
  /// @param expected estimated run time; the failed slot counts as busy for that long, so that a
  ///   worker that fails at once does not look idle
  FailureEffect RecordFailure(TimePoint now, const JobRun& run, Duration expected);

  /// Tells whether a worker is quarantined.
  bool Quarantined(std::string_view vm) const;

  /// Tells whether a worker failed lately, here or on another daemon, without a success since.
  /// Requests that must not be retried are kept away from it.
  bool Suspect(TimePoint now, std::string_view vm) const;

  /// Workers that failed here lately, to be told to the other daemons.
  std::vector<std::string> SuspectVms(TimePoint now) const;

  /// Workers that are suspected only because other daemons report them.
  std::vector<std::string> PeerSuspectVms(TimePoint now) const;

  /// Notes that another daemon suspects a worker. After a success here of a run that was
  /// started since, the report is ignored for as long as it is repeated.
  void RecordPeerSuspicion(TimePoint now, std::string_view vm);

  /// Tells whether a quarantined worker may be given one job as a probe. Choose an idempotent one.
  bool ProbeDue(TimePoint now, std::string_view vm) const;

  /// Notes that a probe was given to a quarantined worker.
  void BeginProbe(TimePoint now, std::string_view vm);

  /// Slots of a worker that count as busy because of recent failures.
  int PenaltySlots(TimePoint now, std::string_view vm) const;

  /// Tells whether a job failed on three workers in different racks.
  bool FaultyJob(std::string_view job) const;

  /// Forgets a worker that was rebooted or replaced.
  void Forget(std::string_view vm);

  /// Names of all quarantined workers.
  std::vector<std::string> QuarantinedVms() const;

 private:
  // Counts that lose half their value every 30 s, so that old failures do not weigh forever.
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
    double failure_weight = 0;  // Charges since the last success.
    TimePoint suspect_until;
    TimePoint peer_suspect_until;
    TimePoint peer_suspect_since;
    bool cleared_locally = false;  // A run started since the reports began has succeeded here.
    std::map<std::string, KindCounts> kinds;
    std::vector<TimePoint> penalties;  // Ends of the times during which a slot counts as busy.
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
