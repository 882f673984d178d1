#ifndef CRANBERRYPLANK_DAEMON_TICKET_TABLE_H_
#define CRANBERRYPLANK_DAEMON_TICKET_TABLE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cranberryplank/daemon/caller_request.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Limits on the memory used by a ticket table.
struct TicketLimits {
  Duration lifetime{3'600'000};
  std::size_t max_tickets = 200'000;
  std::size_t max_reply_bytes = 32 << 20;  ///< Total size of all stored replies.
};

/// Tickets issued by this daemon and the outcomes of the requests that carried them. A request
/// with a ticket runs at most once, however often its caller sends it.
class TicketTable {
 public:
  /// Action for a request that carries one of this daemon's tickets.
  enum class Admission {
    kRun,       ///< First use, or the earlier use certainly did not run.
    kWait,      ///< Already running; the callback receives its outcome.
    kReplay,    ///< Already ended; `reply` holds its outcome.
    kUnknown,   ///< Expired or dropped, so the request may have run.
    kMismatch,  ///< Issued to another team, or used before for another request.
  };

  TicketTable(std::string_view incarnation, const TicketLimits& limits, RandomSource* random);

  /// Issues `count` tickets to `team`.
  std::vector<std::string> Issue(TimePoint now, std::string_view team, int count);

  /// Returns the incarnation that issued `ticket`, or an empty view if it is malformed.
  static std::string_view OwnerOf(std::string_view ticket);

  /// Decides how to handle `request`. On kRun, the caller of this function must run the request and
  /// then call Finish(). On kWait, `done` is called when the running request ends. On kReplay,
  /// `*reply` is set.
  Admission Admit(TimePoint now, const CallerRequest& request, CallerReply* reply,
                  ReplyCallback done);

  /// Records the outcome of an admitted request and answers all callers that wait for it.
  void Finish(TimePoint now, std::string_view ticket, const CallerReply& reply);

  /// Returns whether `ticket` was issued here and no request with it is running or has ended.
  bool IsUnused(std::string_view ticket) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  enum class State { kUnused, kRunning, kEnded };

  struct Entry {
    std::string team;
    State state = State::kUnused;
    std::string fingerprint;  ///< Digest of the queue and body of its first use.
    CallerReply reply;
    std::vector<ReplyCallback> waiting;
  };

  struct Expiry {
    TimePoint at;
    std::string ticket;
  };

  void DropExpired(TimePoint now);
  void DropOldest(TimePoint now);
  void EnforceReplyLimit(TimePoint now);

  std::string m_incarnation;
  TicketLimits m_limits;
  RandomSource* m_random;
  std::unordered_map<std::string, Entry> m_entries;
  std::deque<Expiry> m_expiries;  ///< Oldest first.
  std::size_t m_reply_bytes = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_TICKET_TABLE_H_
