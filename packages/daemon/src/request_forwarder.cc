#include "cranberryplank/daemon/request_forwarder.h"

#include <utility>
#include <vector>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// Added to a forwarded request's deadline, so that the other daemon's reply arrives before the
/// request is given up here.
constexpr Duration kForwardMargin{500};

/// Retry delay sent to a caller whose request this daemon cannot forward.
constexpr Duration kUnreachableRetryAfter{1'000};

}  // namespace

RequestForwarder::RequestForwarder(const ForwarderParts& parts, RequeueCallback requeue,
                                   AcceptCallback accept)
    : m_parts(parts),
      m_requeue(std::move(requeue)),
      m_accept(std::move(accept)),
      m_forwards(parts.links) {
  m_parts.links->signal_message().connect(sigc::mem_fun(*this, &RequestForwarder::OnMessage));
}

void RequestForwarder::Tick(TimePoint now) {
  m_forwards.Tick(now);
  ForwardWaiting(now);
}

bool RequestForwarder::Registered() const {
  return m_parts.head->head().FindIncarnation(m_parts.head->incarnation()) != nullptr;
}

bool RequestForwarder::ForwardUnregistered(TimePoint now, PendingRequest* pending) {
  if (Registered() || pending->request.hops >= kMaxHops) {
    return false;
  }
  std::vector<std::string> peers;
  for (const std::string& incarnation : m_parts.peers->Daemons()) {
    if (m_parts.head->head().FindIncarnation(incarnation) != nullptr) {
      peers.push_back(incarnation);
    }
  }
  if (peers.empty()) {
    return false;
  }
  const std::string peer = peers[m_parts.random->Below(peers.size())];
  Forward(now, peer, "not registered", std::move(*pending));
  return true;
}

void RequestForwarder::ForwardWaiting(TimePoint now) {
  for (const auto& [pool, queues] : m_parts.demand->QueuesByPool()) {
    for (const std::string& team : m_parts.queue->Teams(queues)) {
      while (const WaitingRequest* next = m_parts.queue->Peek(now, queues, team)) {
        const auto route = RouteOf(now, pool, team, *next);
        if (!route) {
          break;
        }
        const std::string task_id = next->task_id;
        m_parts.queue->Take(task_id);
        m_parts.peers->UseSlot(route->daemon, team);
        Forward(now, route->daemon, route->reason, *m_parts.pending->Take(task_id));
      }
    }
  }
}

std::optional<RouteChoice> RequestForwarder::RouteOf(TimePoint now, const std::string& pool,
                                                     const std::string& team,
                                                     const WaitingRequest& next) {
  const PendingRequest* pending = m_parts.pending->Find(next.task_id);
  if (pending == nullptr || pending->request.hops >= kMaxHops) {
    return std::nullopt;
  }
  LocalTeam local = m_parts.demand->LocalTeamState(now, pool, team);
  local.may_start = HasFreeSlot(team);
  RouteChoice route = m_parts.shares->Route(now, pool, local, m_parts.demand->Free(now, pool),
                                            m_parts.peers->Holders(team));
  if (!route.forward) {
    return std::nullopt;
  }
  return route;
}

bool RequestForwarder::HasFreeSlot(std::string_view team) const {
  for (const FreeSlots& slots : m_parts.slots->Free()) {
    if (slots.team == team) {
      return slots.free > 0;
    }
  }
  return false;
}

void RequestForwarder::Forward(TimePoint now, const std::string& incarnation,
                               std::string_view reason, PendingRequest pending) {
  const CallerRequest& request = pending.request;
  ForwardRequest message;
  message.task_id = request.task_id;
  // Only the owner of the ticket receives it. Any other daemon would forward the request back to
  // the owner.
  message.ticket = TicketTable::OwnerOf(request.ticket) == incarnation ? request.ticket : "";
  message.queue = request.queue;
  message.team = request.team;
  message.key_digest = request.key_digest;
  message.idempotent = request.idempotent;
  message.urgent = request.urgent;
  message.remaining_ms = std::chrono::duration_cast<Duration>(request.deadline - now).count();
  message.hops = request.hops + 1;
  message.content_type = request.content_type;
  message.body = request.body;
  LogLine(LogLevel::kInfo, "routing")
      .Field("task", request.task_id)
      .Field("queue", request.queue)
      .Field("team", request.team)
      .Field("to", incarnation)
      .Field("reason", reason);
  const SendOutcome outcome =
      m_forwards.Send(incarnation, message, request.deadline + kForwardMargin,
                      [this, task_id = request.task_id](TimePoint at, const ForwardReply* reply,
                                                        std::string_view no_reply) {
                        OnEnd(at, task_id, reply, no_reply);
                      });
  if (outcome == SendOutcome::kSent) {
    m_parts.pending->Add(std::move(pending));
  } else {
    OnNotSent(now, std::move(pending), !message.ticket.empty());
  }
}

