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

  /// Returns jobs that were not refused and have not ended.
  std::vector<std::string> UnresolvedJobs() const;
  /// Returns violated guarantees: jobs that ran although every submission was refused, and jobs
  /// reported as failed although no task failed.
  std::vector<std::string> Violations() const;
  std::size_t jobs() const { return m_jobs.size(); }
  std::size_t accepted() const;

 private:
  enum class Phase { kSubmitting, kRefused, kAccepted, kCancelling, kEnded };
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

  EmulatedCallers m_callers;
  SimulatedWorkers* m_workers;
  RandomSource* m_random;
  std::vector<Endpoint> m_daemons;
  std::map<std::string, Entry> m_jobs;
  bool m_cancelling_stopped = false;
};

}  // namespace cranberryplank

#endif  // SOAK_JOB_LOAD_H_
