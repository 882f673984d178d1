#include "cranberryplank/daemon/pending_requests.h"

#include <fmt/format.h>

#include <utility>

#include "cranberryplank/model/invariant.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

PendingRequests::PendingRequests(const TicketTable* tickets, Metrics* metrics)
    : m_tickets(tickets), m_metrics(metrics) {}

void PendingRequests::Add(PendingRequest pending) {
  CP_INVARIANT(!m_requests.contains(pending.request.task_id),
               "two unanswered requests have the task id {}", pending.request.task_id);
  PendingRequest& stored = m_requests[pending.request.task_id];
  stored = std::move(pending);
}

std::optional<PendingRequest> PendingRequests::Take(std::string_view task_id) {
  const auto found = m_requests.find(std::string(task_id));
  if (found == m_requests.end()) {
    return std::nullopt;
  }
  PendingRequest pending = std::move(found->second);
  m_requests.erase(found);
  return pending;
}

PendingRequest* PendingRequests::Find(std::string_view task_id) {
  const auto found = m_requests.find(std::string(task_id));
  return found == m_requests.end() ? nullptr : &found->second;
}

Verdict PendingRequests::RefusalVerdict(const PendingRequest& pending) const {
  // An earlier use of the ticket may have run even if this use certainly does not.
  const std::string& ticket = pending.request.ticket;
  const bool first_use = ticket.empty() || pending.holds_ticket || m_tickets->IsUnused(ticket);
  return pending.may_have_run || !first_use ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

void PendingRequests::Refuse(TimePoint now, const PendingRequest& pending, int status,
                             std::string_view reason, std::optional<Duration> retry_after) const {
  CallerReply reply;
  reply.verdict = RefusalVerdict(pending);
  reply.status = status;
  reply.reason = reason;
  reply.retry_after = retry_after;
  LogLine(LogLevel::kInfo, "refusal")
      .Field("task", pending.request.task_id)
      .Field("queue", pending.request.queue)
      .Field("team", pending.request.team)
      .Field("verdict", ToString(reply.verdict))
      .Field("status", status)
      .Field("reason", reason);
  Reply(now, pending, std::move(reply));
}

void PendingRequests::AnswerMayHaveRun(TimePoint now, const PendingRequest& pending,
                                       std::string_view reason) const {
  CallerReply reply;
  reply.verdict = Verdict::kMayHaveRun;
  reply.status = now >= pending.request.deadline ? 504 : 502;
  reply.reason = reason;
  LogLine(LogLevel::kWarning, "may_have_run")
      .Field("task", pending.request.task_id)
      .Field("queue", pending.request.queue)
      .Field("team", pending.request.team)
      .Field("reason", reason);
  Reply(now, pending, std::move(reply));
}

void PendingRequests::Reply(TimePoint now, const PendingRequest& pending, CallerReply reply) const {
  reply.task_id = pending.request.task_id;
  m_metrics->CountReply(reply.verdict, reply.status);
  m_metrics->RecordLatency(std::chrono::duration_cast<Metrics::Latency>(now - pending.accepted));
  pending.done(now, reply);
}

}  // namespace cranberryplank
