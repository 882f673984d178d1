#ifndef CRANBERRYPLANK_DAEMON_CALLER_REQUEST_H_
#define CRANBERRYPLANK_DAEMON_CALLER_REQUEST_H_

#include <functional>
#include <optional>
#include <string>

#include "cranberryplank/model/time.h"
#include "cranberryplank/model/verdict.h"

namespace cranberryplank {

/// A caller's request, parsed from HTTP or from a peer message.
struct CallerRequest {
  std::string task_id;
  std::string ticket;  ///< Empty if the request carries no ticket.
  std::string queue;
  std::string team;        ///< Set when the key has been checked.
  std::string key_digest;  ///< SHA-256 of the key; empty if it carries no key.
  bool idempotent = false;
  bool urgent = false;
  TimePoint deadline;
  int hops = 0;  ///< Number of times it was forwarded.
  std::string content_type;
  std::string body;
};

/// Outcome of a caller's request.
struct CallerReply {
  std::string task_id;
  Verdict verdict = Verdict::kMayHaveRun;
  int status = 0;  ///< HTTP status.
  std::string reason;
  std::string content_type;
  std::string body;  ///< The worker's complete answer, if the task completed.
  std::optional<Duration> retry_after;
};

using ReplyCallback = std::function<void(TimePoint now, const CallerReply& reply)>;

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_CALLER_REQUEST_H_
