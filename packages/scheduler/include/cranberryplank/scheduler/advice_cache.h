#ifndef CRANBERRYPLANK_SCHEDULER_ADVICE_CACHE_H_
#define CRANBERRYPLANK_SCHEDULER_ADVICE_CACHE_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/scheduler/cluster_config.h"
#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

/// A worker on which a step could run if the advice service permits it.
struct AdviceCandidate {
  const WorkerInfo* worker = nullptr;
  bool has_room = false;   ///< A task of the step fits there now.
  bool near_data = false;  ///< The step runs faster there.
};

/// Cache of the advice service's answers for steps of queues whose policy allows only some workers.
/// It also limits the calls, because the advice service handles the calls of one VM one at a time.
///
/// The workers that may run a step do not change, so workers that were not granted are not asked
/// about again, and each call names others until tickets for enough workers are found. Without
/// that, a step that none of the first workers may run would never start in a pool that is larger
/// than one call.
class AdviceCache {
 public:
  /// Returns the ticket of a worker for a step, or an empty view.
  std::string_view Ticket(TimePoint now, const std::string& step, const WorkerInfo& worker) const;

  /// Prepares a call for a step with tasks that could not be placed with the tickets at hand. There
  /// is none to prepare if one is in progress, one has just failed, too many are in progress, or
  /// nothing is left to ask.
  /// @return whether the order must be sent
  bool Prepare(TimePoint now, const AdvicePolicy& policy, const TaskId& step,
               std::span<const AdviceCandidate> candidates, AdviceOrder* order);
  void OnReply(TimePoint now, const AdviceOrder& order, const AdviceReply& reply);
  /// Removes a ticket that a worker refused.
  void Reject(const std::string& step, const std::string& worker);
  /// Removes steps that no call was considered for in a while.
  void Expire(TimePoint now);
  void ForgetJob(const std::string& job);

 private:
  /// What the service said of one worker.
  struct Verdict {
    std::int64_t started_unix_ms = 0;  ///< Incarnation of the worker that the verdict is for.
    bool granted = false;
    std::string ticket;
    TimePoint valid_until{};  ///< Of the ticket, or of the refusal.
  };

  struct Entry {
    std::map<std::string, Verdict, std::less<>> verdicts;  ///< By worker.
    std::map<std::string, std::int64_t> asked;  ///< Incarnations of the workers in the call.
    TimePoint sent{};
    TimePoint retry_at{};
    TimePoint considered{};  ///< When a call was last considered.
    Duration lifetime{0};
    bool under_way = false;
  };

  static const Verdict* FindVerdict(const Entry& entry, const WorkerInfo& worker);
  /// Chooses the workers of the next call, the most useful ones first.
  static std::vector<const WorkerInfo*> ChooseWorkers(TimePoint now, const Entry& entry,
                                                      std::span<const AdviceCandidate> candidates);

  std::map<std::string, Entry> m_steps;
  int m_under_way = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_ADVICE_CACHE_H_
