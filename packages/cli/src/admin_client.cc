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
constexpr int kServerError = 500;  ///< Lowest status of a server error.

// Longest wait of one poll on the server, and the pause between polls.
constexpr Duration kMaxServerWait{5'000};
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

/// Returns whether a refused change had and will have no effect.
bool IsUnprocessed(const json& body) {
  return body.is_object() && body.contains("processed") && body["processed"] == json(false);
}

/// Returns whether a change was accepted by the daemons but not yet written to the store.
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
    // An unrecorded change has no revision to poll, so the change is repeated with the same nonce.
    const AdminReply next = IsUnrecorded(reply.body)
                                ? Call(request, nonce)
                                : Read(fmt::format("revisions/{}?wait_ms={}",
                                                   reply.body["revision"].get<std::uint64_t>(),
                                                   std::min(left, kMaxServerWait).count()));
    if (next.code == ExitCode::kDone && IsChangeAnswer(next.body)) {
      reply = next;
    }
  }
  return reply;
}

AdminReply AdminClient::Call(const AdminRequest& request, std::string_view nonce) {
  AdminReply last(ExitCode::kUnreachable, {}, "no daemon given");
  for (const DaemonAddress& daemon : m_access.daemons) {
    bool try_next = false;
    AdminReply reply = CallOne(daemon, request, nonce, &try_next);
    if (!try_next) {
      return reply;
    }
    reply.reason = fmt::format("{} port {}: {}", daemon.host, daemon.port, reply.reason);
    // A refusal is more informative than the failure to reach another daemon.
    if (last.code != ExitCode::kRefused || reply.code == ExitCode::kRefused) {
      last = reply;
    }
  }
  return last;
}

AdminReply AdminClient::CallOne(const DaemonAddress& daemon, const AdminRequest& request,
                                std::string_view nonce, bool* try_next) {
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
  if (reply.outcome == HttpOutcome::kNotSent) {
    *try_next = true;
    return AdminReply(ExitCode::kUnreachable, {}, reply.reason);
  }
  *try_next = request.IsRead();
  if (reply.outcome == HttpOutcome::kLost) {
    return OutcomeUnknown(request, nonce, reply.reason);
  }
  const json body = json::parse(reply.body, nullptr, false);
  if (reply.status == kOk || reply.status == kAccepted) {
    if (!body.is_object() || (!request.IsRead() && !IsChangeAnswer(body))) {
      return OutcomeUnknown(request, nonce, "answer is not valid");
    }
    *try_next = false;
    return AdminReply(ExitCode::kDone, body);
  }
  if (reply.status >= kServerError) {
    // The change is known to be unprocessed only if the daemon reports so, because a proxy may fail
    // with the same status.
    if (!IsUnprocessed(body)) {
      return OutcomeUnknown(request, nonce, ReasonOf(body, reply.status));
    }
    *try_next = true;
    return AdminReply(ExitCode::kRefused, body, ReasonOf(body, reply.status));
  }
  *try_next = false;
  std::string reason = ReasonOf(body, reply.status);
  if (reply.status == kConflict && body.is_object() && body.contains("revision")) {
    reason += fmt::format(" (revision {} won)", body["revision"].dump());
  }
  return AdminReply(ExitCode::kRefused, body, std::move(reason));
}

AdminReply AdminClient::OutcomeUnknown(const AdminRequest& request, std::string_view nonce,
                                       std::string_view reason) {
  if (request.IsRead()) {
    return AdminReply(ExitCode::kUnreachable, {}, std::string(reason));
  }
  return AdminReply(ExitCode::kUnreachable, {},
                    fmt::format("{}; the change may have been recorded. Repeat it with --nonce {}",
                                reason, nonce));
}

}  // namespace cranberryplank
