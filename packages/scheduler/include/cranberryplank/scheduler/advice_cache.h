#ifndef CRANBERRYPLANK_SCHEDULER_ADVICE_CACHE_H_
#define CRANBERRYPLANK_SCHEDULER_ADVICE_CACHE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/scheduler/cluster_config.h"
#include "cranberryplank/scheduler/worker_link.h"

namespace cranberryplank {

/// Cache of the advice service's tickets for steps of queues whose policy allows only some workers.
/// It also limits the calls that request tickets, because the advice service handles the calls of
/// one VM one at a time.
class AdviceCache {
 public:
  /// Returns the ticket of a worker for a step, or an empty view.
  std::string_view Ticket(TimePoint now, const std::string& step, const std::string& worker) const;

  /// Returns whether the cache has an answer for the step that has not expired.
  bool Answered(TimePoint now, const std::string& step) const;

  /// Prepares a call for the step unless one is in progress, one has just ended, or too many calls
  /// are in progress.
  /// @return whether the order must be sent
  bool Prepare(TimePoint now, const AdvicePolicy& policy, const TaskId& step,
               std::vector<std::string> workers, AdviceOrder* order);
  void OnReply(TimePoint now, const AdviceOrder& order, const AdviceReply& reply);
  /// Removes a ticket that a worker refused.
  void Reject(const std::string& step, const std::string& worker);
  /// Removes steps whose tickets have expired and for which no call is in progress.
  void Expire(TimePoint now);
  void ForgetJob(const std::string& job);

 private:
  struct Entry {
    std::map<std::string, std::string> tickets;  ///< By worker.
    TimePoint valid_until{};
    TimePoint sent{};
    TimePoint retry_at{};
    Duration lifetime{0};
    bool under_way = false;
  };

  std::map<std::string, Entry> m_steps;
  int m_under_way = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_ADVICE_CACHE_H_
