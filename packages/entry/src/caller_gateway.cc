#include "cranberryplank/entry/caller_gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "cranberryplank/model/log.h"
#include "cranberryplank/platform/http_status.h"

namespace cranberryplank {

namespace {

using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

constexpr Duration kDefaultCallerTimeout{3'000};
/// Part of the caller's timeout reserved for sending the reply.
constexpr Duration kAnswerReserve{150};
/// A call that no owner has accepted is refused after this time. A change of owner takes less.
constexpr Duration kOwnerWait{1'700};
constexpr Duration kOwnerRetry{60};
constexpr Duration kAttemptTimeout{900};
constexpr std::int64_t kDefaultRetryAfterMs = 1'000;
constexpr std::size_t kLoggedPathBytes = 200;

std::string_view HostOf(const ApiRequest& request) {
  const std::string_view host = request.Header("host");
  return host.substr(0, host.find(':'));
}

int StatusOf(AccessRefusal refusal) {
  switch (refusal) {
    case AccessRefusal::kNoConfig:
    case AccessRefusal::kStaleConfig:
      return kUnavailable;
    case AccessRefusal::kNoSuchQueue:
      return kNotFound;
    case AccessRefusal::kUnknownKey:
      return kUnauthorized;
    case AccessRefusal::kNone:
      break;
  }
  return kOk;
}

std::string_view ReasonOf(AccessRefusal refusal) {
  switch (refusal) {
    case AccessRefusal::kNoConfig:
      return "no configuration is known yet";
    case AccessRefusal::kStaleConfig:
      return "the configuration may be out of date";
    case AccessRefusal::kNoSuchQueue:
      return "no such queue";
    case AccessRefusal::kUnknownKey:
      return "unknown key";
    case AccessRefusal::kNone:
      break;
  }
  return "";
}

OwnerCallKind OwnerKindOf(CallKind kind) {
  switch (kind) {
    case CallKind::kSubmit:
      return OwnerCallKind::kSubmit;
    case CallKind::kGetState:
      return OwnerCallKind::kGetState;
    case CallKind::kCancel:
      return OwnerCallKind::kCancel;
    case CallKind::kCountWaiting:
      return OwnerCallKind::kCountWaiting;
  }
  return OwnerCallKind::kGetState;
}

void SetRetryAfter(ApiResponse* response, std::int64_t milliseconds) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  const std::int64_t seconds = (milliseconds + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
  response->headers.emplace_back("Retry-After", fmt::to_string(std::max<std::int64_t>(seconds, 1)));
}

}  // namespace

AccessRefusal CheckAccess(const ClusterConfig* config, const QueueConfig* queue,
                          std::string_view key, const ConfigAge& age) {
  if (config == nullptr) {
    return AccessRefusal::kNoConfig;
  }
  const bool may_be_outdated = age.newer_exists || age.stale();
  if (queue == nullptr) {
    return may_be_outdated ? AccessRefusal::kStaleConfig : AccessRefusal::kNoSuchQueue;
  }
  if (queue->open_to_all) {
    return AccessRefusal::kNone;
  }
  if (age.stale()) {
    return AccessRefusal::kStaleConfig;
  }
  if (config->CustomerOfKey(key) != nullptr) {
    return AccessRefusal::kNone;
  }
  return may_be_outdated ? AccessRefusal::kStaleConfig : AccessRefusal::kUnknownKey;
}

CallerGateway::CallerGateway(const PlatformFormat* format, Metrics* metrics, CallOwner call_owner)
    : m_format(format), m_metrics(metrics), m_call_owner(std::move(call_owner)) {}

void CallerGateway::Close(TimePoint answer_by) {
  m_answer_by = answer_by;
  for (auto& [id, pending] : m_pending) {
    pending.deadline = std::min(pending.deadline, answer_by);
    pending.give_up = std::min(pending.give_up, answer_by);
  }
}

void CallerGateway::Handle(Now now, const ClusterConfig* config, const ConfigAge& age,
                           const std::shared_ptr<ApiExchange>& exchange, RequestAge request_age) {
  if (m_answer_by && now.time >= *m_answer_by) {
    Refuse(now.time, exchange, kUnavailable, "the daemon is stopping");
    return;
  }
  const ApiRequest& request = exchange->request();
  const QueueConfig* queue =
      config == nullptr ? nullptr : config->Route(HostOf(request), request.path);
  const std::string_view key = m_format->KeyOf(request);
  const AccessRefusal refusal = CheckAccess(config, queue, key, age);
  if (refusal != AccessRefusal::kNone) {
    Refuse(now.time, exchange, StatusOf(refusal), ReasonOf(refusal));
    return;
  }
  const std::string_view path = request.path;
  const auto call = m_format->DecodeCall(request.method, path.substr(queue->path_prefix.size()));
  if (!call) {
    Refuse(now.time, exchange, kNotFound, "no such call");
    return;
  }
  Pending pending;
  pending.exchange = exchange;
  pending.call.kind = OwnerKindOf(call->kind);
  pending.call.job = call->job;
  pending.call.queue = queue->name;
  pending.call.queue_path = queue->path();
  pending.call.config_version = config->version;
  if (call->kind == CallKind::kSubmit && request_age == RequestAge::kUnknown) {
    Refuse(now.time, exchange, kUnavailable, "the daemon did not run for a while");
    return;
  }
  if (call->kind == CallKind::kSubmit) {
    JobSpec spec;
    spec.id = call->job;
    spec.queue = queue->name;
    spec.queue_path = queue->path();
    spec.pool = queue->pool;
    spec.accepted_unix_ms = now.unix_ms;
    if (const CustomerConfig* customer = config->CustomerOfKey(key)) {
      spec.customer = customer->name;
    }
    if (const auto error = m_format->DecodeJob(request.body, &spec)) {
      Refuse(now.time, exchange, kBadRequest, *error);
      return;
    }
    pending.call.spec = std::move(spec);
    pending.call.queue_config = *queue;
  }
  Duration caller_timeout = m_format->CallerTimeoutOf(request);
  if (caller_timeout <= Duration(0)) {
    caller_timeout = kDefaultCallerTimeout;
  }
  pending.arrived = now.time;
  pending.deadline = now.time + caller_timeout - kAnswerReserve;
  if (m_answer_by) {
    pending.deadline = std::min(pending.deadline, *m_answer_by);
  }
  pending.give_up = std::min(pending.deadline, now.time + kOwnerWait);
  const std::uint64_t id = ++m_last_id;
  m_pending.emplace(id, std::move(pending));
  Send(now.time, id);
}

void CallerGateway::Send(TimePoint now, std::uint64_t id) {
  Pending& pending = m_pending.at(id);
  pending.in_flight = true;
  ++pending.attempts;
  const Duration left = std::chrono::duration_cast<Duration>(pending.deadline - now);
  const OwnerCall call = pending.call;
  m_call_owner(call, std::clamp(left, Duration(1), kAttemptTimeout),
               [this, id, attempt = pending.attempts](TimePoint at, const OwnerReply& reply) {
                 OnReply(at, id, attempt, reply);
               });
}

void CallerGateway::RepeatCallsInFlight(TimePoint now) {
  for (auto& [id, pending] : m_pending) {
    if (pending.in_flight) {
      pending.in_flight = false;
      pending.may_have_run = true;
      pending.superseded = pending.attempts;
      pending.retry_at = now;
    }
  }
}

void CallerGateway::OnReply(TimePoint now, std::uint64_t id, int attempt, const OwnerReply& reply) {
  const auto it = m_pending.find(id);
  if (it == m_pending.end()) {
    return;
  }
  Pending& pending = it->second;
  // What an earlier owner has stored holds. Its failure says nothing about the present owner.
  if (attempt <= pending.superseded && reply.status != OwnerStatus::kOk) {
    return;
  }
  pending.in_flight = false;
  switch (reply.status) {
    case OwnerStatus::kOk:
    case OwnerStatus::kNoSuchJob:
      Finish(now, id, ResponseOf(pending.call, reply), ToString(reply.status));
      return;
    case OwnerStatus::kRefused:
      if (!pending.may_have_run) {
        Finish(now, id, ResponseOf(pending.call, reply), reply.reason);
        return;
      }
      break;  // An earlier attempt may have stored the job, so a refusal could be wrong.
    case OwnerStatus::kUnknown:
      pending.may_have_run = true;
      break;
    case OwnerStatus::kNotOwner:
    case OwnerStatus::kNotReady:
      break;
  }
  pending.retry_at = now + kOwnerRetry;
}

ApiResponse CallerGateway::ResponseOf(const OwnerCall& call, const OwnerReply& reply) const {
  ApiResponse response;
  response.body = "{}";
  if (reply.status == OwnerStatus::kNoSuchJob) {
    response.status = kGone;
    return response;
  }
  if (reply.status == OwnerStatus::kRefused) {
    response.status = kUnavailable;
    SetRetryAfter(&response, reply.retry_after_ms);
    return response;
  }
  if (call.kind == OwnerCallKind::kGetState) {
    return m_format->EncodeState(reply.state);
  }
  if (call.kind == OwnerCallKind::kCountWaiting) {
    return m_format->EncodeWaiting(reply.waiting);
  }
  return response;
}

void CallerGateway::Tick(TimePoint now) {
  std::vector<std::uint64_t> due;
  for (const auto& [id, pending] : m_pending) {
    const TimePoint limit = pending.may_have_run ? pending.deadline : pending.give_up;
    if (now >= pending.deadline ||
        (!pending.in_flight && now >= std::min(limit, pending.retry_at))) {
      due.push_back(id);
    }
  }
  for (const std::uint64_t id : due) {
    const Pending& pending = m_pending.at(id);
    const TimePoint limit = pending.may_have_run ? pending.deadline : pending.give_up;
    if (now >= pending.deadline || (!pending.in_flight && now >= limit)) {
      GiveUp(now, id, "no owner of the schedule answered in time");
    } else {
      Send(now, id);
    }
  }
}

void CallerGateway::GiveUp(TimePoint now, std::uint64_t id, std::string_view reason) {
  const Pending& pending = m_pending.at(id);
  ApiResponse response;
  response.body = "{}";
  const bool uncertain = pending.may_have_run || pending.in_flight;
  const bool changes =
      pending.call.kind == OwnerCallKind::kSubmit || pending.call.kind == OwnerCallKind::kCancel;
  response.status = uncertain && changes ? kGatewayTimeout : kUnavailable;
  if (response.status == kUnavailable) {
    SetRetryAfter(&response, kDefaultRetryAfterMs);
  }
  Finish(now, id, std::move(response), reason);
}

void CallerGateway::Finish(TimePoint now, std::uint64_t id, ApiResponse response,
                           std::string_view reason) {
  const auto node = m_pending.extract(id);
  const Pending& pending = node.mapped();
  const auto latency = std::chrono::duration_cast<Metrics::Latency>(now - pending.arrived);
  LogLine(LogLevel::kInfo, "answer")
      .Field("method", pending.exchange->request().method)
      .Field("job", pending.call.job)
      .Field("queue", pending.call.queue)
      .Field("customer", pending.call.spec ? pending.call.spec->customer : "")
      .Field("config", pending.call.config_version)
      .Field("status", response.status)
      .Field("attempts", pending.attempts)
      .Field("us", latency.count())
      .Field("reason", reason);
  m_metrics->Count("cranberryplank_answers_total", fmt::format("status=\"{}\"", response.status));
  m_metrics->RecordLatency(latency);
  if (m_answer_by) {
    response.headers.emplace_back("Connection", "close");
  }
  pending.exchange->Reply(response);
}

void CallerGateway::Refuse(TimePoint /*now*/, const std::shared_ptr<ApiExchange>& exchange,
                           int status, std::string_view reason) {
  const std::string_view path = exchange->request().path;
  LogLine(LogLevel::kInfo, "refused")
      .Field("method", exchange->request().method)
      .Field("path", path.substr(0, kLoggedPathBytes))
      .Field("status", status)
      .Field("reason", reason);
  m_metrics->Count("cranberryplank_answers_total", fmt::format("status=\"{}\"", status));
  ApiResponse response;
  response.status = status;
  response.body = "{}";
  if (status == kUnavailable) {
    SetRetryAfter(&response, kDefaultRetryAfterMs);
  }
  if (m_answer_by) {
    response.headers.emplace_back("Connection", "close");
  }
  exchange->Reply(response);
}

}  // namespace cranberryplank
