#ifndef SOAK_JOB_LOAD_H_
#define SOAK_JOB_LOAD_H_

#include <map>
#include <string>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/support/event_loop.h"
#include "emulated_callers.h"
#include "simulated_workers.h"

namespace cranberryplank {

/// Simulates callers that submit jobs, retry unanswered calls at random daemons, cancel some jobs
/// and record the answers.
class JobLoad {
 public:
  JobLoad(event_base* base, SimulatedWorkers* workers, RandomSource* random,
          std::vector<Endpoint> daemons);

  /// Adds a new job, which the next Tick() submits.
  void Submit(TimePoint now);
  /// Retries unanswered submissions, cancels some jobs and polls the state of unfinished jobs.
  void Tick(TimePoint now);
  /// Stops new cancellations; calls in flight and retries continue.
  void StopCancelling() { m_cancelling_stopped = true; }

  /// Records that a daemon is being killed, paused or continued. Its callers may get no answer
  /// then.
  void RecordDisruption(std::size_t daemon);

  /// Returns jobs that were neither refused nor denied and have not ended.
  std::vector<std::string> UnresolvedJobs() const;
  /// Returns violated guarantees: jobs that ran although every submission was refused or their
  /// cancelling was answered "no such job", jobs reported as failed although no task failed, and
  /// whole requests without an answer.
  std::vector<std::string> Violations() const;
  std::size_t jobs() const { return m_jobs.size(); }
  std::size_t accepted() const;
  /// Returns the number of calls to daemons, all of which are checked for an answer.
  std::size_t calls() const { return m_calls; }

 private:
  enum class Phase {
    kSubmitting,
    kRefused,
    kAccepted,
    kCancelling,
    kAbandoned,  ///< Cancelled after an unanswered submission; the cancelling is repeated.
    kDenied,     ///< Its cancelling was answered "no such job", so it must never run.
    kEnded,
  };
  struct Entry {
    JobSpec spec;
    Phase phase = Phase::kSubmitting;
    bool in_flight = false;
    bool outcome_unknown = false;  ///< A submission was not answered, so the job may be accepted.
    TimePoint next{};
    std::string state;
  };

  void Call(TimePoint now, Entry* entry);
  void OnSubmit(Entry* entry, const CallerResult& result);
  void OnAbandoned(Entry* entry, const CallerResult& result);
  /// Returns whether nothing more is to be asked about the job.
  static bool IsResolved(const Entry& entry);
  /// Asks for a job that does not exist, so that each daemon has calls under way all the time.
  void Probe();
  EmulatedCallers::Callback Checked(std::size_t daemon, std::string call,
                                    EmulatedCallers::Callback done);
  /// Returns the total time in which this process was delayed and could not read responses.
  Duration DelayedTime(TimePoint now) const;

  EmulatedCallers m_callers;
  SimulatedWorkers* m_workers;
  RandomSource* m_random;
  std::vector<Endpoint> m_daemons;
  std::map<std::string, Entry> m_jobs;
  std::vector<TimePoint> m_disrupted;  ///< Last disruption of each daemon.
  std::size_t m_probes = 0;
  std::size_t m_calls = 0;
  TimePoint m_last_tick = Clock::now();
  Duration m_delayed{0};
  std::vector<std::string> m_unanswered;
  bool m_cancelling_stopped = false;
};

}  // namespace cranberryplank

#endif  // SOAK_JOB_LOAD_H_
