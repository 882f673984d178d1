#ifndef CRANBERRYPLANK_CLI_HTTP_CLIENT_H_
#define CRANBERRYPLANK_CLI_HTTP_CLIENT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// API address of a daemon.
struct DaemonAddress {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const DaemonAddress&) const = default;
};

/// Request to a daemon.
struct HttpRequest {
  std::string method;  ///< GET, POST, PUT or DELETE.
  std::string path;    ///< With query.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

/// Outcome of a call.
enum class HttpOutcome {
  kNotSent,   ///< No connection; the request was certainly not processed.
  kLost,      ///< No complete answer; the request may have been processed.
  kAnswered,  ///< `status` and `body` are complete.
};

struct HttpReply {
  HttpOutcome outcome = HttpOutcome::kLost;
  int status = 0;
  std::string body;
  std::string reason;  ///< Set unless answered.
};

/// Blocking HTTP client that makes one call at a time.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  virtual HttpReply Call(const DaemonAddress& daemon, const HttpRequest& request,
                         Duration timeout) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_HTTP_CLIENT_H_
