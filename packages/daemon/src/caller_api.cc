#include "cranberryplank/daemon/caller_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cranberryplank/model/digest.h"
#include "cranberryplank/model/text.h"

namespace cranberryplank {

namespace {

constexpr std::string_view kQueuePrefix = "/v1/queues/";
constexpr std::string_view kRequestsSuffix = "/requests";
constexpr std::string_view kTicketsPath = "/v1/tickets";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxTicketLength = 200;

ApiResponse ErrorResponse(int status, Verdict verdict, std::string_view reason,
                          std::string_view task_id) {
  ApiResponse response;
  response.status = status;
  response.body =
      nlohmann::json{{"verdict", ToString(verdict)}, {"reason", reason}, {"task", task_id}}.dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

std::string SecondsRoundedUp(Duration duration) {
  return fmt::format("{}", (duration.count() + 999) / 1000);
}

ApiResponse ToResponse(const CallerReply& reply) {
  ApiResponse response;
  if (reply.verdict == Verdict::kCompleted) {
    response.status = reply.status;
    response.content_type =
        reply.content_type.empty() ? "application/octet-stream" : reply.content_type;
    response.body = reply.body;
  } else {
    response = ErrorResponse(reply.status, reply.verdict, reply.reason, reply.task_id);
  }
  response.headers.emplace_back("Task-Id", reply.task_id);
  response.headers.emplace_back("Verdict", ToString(reply.verdict));
  if (reply.retry_after) {
    response.headers.emplace_back("Retry-After", SecondsRoundedUp(*reply.retry_after));
    // Whole seconds are too coarse to spread out the retries of callers refused at the same time.
    response.headers.emplace_back("Retry-After-Ms", fmt::format("{}", reply.retry_after->count()));
  }
  return response;
}

std::optional<bool> ParseFlag(std::string_view text) {
  if (text.empty() || text == "false") {
    return false;
  }
  return text == "true" ? std::optional(true) : std::nullopt;
}

}  // namespace

std::string KeyDigestOf(const ApiRequest& request) {
  const std::string_view header = request.Header("authorization");
  if (!header.starts_with(kBearer) || header.size() == kBearer.size()) {
    return "";
  }
  return Sha256(header.substr(kBearer.size())).hex;
}

CallerApi::CallerApi(const Settings* settings, RequestRouter* router, Metrics* metrics)
    : m_settings(settings), m_router(router), m_metrics(metrics) {}

void CallerApi::Refuse(const std::shared_ptr<ApiExchange>& exchange, int status, Verdict verdict,
                       std::string_view reason) const {
  m_metrics->CountReply(verdict, status);
  exchange->Reply(ErrorResponse(status, verdict, reason, ""));
}

bool CallerApi::Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  const ApiRequest& request = exchange->request();
  const std::string& path = request.path;
  if (path == kTicketsPath) {
    if (request.method != "POST") {
      Refuse(exchange, 405, Verdict::kNotRun, "expected POST");
    } else {
      IssueTickets(now, exchange);
    }
    return true;
  }
  if (!path.starts_with(kQueuePrefix) || !path.ends_with(kRequestsSuffix) ||
      path.size() <= kQueuePrefix.size() + kRequestsSuffix.size()) {
    return false;
  }
  if (request.method != "POST") {
    Refuse(exchange, 405, Verdict::kNotRun, "expected POST");
    return true;
  }
  Submit(
      now, exchange,
      path.substr(kQueuePrefix.size(), path.size() - kQueuePrefix.size() - kRequestsSuffix.size()));
  return true;
}

void CallerApi::Submit(TimePoint now, const std::shared_ptr<ApiExchange>& exchange,
                       std::string queue) {
  const ApiRequest& http = exchange->request();
  CallerRequest request;
  request.queue = std::move(queue);
  request.key_digest = KeyDigestOf(http);
  request.ticket = http.Header("ticket");
  request.content_type = http.Header("content-type");
  const auto idempotent = ParseFlag(http.Header("idempotent"));
  const auto urgent = ParseFlag(http.Header("urgent"));
  Duration deadline = m_settings->default_deadline;
  bool valid = idempotent && urgent && request.ticket.size() <= kMaxTicketLength;
  if (const std::string_view header = http.Header("deadline-ms"); !header.empty()) {
    const auto number = ParseNumber<std::int64_t>(header);
    valid = valid && number && *number > 0;
    deadline = std::min(Duration(number.value_or(1)), m_settings->max_deadline);
  }
  if (!valid) {
    const Verdict verdict = request.ticket.empty() ? Verdict::kNotRun : Verdict::kMayHaveRun;
    Refuse(exchange, 400, verdict, "a header is not valid");
    return;
  }
  request.idempotent = *idempotent;
  request.urgent = *urgent;
  request.deadline = now + deadline;
  request.body = http.body;
  const std::string task_id = m_router->Accept(
      now, std::move(request), [exchange](TimePoint /*at*/, const CallerReply& reply) {
        exchange->Reply(ToResponse(reply));
      });
  exchange->OnClosed([this, task_id] { m_router->Cancel(Clock::now(), task_id); });
}

void CallerApi::IssueTickets(TimePoint now, const std::shared_ptr<ApiExchange>& exchange) {
  const ApiRequest& http = exchange->request();
  const auto parameter = http.query.find("count");
  const auto count = parameter == http.query.end() ? std::optional<std::int64_t>(1)
                                                   : ParseNumber<std::int64_t>(parameter->second);
  if (!count || *count < 1 || *count > m_settings->max_ticket_batch) {
    Refuse(exchange, 400, Verdict::kNotRun,
           fmt::format("count must be from 1 to {}", m_settings->max_ticket_batch));
    return;
  }
  Refusal refusal;
  const auto tickets =
      m_router->IssueTickets(now, KeyDigestOf(http), static_cast<int>(*count), &refusal);
  if (!tickets) {
    Refuse(exchange, refusal.status, Verdict::kNotRun, refusal.reason);
    return;
  }
  ApiResponse response;
  response.body = nlohmann::json{{"tickets", *tickets}}.dump();
  exchange->Reply(response);
}

}  // namespace cranberryplank
