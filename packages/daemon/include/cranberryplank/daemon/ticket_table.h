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

/// Bounds on what a ticket book keeps in memory.
struct TicketLimits {
  Duration lifetime{3'600'000};
  std::size_t max_tickets = 200'000;
  std::size_t max_reply_bytes = 32 << 20;  ///< Of all kept replies together.
};

/// Tickets issued by this daemon and the outcomes of the requests that came with them. A request
/// with a ticket runs at most once, however often its caller sends it.
class TicketTable {
 public:
  /// What to do with a request that carries one of this daemon's tickets.
  enum class Admission {
    kRun,       ///< First use, or the earlier use is known not to have run.
    kWait,      ///< It is under way; the callback gets its outcome.
    kReplay,    ///< It has ended; `reply` holds its outcome.
    kUnknown,   ///< Expired or dropped: it may have run.
    kMismatch,  ///< Issued to another team, or used before for another request.
  };

  TicketTable(std::string_view incarnation, const TicketLimits& limits, RandomSource* random);

  /// Issues `count` tickets to `team`.
  std::vector<std::string> Issue(TimePoint now, std::string_view team, int count);

  /// Returns the incarnation that issued `ticket`, or an empty view if it has no such form.
  static std::string_view OwnerOf(std::string_view ticket);

  /// Decides about `request`. On kRun the caller runs it and reports with Finish(); on kWait
  /// `done` is called once it ends; on kReplay `*reply` is set.
  Admission Admit(TimePoint now, const CallerRequest& request, CallerReply* reply,
                  ReplyCallback done);

  /// Records the outcome of an admitted request and answers those who wait for it.
  void Finish(TimePoint now, std::string_view ticket, const CallerReply& reply);

  /// True if `ticket` was issued here and no request with it is under way or has ended.
  bool IsUnused(std::string_view ticket) const;

  std::size_t size() const { return m_entries.size(); }

 private:
  enum class State { kUnused, kRunning, kEnded };

  struct Entry {
    std::string team;
    State state = State::kUnused;
    std::string fingerprint;  ///< Of the queue and body it was first used with.
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
