#include "cranberryplank/daemon/request_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/daemon/log.h"
#include "cranberryplank/model/invariant.h"
#include "cranberryplank/policy/retry_after.h"

namespace cranberryplank {

namespace {

constexpr Duration kShareInterval{200};

/// A daemon that is not fresh for this long refuses what waits, so that callers can go elsewhere.
constexpr Duration kStalePatience{1'000};

/// Time for which the fate of an unanswered start is looked up before the caller is told that it
/// may have run. Longer than the start-by deadline, after which a worker can tell that it did not.
constexpr Duration kFatePatience{3'000};

/// Starts of one request that workers may refuse before the request is refused.
constexpr int kMaxAttempts = 10;

/// Hops of a forwarded request: to the owner of its ticket and from there to a slot holder.
constexpr int kMaxHops = 2;

/// Added to a forwarded request's deadline, so that the other daemon's own answer comes first.
constexpr Duration kForwardMargin{500};

std::string FormatCandidates(std::span<const PlacementCandidate> candidates) {
  std::string text;
  for (const PlacementCandidate& candidate : candidates) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : ",", candidate.vm, candidate.free);
  }
  return text;
}

}  // namespace

RequestRouter::RequestRouter(const RouterParts& parts, const RouterOptions& options)
    : m_parts(parts),
      m_options(options),
      m_admission(parts.is_denied),
      m_tickets(parts.head->incarnation(), options.tickets, parts.random),
      m_runner(parts.workers, parts.slots, options.rules.keep_uncertain_slots),
      m_demand(parts.head, &m_queue, &m_runner, &m_peers),
      m_forwards(parts.links) {
  m_parts.head->signal_changed().connect(sigc::mem_fun(*this, &RequestRouter::OnConfiguration));
  m_parts.links->signal_message().connect(sigc::mem_fun(*this, &RequestRouter::OnMessage));
}

// --- Accepting ---

std::string RequestRouter::Accept(TimePoint now, CallerRequest request, ReplyCallback done) {
  if (request.task_id.empty()) {
    request.task_id = m_parts.random->Nonce();
  }
  std::string task_id = request.task_id;
  Pending pending;
  pending.request = std::move(request);
  pending.done = std::move(done);
  pending.accepted = now;
  Admit(now, std::move(pending));
  return task_id;
}

void RequestRouter::Admit(TimePoint now, Pending pending) {
  CallerRequest& request = pending.request;
  if (m_pending.contains(request.task_id)) {
    Refuse(now, pending, 409, "a request with this task id is under way");
    return;
  }
  const auto refusal =
      m_admission.Check(m_parts.head->fleet(), request.queue, request.key_digest, &request.team);
  if (refusal) {
    Refuse(now, pending, refusal->status, refusal->reason);
    return;
  }
  if (!request.ticket.empty() && !AdmitTicket(now, &pending)) {
    return;
  }
  if (m_shutting_down) {
    Refuse(now, pending, 503, "this daemon is shutting down", kStalePatience);
    return;
  }
  std::string stale_reason;
  if (DispatchUntil(now, &stale_reason)) {
    Enqueue(now, std::move(pending));
    return;
  }
  const auto peer = Registered() || request.hops >= kMaxHops ? std::nullopt : AnyRegisteredPeer();
  if (peer) {
    Forward(now, *peer, "not registered", std::move(pending));
    return;
  }
  Refuse(now, pending, 503, stale_reason, kStalePatience);
}

bool RequestRouter::AdmitTicket(TimePoint now, Pending* pending) {
  CallerRequest& request = pending->request;
  const std::string owner(TicketBook::OwnerOf(request.ticket));
  if (owner != m_parts.head->incarnation()) {
    if (m_parts.head->head().FindIncarnation(owner) == nullptr || request.hops >= kMaxHops) {
      AnswerMayHaveRun(now, *pending, "the daemon that issued the ticket is gone");
      return false;
    }
    Forward(now, owner, "owner of the ticket", std::move(*pending));
    return false;
  }
  CallerReply reply;
  switch (m_tickets.Admit(now, request, &reply, pending->done)) {
    case TicketBook::Admission::kRun:
      pending->holds_ticket = true;
      pending->done = [this, ticket = request.ticket, done = pending->done](
                          TimePoint at, const CallerReply& outcome) {
        m_tickets.Finish(at, ticket, outcome);
        done(at, outcome);
      };
      return true;
    case TicketBook::Admission::kWait:
      LogLine(LogLevel::kInfo, "ticket").Field("task", request.task_id).Field("state", "running");
      return false;
    case TicketBook::Admission::kReplay:
      LogLine(LogLevel::kInfo, "ticket").Field("task", request.task_id).Field("state", "replayed");
      pending->done(now, reply);
      return false;
    case TicketBook::Admission::kUnknown:
      AnswerMayHaveRun(now, *pending, "the ticket has expired");
      return false;
    case TicketBook::Admission::kForeign:
      AnswerMayHaveRun(now, *pending, "the ticket belongs to another request");
      return false;
  }
  return false;
}

std::optional<std::vector<std::string>> RequestRouter::IssueTickets(TimePoint now,
                                                                    std::string_view key_digest,
                                                                    int count, Refusal* refusal) {
  const auto team = m_admission.TeamOfKey(m_parts.head->fleet(), key_digest, refusal);
  if (!team) {
    return std::nullopt;
  }
  if (m_shutting_down) {
    *refusal = Refusal{503, "this daemon is shutting down"};
    return std::nullopt;
  }
  return m_tickets.Issue(now, *team, count);
}

void RequestRouter::Enqueue(TimePoint now, Pending pending) {
  const CallerRequest& request = pending.request;
  const auto queue = m_parts.head->fleet().queues.find(request.queue);
  if (queue == m_parts.head->fleet().queues.end()) {
    Refuse(now, pending, 404, "unknown queue");
    return;
  }
  DropExpired(now);
  switch (Push(now, pending, queue->second.max_waiting)) {
    case PushResult::kQueued:
      break;
    case PushResult::kFull:
      Refuse(now, pending, 429, "queue full", RetryAfterFor(request, queue->second));
      return;
    case PushResult::kDuplicate:
      Refuse(now, pending, 409, "a request with this task id waits");
      return;
    case PushResult::kExpired:
      Refuse(now, pending, 503, "deadline passed");
      return;
  }
  const std::string pool = queue->second.pool;
  const std::string task_id = request.task_id;
  m_pending.emplace(task_id, std::move(pending));
  Pump(now, pool);
}

bool RequestRouter::Cancel(TimePoint now, std::string_view task_id) {
  if (!m_queue.Take(task_id)) {
    return false;
  }
  const auto pending = TakePending(task_id);
  if (!pending) {
    return false;
  }
  Refuse(now, *pending, 503, "cancelled by the caller");
  return !pending->may_have_run;
}

// --- Replying ---

Verdict RequestRouter::RefusalVerdict(const Pending& pending) const {
  // An earlier use of the ticket may have run, whatever becomes of this one.
  const std::string& ticket = pending.request.ticket;
  const bool first_use = ticket.empty() || pending.holds_ticket || m_tickets.IsUnused(ticket);
  return pending.may_have_run || !first_use ? Verdict::kMayHaveRun : Verdict::kNotRun;
}

void RequestRouter::Refuse(TimePoint now, const Pending& pending, int status,
                           std::string_view reason, std::optional<Duration> retry_after) {
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

void RequestRouter::AnswerMayHaveRun(TimePoint now, const Pending& pending,
                                     std::string_view reason) {
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

void RequestRouter::Reply(TimePoint now, const Pending& pending, CallerReply reply) {
  reply.task_id = pending.request.task_id;
  m_parts.metrics->Count(
      "cranberryplank_requests_total",
      fmt::format("verdict=\"{}\",status=\"{}\"", ToString(reply.verdict), reply.status));
  m_parts.metrics->RecordLatency(
      std::chrono::duration_cast<Metrics::Latency>(now - pending.accepted));
  pending.done(now, reply);
}

Duration RequestRouter::RetryAfterFor(const CallerRequest& request, const Queue& queue) {
  RefusalState state;
  state.waiting = m_queue.Waiting(m_demand.QueuesOf(queue.pool), request.team);
  state.slots = m_runner.Running(queue.pool, request.team);
  state.run_time = m_runner.ExpectedRunTime(request.team, queue);
  return RetryAfter::Compute(state, *m_parts.random);
}

std::optional<RequestRouter::Pending> RequestRouter::TakePending(std::string_view task_id) {
  const auto found = m_pending.find(std::string(task_id));
  if (found == m_pending.end()) {
    return std::nullopt;
  }
  Pending pending = std::move(found->second);
  m_pending.erase(found);
  return pending;
}

// --- Dispatching ---

std::optional<TimePoint> RequestRouter::DispatchUntil(TimePoint now,
                                                      std::string* last_reason) const {
  if (!m_options.rules.check_freshness) {
    return now + kStalePatience;
  }
  return m_parts.head->FreshUntil(now, last_reason);
}

void RequestRouter::PumpAll(TimePoint now) {
  for (const auto& [pool, queues] : m_demand.QueuesByPool()) {
    Pump(now, pool);
  }
}

void RequestRouter::Pump(TimePoint now, const std::string& pool) {
  std::string reason;
  const auto fresh_until = DispatchUntil(now, &reason);
  if (!fresh_until) {
    return;
  }
  std::set<std::string, std::less<>> blocked;
  while (true) {
    const std::vector<LocalTeam> teams = m_demand.LocalTeams(now, pool, blocked);
    if (teams.empty()) {
      return;
    }
    const auto choice = m_parts.shares->NextTeam(now, pool, m_demand.Free(now, pool), teams);
    if (!choice) {
      return;
    }
    const auto waiting = m_queue.TakeNext(now, m_demand.QueuesOf(pool), choice->team);
    if (!waiting) {
      return;
    }
    const DispatchOutcome outcome = Dispatch(now, pool, choice->reason, *fresh_until, *waiting);
    if (outcome == DispatchOutcome::kNoWorker) {
      return;
    }
    if (outcome == DispatchOutcome::kNoSlot) {
      blocked.insert(choice->team);
    }
  }
}

RequestRouter::DispatchOutcome RequestRouter::Dispatch(TimePoint now, const std::string& pool,
                                                       std::string_view reason,
                                                       TimePoint fresh_until,
                                                       const WaitingRequest& waiting) {
  const auto found = m_pending.find(waiting.task_id);
  if (found == m_pending.end()) {
    return DispatchOutcome::kRefused;
  }
  Pending& pending = found->second;
  if (m_options.rules.check_key_before_dispatch) {
    std::string team;
    const auto refusal = m_admission.Check(m_parts.head->fleet(), pending.request.queue,
                                           pending.request.key_digest, &team);
    if (refusal || team != pending.request.team) {
      const Pending refused = *TakePending(waiting.task_id);
      Refuse(now, refused, refusal ? refusal->status : 403,
             refusal ? refusal->reason : "the key was granted to another team");
      return DispatchOutcome::kRefused;
    }
  }
  const Queue& queue = m_parts.head->fleet().queues.at(pending.request.queue);
  const auto choice = ChooseWorker(now, pool, pending);
  if (!choice) {
    m_queue.Push(now, waiting, queue.max_waiting + 1);
    return DispatchOutcome::kNoWorker;
  }
  if (!m_parts.slots->Acquire(now, pending.request.team)) {
    m_queue.Push(now, waiting, queue.max_waiting + 1);
    return DispatchOutcome::kNoSlot;
  }
  LogLine(LogLevel::kInfo, "placement")
      .Field("task", pending.request.task_id)
      .Field("queue", pending.request.queue)
      .Field("team", pending.request.team)
      .Field("vm", choice->vm)
      .Field("share", reason)
      .Field("reason", choice->reason)
      .Field("alternatives", FormatCandidates(choice->alternatives));
  Start(now, queue, *choice, fresh_until, &pending);
  return DispatchOutcome::kStarted;
}

std::optional<PlacementChoice> RequestRouter::ChooseWorker(TimePoint now, const std::string& pool,
                                                           const Pending& pending) {
  PlacementRequest wanted{pool, m_options.zone, pending.request.idempotent, pending.excluded};
  const std::span<const WorkerView> views = m_runner.workers().Views(now, pool);
  auto choice = m_parts.placement->Choose(now, wanted, views, m_runner.health(), *m_parts.random);
  if (!choice && !pending.excluded.empty()) {
    // Every worker with a free slot has failed it once; another try beats waiting for none.
    wanted.excluded = {};
    choice = m_parts.placement->Choose(now, wanted, views, m_runner.health(), *m_parts.random);
  }
  return choice;
}

void RequestRouter::Start(TimePoint now, const Queue& queue, const PlacementChoice& choice,
                          TimePoint fresh_until, Pending* pending) {
  const CallerRequest& request = pending->request;
  CP_INVARIANT(!pending->may_have_run || request.idempotent ||
                   !m_options.rules.never_rerun_after_may_have_run,
               "task {} is not idempotent and may have run", request.task_id);
  if (choice.probe) {
    m_runner.health().BeginProbe(now, choice.vm);
  }
  if (pending->attempts == 0) {
    m_retries.RecordFirstAttempt(request.team);
    m_parts.metrics->RecordQueueWait(
        std::chrono::duration_cast<Metrics::Latency>(now - pending->accepted));
  }
  ++pending->attempts;
  TaskAttempt attempt;
  attempt.task_id = request.task_id;
  // An attempt whose predecessor may still run needs an id of its own on the worker.
  attempt.attempt_id = pending->may_have_run
                           ? fmt::format("{}.{}", request.task_id, pending->attempts)
                           : request.task_id;
  attempt.team = request.team;
  attempt.vm = choice.vm;
  attempt.content_type = request.content_type;
  attempt.body = request.body;
  attempt.start_limit = std::min(fresh_until, request.deadline);
  attempt.deadline = request.deadline;
  m_runner.Start(
      now, attempt, queue,
      [this, task_id = request.task_id, vm = choice.vm, pool = queue.pool](TimePoint at,
                                                                           const TaskEnd& end) {
        OnEnd(at, task_id, vm, end);
        Pump(at, pool);
      },
      [this, task_id = request.task_id, pool = queue.pool](TimePoint at, TaskFate fate) {
        OnResolved(at, task_id, fate);
        Pump(at, pool);
      });
}

void RequestRouter::OnEnd(TimePoint now, const std::string& task_id, const std::string& vm,
                          const TaskEnd& end) {
  auto pending = TakePending(task_id);
  if (!pending) {
    return;
  }
  switch (end.result.verdict) {
    case Verdict::kCompleted:
      OnCompleted(now, std::move(*pending), vm, end);
      break;
    case Verdict::kNotRun:
      if (pending->attempts < kMaxAttempts) {
        Requeue(now, std::move(*pending), end.result.reason);
      } else {
        Refuse(now, *pending, 503, fmt::format("workers refused it: {}", end.result.reason),
               kStalePatience);
      }
      break;
    case Verdict::kMayHaveRun:
      OnNoAnswer(now, std::move(*pending), vm);
      break;
  }
}

void RequestRouter::OnCompleted(TimePoint now, Pending pending, const std::string& vm,
                                const TaskEnd& end) {
  if (end.checkpointed) {
    OnCheckpointed(now, std::move(pending));
    return;
  }
  const bool may_retry = end.failed && pending.request.idempotent &&
                         end.effect != FailureEffect::kFaultyJob &&
                         pending.attempts < kMaxAttempts && now < pending.request.deadline &&
                         m_retries.TryTake(pending.request.team);
  if (may_retry) {
    pending.excluded.push_back(vm);
    // Its attempt has ended, but the worker knows that attempt's id.
    pending.may_have_run = true;
    Requeue(now, std::move(pending), "the worker failed it");
    return;
  }
  CallerReply reply;
  reply.verdict = Verdict::kCompleted;
  reply.status = end.result.status;
  reply.content_type = end.result.content_type;
  reply.body = end.result.body;
  Reply(now, pending, std::move(reply));
}

void RequestRouter::OnCheckpointed(TimePoint now, Pending pending) {
  pending.may_have_run = true;
  if (pending.request.idempotent && now < pending.request.deadline && !m_shutting_down) {
    Requeue(now, std::move(pending), "checkpointed");
    return;
  }
  AnswerMayHaveRun(now, pending, "the task was checkpointed before it finished");
}

void RequestRouter::OnNoAnswer(TimePoint now, Pending pending, const std::string& vm) {
  const bool may_rerun =
      pending.request.idempotent || !m_options.rules.never_rerun_after_may_have_run;
  if (may_rerun && pending.attempts < kMaxAttempts && now < pending.request.deadline &&
      m_retries.TryTake(pending.request.team)) {
    pending.may_have_run = true;
    pending.excluded.push_back(vm);
    Requeue(now, std::move(pending), "no answer");
    return;
  }
  pending.answer_by = std::min(now + kFatePatience, pending.request.deadline);
  std::string task_id = pending.request.task_id;
  m_pending.emplace(std::move(task_id), std::move(pending));
}

void RequestRouter::OnResolved(TimePoint now, const std::string& task_id, TaskFate fate) {
  const auto found = m_pending.find(task_id);
  if (found == m_pending.end() || !found->second.answer_by) {
    return;
  }
  Pending pending = *TakePending(task_id);
  pending.answer_by.reset();
  if (fate == TaskFate::kEnded) {
    AnswerMayHaveRun(now, pending, "the worker's answer was lost");
  } else if (pending.attempts < kMaxAttempts) {
    Requeue(now, std::move(pending), "the worker never received it");
  } else {
    Refuse(now, pending, 503, "no worker received it", kStalePatience);
  }
}

void RequestRouter::Requeue(TimePoint now, Pending pending, std::string_view reason) {
  const CallerRequest& request = pending.request;
  LogLine(LogLevel::kInfo, "requeue")
      .Field("task", request.task_id)
      .Field("attempts", pending.attempts)
      .Field("reason", reason);
  const auto queue = m_parts.head->fleet().queues.find(request.queue);
  if (queue == m_parts.head->fleet().queues.end()) {
    Refuse(now, pending, 404, "unknown queue");
    return;
  }
  // The request had left its place in the queue, so one more than the bound may wait.
  if (Push(now, pending, queue->second.max_waiting + 1) != PushResult::kQueued) {
    Refuse(now, pending, 503, "no time or place to wait for another attempt", kStalePatience);
    return;
  }
  std::string task_id = request.task_id;
  m_pending.emplace(std::move(task_id), std::move(pending));
}

PushResult RequestRouter::Push(TimePoint now, const Pending& pending, int max_waiting) {
  const CallerRequest& request = pending.request;
  WaitingRequest waiting;
  waiting.task_id = request.task_id;
  waiting.queue = request.queue;
  waiting.team = request.team;
  waiting.key_digest = request.key_digest;
  waiting.urgent = request.urgent;
  waiting.deadline = request.deadline;
  waiting.enqueued = pending.accepted;
  return m_queue.Push(now, std::move(waiting), max_waiting);
}

// --- Time passing ---

void RequestRouter::Tick(TimePoint now, std::uint64_t rotation) {
  m_peers.Tick(now);
  DropExpired(now);
  DropStale(now);
  AnswerUnresolved(now);
  m_forwards.Tick(now);
  m_runner.Tick(now);
  if (now - m_shares_updated >= kShareInterval) {
    m_shares_updated = now;
    UpdateShares(now, rotation);
  }
  PumpAll(now);
  ForwardWaiting(now);
}

void RequestRouter::DropExpired(TimePoint now) {
  for (const WaitingRequest& waiting : m_queue.TakeExpired(now)) {
    if (const auto pending = TakePending(waiting.task_id)) {
      Refuse(now, *pending, 503, "deadline passed while waiting");
    }
  }
}

void RequestRouter::DropStale(TimePoint now) {
  std::string reason;
  if (DispatchUntil(now, &reason)) {
    m_stale_since.reset();
    return;
  }
  if (!m_stale_since) {
    m_stale_since = now;
  }
  if (now - *m_stale_since < kStalePatience) {
    return;
  }
  for (const WaitingRequest& waiting : m_queue.TakeAll()) {
    if (const auto pending = TakePending(waiting.task_id)) {
      Refuse(now, *pending, 503, reason, kStalePatience);
    }
  }
}

void RequestRouter::AnswerUnresolved(TimePoint now) {
  std::vector<std::string> due;
  for (const auto& [task_id, pending] : m_pending) {
    if (pending.answer_by && *pending.answer_by <= now) {
      due.push_back(task_id);
    }
  }
  for (const std::string& task_id : due) {
    AnswerMayHaveRun(now, *TakePending(task_id), "the worker did not answer");
  }
}

void RequestRouter::OnConfiguration(TimePoint now) {
  const Fleet& fleet = m_parts.head->fleet();
  m_runner.workers().SetFleet(fleet);
  m_demand.SetFleet(fleet);
  LogLine(LogLevel::kInfo, "configuration")
      .Field("revision", m_parts.head->head().revision)
      .Field("vms", fleet.vms.size())
      .Field("queues", fleet.queues.size())
      .Field("teams", fleet.teams.size())
      .Field("daemons", m_parts.head->head().daemons.size());
  DropNotAdmitted(now);
}

void RequestRouter::DropNotAdmitted(TimePoint now) {
  std::vector<std::string> dropped;
  for (const auto& [task_id, pending] : m_pending) {
    std::string team;
    if (m_admission.Check(m_parts.head->fleet(), pending.request.queue, pending.request.key_digest,
                          &team)) {
      dropped.push_back(task_id);
    }
  }
  for (const std::string& task_id : dropped) {
    // Only what waits can be dropped; what was sent to a worker or a peer goes on.
    if (!m_queue.Take(task_id)) {
      continue;
    }
    const Pending pending = *TakePending(task_id);
    std::string team;
    const auto refusal = m_admission.Check(m_parts.head->fleet(), pending.request.queue,
                                           pending.request.key_digest, &team);
    Refuse(now, pending, refusal->status, refusal->reason);
  }
}

void RequestRouter::SetLeaving(std::set<std::string, std::less<>> leaving) {
  m_leaving = std::move(leaving);
}

// --- Shares ---

void RequestRouter::UpdateShares(TimePoint now, std::uint64_t rotation) {
  auto leaving = m_leaving;
  leaving.merge(m_peers.Leaving());
  m_runner.workers().SetLeaving(leaving);
  std::map<std::string, int, std::less<>> waiting;
  for (const auto& [name, team] : m_parts.head->fleet().teams) {
    waiting[name] = 0;
  }
  for (const TeamDemand& demand : m_demand.Own()) {
    waiting[demand.team] += demand.waiting;
  }
  for (const auto& [team, count] : waiting) {
    m_parts.slots->SetWaiting(now, team, count);
  }
  for (const auto& [pool, queues] : m_demand.QueuesByPool()) {
    m_parts.shares->Update(now, rotation, pool, m_demand.Of(now, pool));
  }
}

void RequestRouter::FillBeat(Beat* beat) const {
  beat->demand = m_demand.Own();
  beat->free_slots = m_parts.slots->Free();
  beat->leaving_vms = m_runner.workers().Draining();
  beat->leaving_vms.insert(beat->leaving_vms.end(), m_leaving.begin(), m_leaving.end());
}

// --- Forwarding ---

bool RequestRouter::Registered() const {
  return m_parts.head->head().FindIncarnation(m_parts.head->incarnation()) != nullptr;
}

std::optional<std::string> RequestRouter::AnyRegisteredPeer() const {
  std::vector<std::string> peers;
  for (const std::string& incarnation : m_peers.Daemons()) {
    if (m_parts.head->head().FindIncarnation(incarnation) != nullptr) {
      peers.push_back(incarnation);
    }
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  return peers[m_parts.random->Below(peers.size())];
}

void RequestRouter::ForwardWaiting(TimePoint now) {
  for (const auto& [pool, queues] : m_demand.QueuesByPool()) {
    for (const std::string& team : m_queue.Teams(queues)) {
      while (const WaitingRequest* next = m_queue.Peek(now, queues, team)) {
        const auto route = RouteOf(now, pool, team, *next);
        if (!route) {
          break;
        }
        const std::string task_id = next->task_id;
        m_queue.Take(task_id);
        m_peers.UseSlot(route->daemon, team);
        Forward(now, route->daemon, route->reason, *TakePending(task_id));
      }
    }
  }
}

std::optional<RouteChoice> RequestRouter::RouteOf(TimePoint now, const std::string& pool,
                                                  const std::string& team,
                                                  const WaitingRequest& next) {
  const auto pending = m_pending.find(next.task_id);
  if (pending == m_pending.end() || pending->second.request.hops >= kMaxHops) {
    return std::nullopt;
  }
  LocalTeam local = m_demand.Local(now, pool, team);
  local.may_start = HasFreeSlot(team);
  RouteChoice route =
      m_parts.shares->Route(now, pool, local, m_demand.Free(now, pool), m_peers.Holders(team));
  if (!route.forward) {
    return std::nullopt;
  }
  return route;
}

bool RequestRouter::HasFreeSlot(std::string_view team) const {
  for (const FreeSlots& slots : m_parts.slots->Free()) {
    if (slots.team == team) {
      return slots.free > 0;
    }
  }
  return false;
}

void RequestRouter::Forward(TimePoint now, const std::string& incarnation, std::string_view reason,
                            Pending pending) {
  const CallerRequest& request = pending.request;
  ForwardRequest message;
  message.task_id = request.task_id;
  // Only the owner of the ticket may look it up; any other daemon would send it back there.
  message.ticket = TicketBook::OwnerOf(request.ticket) == incarnation ? request.ticket : "";
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
                        OnForwardEnd(at, task_id, reply, no_reply);
                      });
  if (outcome == SendOutcome::kSent) {
    std::string task_id = request.task_id;
    m_pending.emplace(std::move(task_id), std::move(pending));
    return;
  }
  pending.request.hops = kMaxHops;  // Another attempt to forward it would fail the same way.
  if (!message.ticket.empty()) {
    AnswerMayHaveRun(now, pending, "the daemon that issued the ticket cannot be reached");
  } else if (Registered()) {
    Requeue(now, std::move(pending), "the other daemon cannot be reached");
  } else {
    Refuse(now, pending, 503, "no registered daemon can be reached", kStalePatience);
  }
}

void RequestRouter::OnForwardEnd(TimePoint now, const std::string& task_id,
                                 const ForwardReply* reply, std::string_view reason) {
  auto pending = TakePending(task_id);
  if (!pending) {
    return;
  }
  if (reply == nullptr) {
    AnswerMayHaveRun(now, *pending, reason);
    return;
  }
  // A request with another daemon's ticket must not run here, or a retry could run it twice.
  const bool may_run_here = pending->request.ticket.empty() || pending->holds_ticket;
  const bool final_refusal = reply->status == 401 || reply->status == 403 || reply->status == 404;
  const bool retry_here = reply->verdict == Verdict::kNotRun && may_run_here && !final_refusal &&
                          Registered() && now < pending->request.deadline && !m_shutting_down;
  if (retry_here) {
    pending->request.hops = kMaxHops;
    Requeue(now, std::move(*pending), reply->reason);
    return;
  }
  const bool only_this_attempt = reply->verdict == Verdict::kNotRun && pending->may_have_run;
  CallerReply answer;
  answer.verdict = only_this_attempt ? Verdict::kMayHaveRun : reply->verdict;
  answer.status = reply->status;
  answer.reason = reply->reason;
  answer.content_type = reply->content_type;
  answer.body = reply->body;
  Reply(now, *pending, std::move(answer));
}

void RequestRouter::OnMessage(TimePoint now, const std::string& sender,
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
  Accept(now, std::move(request),
         [this, sender, request_id = forwarded->request_id, task_id = forwarded->task_id](
             TimePoint /*at*/, const CallerReply& reply) {
           ForwardReply answer;
           answer.request_id = request_id;
           // The outcome of an earlier use of its ticket carries that use's task id.
           answer.task_id = task_id;
           answer.verdict = reply.verdict;
           answer.status = reply.status;
           answer.reason = reply.reason;
           answer.content_type = reply.content_type;
           answer.body = reply.body;
           m_parts.links->Send(sender, answer);
         });
}

// --- Shutdown ---

void RequestRouter::EndWaiting(TimePoint now) {
  for (const WaitingRequest& waiting : m_queue.TakeAll()) {
    if (const auto pending = TakePending(waiting.task_id)) {
      Refuse(now, *pending, 503, "this daemon is shutting down", kStalePatience);
    }
  }
  m_runner.CheckpointVm("", "this daemon is shutting down");
}

}  // namespace cranberryplank
