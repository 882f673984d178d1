#include "cranberryplank/cli/admin_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

// One wait of the server, and the pause between two.
constexpr Duration kLongestPoll{5'000};
constexpr Duration kPollPause{100};

std::string ReasonOf(const json& body, int status) {
  if (body.is_object() && body.contains("reason") && body["reason"].is_string()) {
    return body["reason"].get<std::string>();
  }
  return fmt::format("answered {}", status);
}

bool IsChangeAnswer(const json& body) {
  return body.contains("revision") && body["revision"].is_number_unsigned() &&
         body.contains("in_effect") && body["in_effect"].is_boolean() && body.contains("pending") &&
         body["pending"].is_array();
}

/// Tells whether a change was taken by the daemons but not yet written to the store.
bool IsUnrecorded(const json& body) {
  return body.contains("recorded") && body["recorded"] == json(false);
}

}  // namespace

AdminClient::AdminClient(AdminAccess access, HttpClient* http, RandomSource* random)
    : m_access(std::move(access)), m_http(http), m_random(random) {}

AdminReply AdminClient::Read(const std::string& path) { return Call({"GET", path, ""}, ""); }

AdminReply AdminClient::Change(const AdminRequest& request, std::string_view nonce,
                               std::optional<Duration> wait) {
  const std::string own_nonce = nonce.empty() ? m_random->Nonce() : std::string(nonce);
  AdminReply reply = Call(request, own_nonce);
  if (reply.code != ExitCode::kDone || reply.body["in_effect"] == json(true)) {
    return reply;
  }
  if (wait) {
    return Wait(request, own_nonce, std::move(reply), *wait);
  }
  if (IsUnrecorded(reply.body)) {
    reply.code = ExitCode::kNotYetInEffect;
    reply.reason = "not yet recorded in the store";
  }
  return reply;
}

AdminReply AdminClient::Wait(const AdminRequest& request, std::string_view nonce, AdminReply reply,
                             Duration wait) {
  const TimePoint end = Clock::now() + wait;
  while (reply.body["in_effect"] != json(true)) {
    const auto left = std::chrono::duration_cast<Duration>(end - Clock::now());
    if (left.count() <= 0) {
      reply.code = ExitCode::kNotYetInEffect;
      reply.reason = fmt::format("not in effect after {} ms", wait.count());
      return reply;
    }
    std::this_thread::sleep_for(std::min(left, kPollPause));
    // Until it is recorded there is no revision to ask for; the same nonce asks for the change.
    const AdminReply next = IsUnrecorded(reply.body)
                                ? Call(request, nonce)
                                : Read(fmt::format("revisions/{}?wait_ms={}",
                                                   reply.body["revision"].get<std::uint64_t>(),
                                                   std::min(left, kLongestPoll).count()));
    if (next.code == ExitCode::kDone && IsChangeAnswer(next.body)) {
      reply = next;
    }
  }
  return reply;
}

AdminReply AdminClient::Call(const AdminRequest& request, std::string_view nonce) {
  AdminReply last;
  last.reason = "no daemon given";
  for (const DaemonAddress& daemon : m_access.daemons) {
    std::string reason;
    if (auto reply = CallOne(daemon, request, nonce, &reason)) {
      return std::move(*reply);
    }
    last.reason = fmt::format("{} port {}: {}", daemon.host, daemon.port, reason);
  }
  return last;
}

/// Returns nothing, with `last_reason` set, if the next daemon may be tried.
std::optional<AdminReply> AdminClient::CallOne(const DaemonAddress& daemon,
                                               const AdminRequest& request, std::string_view nonce,
                                               std::string* last_reason) {
  HttpRequest http{request.method,
                   "/v1/admin/" + request.path,
                   {{"Authorization", "Bearer " + m_access.token}},
                   request.body};
  if (!request.IsRead()) {
    http.headers.emplace_back("Change-Nonce", nonce);
  }
  if (!request.body.empty()) {
    http.headers.emplace_back("Content-Type", "application/json");
  }
  const HttpReply reply = m_http->Call(daemon, http, m_access.timeout);
  *last_reason = reply.reason;
  if (reply.outcome == HttpOutcome::kNotSent) {
    return std::nullopt;
  }
  const json body = json::parse(reply.body, nullptr, false);
  const bool success = reply.status == kOk || reply.status == kAccepted;
  const bool whole = reply.outcome == HttpOutcome::kAnswered && reply.status != kBadGateway &&
                     reply.status != kGatewayTimeout &&
                     (!success || (body.is_object() && (request.IsRead() || IsChangeAnswer(body))));
  if (!whole) {
    if (reply.outcome == HttpOutcome::kAnswered) {
      *last_reason = success ? "answer is not valid" : ReasonOf(body, reply.status);
    }
    if (request.IsRead()) {
      return std::nullopt;
    }
    return AdminReply{ExitCode::kUnreachable,
                      {},
                      fmt::format("{}; the change may have been recorded. Repeat it with "
                                  "--nonce {}",
                                  *last_reason, nonce)};
  }
  if (success) {
    return AdminReply{ExitCode::kDone, body, ""};
  }
  *last_reason = ReasonOf(body, reply.status);
  if (reply.status == kUnavailable) {
    return std::nullopt;
  }
  if (reply.status == kConflict && body.is_object() && body.contains("revision")) {
    *last_reason += fmt::format(" (revision {} won)", body["revision"].dump());
  }
  return AdminReply{ExitCode::kRefused, body, *last_reason};
}

}  // namespace cranberryplank
