#ifndef CRANBERRYPLANK_DAEMON_PENDING_REQUESTS_H_
#define CRANBERRYPLANK_DAEMON_PENDING_REQUESTS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberryplank/daemon/caller_request.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/ticket_table.h"

namespace cranberryplank {

/// Accepted request that has not been answered yet.
struct PendingRequest {
  CallerRequest request;
  ReplyCallback done;
  TimePoint accepted;
  std::vector<std::string> excluded;  ///< VMs of the workers on which it failed.
  bool holds_ticket = false;          ///< The ticket table admitted this use of its ticket.
  /// An earlier attempt has run or may have run. The request is then never answered as not run, and
  /// a further attempt gets an id of its own on the worker.
  bool may_have_run = false;
  int attempts = 0;                    ///< Starts sent to workers.
  std::optional<TimePoint> answer_by;  ///< Set while its attempt's outcome is queried.
};

/// Requests that have not been answered yet. All replies to callers are created here.
class PendingRequests {
 public:
  /// Both arguments must outlive this object.
  PendingRequests(const TicketTable* tickets, Metrics* metrics);

  /// Stores a request under its task id, which must not be in use.
  void Add(PendingRequest pending);

  /// Removes and returns a request, or returns `std::nullopt` if there is none.
  std::optional<PendingRequest> Take(std::string_view task_id);

  /// Returns nullptr if there is none. Valid until the next Keep or Take.
  PendingRequest* Find(std::string_view task_id);

  bool empty() const { return m_requests.empty(); }

  /// Returns the task ids of all requests for which `condition` is true.
  template <typename Condition>
  std::vector<std::string> Select(Condition condition) const {
    std::vector<std::string> selected;
    for (const auto& [task_id, pending] : m_requests) {
      if (condition(pending)) {
        selected.push_back(task_id);
      }
    }
    return selected;
  }

  /// Replies that the request is refused. The verdict is "not run" unless an earlier attempt or an
  /// earlier use of its ticket may have run.
  void Refuse(TimePoint now, const PendingRequest& pending, int status, std::string_view reason,
              std::optional<Duration> retry_after = std::nullopt) const;

  /// Replies that the request may have run.
  void AnswerMayHaveRun(TimePoint now, const PendingRequest& pending,
                        std::string_view reason) const;

  /// Sends `reply`, after setting its task id, and updates the metrics.
  void Reply(TimePoint now, const PendingRequest& pending, CallerReply reply) const;

 private:
  Verdict RefusalVerdict(const PendingRequest& pending) const;

  const TicketTable* m_tickets;
  Metrics* m_metrics;
  std::unordered_map<std::string, PendingRequest> m_requests;  ///< By task id.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_PENDING_REQUESTS_H_
