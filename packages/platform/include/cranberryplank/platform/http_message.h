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

/// Request to a server named by its IP address.
struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string host;
  std::uint16_t port = 0;
  std::string target;  ///< Path and query, already escaped.
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout{
      1'000};  ///< From the call to the whole reply, waiting for a connection included.
};

/// How a call ended.
enum class HttpOutcome {
  kAnswered,  ///< A whole reply arrived.
  kNotSent,   ///< No byte of the request was or will be written.
  kNoReply,   ///< The request may have been sent, but no whole reply arrived in time.
};

/// Reply, or the reason why there is none.
struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kNoReply;
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  std::string reason;  ///< Set unless answered.

  /// Returns the value of the first header `name`, in any case, or an empty string.
  std::string_view Header(std::string_view name) const;
};

/// Escapes all but unreserved characters and '/' of a path.
std::string EscapePath(std::string_view path);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_MESSAGE_H_
