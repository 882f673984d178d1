#ifndef CRANBERRYPLANK_PLATFORM_HTTP_MESSAGE_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

enum class HttpMethod { kGet, kPut, kPost, kDelete };

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Request to a server that is addressed by IP address.
struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string host;
  std::uint16_t port = 0;
  std::string target;  ///< Path and query, percent-encoded.
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout{1'000};  ///< For the complete reply, including the wait for a connection.
  /// The reply is handled before other events of a loop with priorities. Urgent requests have
  /// connections of their own.
  bool urgent = false;
  /// The request is not sent from this time on, because the permission for it has ended.
  TimePoint not_after = TimePoint::max();
};

/// Outcome of a call.
enum class HttpOutcome {
  kAnswered,  ///< A complete reply was received.
  kNotSent,   ///< No byte of the request was or will be written.
  kNoReply,   ///< The request may have been sent, but no complete reply was received.
};

/// Reply, or the reason for its absence.
struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kNoReply;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string reason;  ///< Set unless the outcome is kAnswered.
  /// The connection was refused or broke before the request was written. A server that is only slow
  /// does not cause this.
  bool connection_failed = false;

  /// Returns the value of the first header `name` (case-insensitive), or an empty string.
  std::string_view Header(std::string_view name) const;
};

/// Percent-encodes a path except for unreserved characters and '/'.
std::string EscapePath(std::string_view path);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_MESSAGE_H_
