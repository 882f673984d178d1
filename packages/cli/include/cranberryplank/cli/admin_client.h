#ifndef CRANBERRYPLANK_CLI_ADMIN_CLIENT_H_
#define CRANBERRYPLANK_CLI_ADMIN_CLIENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/cli/exit_code.h"
#include "cranberryplank/cli/http_client.h"
#include "cranberryplank/model/random.h"

namespace cranberryplank {

/// Request to the admin API, which docs/API.md describes.
struct AdminRequest {
  std::string method;
  std::string path;  ///< Below /v1/admin/.
  std::string body;  ///< JSON or empty.

  bool IsRead() const { return method == "GET"; }
};

/// Outcome of a call. `body` is the JSON object of the answer, if any.
struct AdminReply {
  ExitCode code;
  nlohmann::json body;
  std::string reason;  ///< Set unless `code` is kDone.

  explicit AdminReply(ExitCode new_code = ExitCode::kUnreachable, nlohmann::json new_body = {},
                      std::string new_reason = "")
      : code(new_code), body(std::move(new_body)), reason(std::move(new_reason)) {}
};

/// Daemons to call and the token to authenticate with.
struct AdminAccess {
  std::vector<DaemonAddress> daemons;  ///< Tried in this order.
  std::string token;
  Duration timeout{15'000};  ///< For one call.
};

/// Calls daemons in turn. A change is sent to the next daemon only if the previous one has
/// certainly not processed it.
class AdminClient {
 public:
  AdminClient(AdminAccess access, HttpClient* http, RandomSource* random);

  AdminReply Read(const std::string& path);

  /// Makes a change and waits up to `wait` until it is in effect.
  /// @param nonce identifies the change; a new one is generated if it is empty
  AdminReply Change(const AdminRequest& request, std::string_view nonce,
                    std::optional<Duration> wait);

 private:
  AdminReply Call(const AdminRequest& request, std::string_view nonce);
  /// @param try_next set if the next daemon may be tried
  AdminReply CallOne(const DaemonAddress& daemon, const AdminRequest& request,
                     std::string_view nonce, bool* try_next);
  static AdminReply OutcomeUnknown(const AdminRequest& request, std::string_view nonce,
                                   std::string_view reason);
  AdminReply Wait(const AdminRequest& request, std::string_view nonce, AdminReply reply,
                  Duration wait);

  AdminAccess m_access;
  HttpClient* m_http;
  RandomSource* m_random;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_ADMIN_CLIENT_H_
