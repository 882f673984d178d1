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

/// Callers that submit jobs, repeat calls without an answer at other daemons, cancel some jobs, and
/// remember what they were told.
class JobLoad {
 public:
  JobLoad(event_base* base, SimulatedWorkers* workers, RandomSource* random,
          std::vector<Endpoint> daemons);

  /// Submits a new job.
  void Submit(TimePoint now);
  /// Repeats what has not been answered, cancels, and asks for the state of open jobs.
  void Tick(TimePoint now);
  /// No new cancellations from now on.
  void StopCancelling() { m_cancelling_stopped = true; }

  /// Jobs that are not in the state that their callers were promised.
  std::vector<std::string> UnresolvedJobs() const;
  /// Promises that were broken for good: jobs that run although every call was refused.
  std::vector<std::string> Violations() const;
  std::size_t jobs() const { return m_jobs.size(); }
  std::size_t accepted() const;

 private:
  enum class Phase { kSubmitting, kRefused, kAccepted, kCancelling, kEnded };
  struct Entry {
    JobSpec spec;
    Phase phase = Phase::kSubmitting;
    bool in_flight = false;
    bool outcome_unknown = false;  ///< A submission got no answer.
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