void RequestForwarder::OnNotSent(TimePoint now, PendingRequest pending, bool to_ticket_owner) {
  // Prevents another forward; the request may still run on this daemon.
  pending.request.hops = kMaxHops;
  if (to_ticket_owner) {
    m_parts.pending->AnswerMayHaveRun(now, pending,
                                      "the daemon that issued the ticket cannot be reached");
  } else if (Registered()) {
    m_requeue(now, std::move(pending), "the other daemon cannot be reached");
  } else {
    m_parts.pending->Refuse(now, pending, 503, "no registered daemon can be reached",
                            kUnreachableRetryAfter);
  }
}

void RequestForwarder::OnEnd(TimePoint now, const std::string& task_id, const ForwardReply* reply,
                             std::string_view reason) {
  auto pending = m_parts.pending->Take(task_id);
  if (!pending) {
    return;
  }
  if (reply == nullptr) {
    m_parts.pending->AnswerMayHaveRun(now, *pending, reason);
    return;
  }
  if (MayRetryHere(now, *pending, *reply)) {
    pending->request.hops = kMaxHops;
    m_requeue(now, std::move(*pending), reply->reason);
    return;
  }
  const bool earlier_attempt_may_have_run =
      reply->verdict == Verdict::kNotRun && pending->may_have_run;
  CallerReply answer;
  answer.verdict = earlier_attempt_may_have_run ? Verdict::kMayHaveRun : reply->verdict;
  answer.status = reply->status;
  answer.reason = reply->reason;
  answer.content_type = reply->content_type;
  answer.body = reply->body;
  answer.retry_after = reply->retry_after;
  m_parts.pending->Reply(now, *pending, std::move(answer));
}

bool RequestForwarder::MayRetryHere(TimePoint now, const PendingRequest& pending,
                                    const ForwardReply& reply) const {
  // A request with another daemon's ticket must not run here, because a retry could then run it
  // a second time.
  const bool may_run_here = pending.request.ticket.empty() || pending.holds_ticket;
  const bool final_refusal = reply.status == 401 || reply.status == 403 || reply.status == 404;
  return reply.verdict == Verdict::kNotRun && may_run_here && !final_refusal && Registered() &&
         now < pending.request.deadline;
}

void RequestForwarder::OnMessage(TimePoint now, const std::string& sender,
                                 const PeerMessage& message) {
  const auto* forwarded = std::get_if<ForwardRequest>(&message);
  if (forwarded == nullptr) {
    return;
  }
  CallerRequest request;
  request.task_id = forwarded->task_id;
  request.ticket = forwarded->ticket;
  request.queue = forwarded->queue;
  request.key_digest = forwarded->key_digest;
  request.idempotent = forwarded->idempotent;
  request.urgent = forwarded->urgent;
  request.deadline = now + Duration(forwarded->remaining_ms);
  request.hops = forwarded->hops;
  request.content_type = forwarded->content_type;
  request.body = forwarded->body;
  m_accept(now, std::move(request),
           [this, sender, request_id = forwarded->request_id, task_id = forwarded->task_id](
               TimePoint /*at*/, const CallerReply& reply) {
             ForwardReply answer;
             answer.request_id = request_id;
             // A replayed outcome carries the task id of the ticket's earlier use.
             answer.task_id = task_id;
             answer.verdict = reply.verdict;
             answer.status = reply.status;
             answer.reason = reply.reason;
             answer.content_type = reply.content_type;
             answer.body = reply.body;
             answer.retry_after = reply.retry_after;
             m_parts.links->Send(sender, answer);
           });
}

}  // namespace cranberryplank
