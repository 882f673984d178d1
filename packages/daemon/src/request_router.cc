#include "cranberryplank/daemon/request_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/model/invariant.h"
#include "cranberryplank/model/log.h"
#include "cranberryplank/policy/retry_after.h"

namespace cranberryplank {

namespace {

constexpr Duration kShareInterval{200};

/// Time for which the outcome of an unanswered start is queried before the caller receives the
/// verdict "may have run". Longer than the start-by deadline, after which a worker can report that
/// the task did not run.
constexpr Duration kOutcomeTimeout{3'000};

/// Maximum number of starts of one request, after which it is not tried again.
constexpr int kMaxAttempts = 10;

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
      m_suspects(&m_runner, &m_peers),
      m_demand(parts.head, &m_queue, &m_runner, &m_peers),
      m_pending(&m_tickets, parts.metrics),
      m_forwarder(
          ForwarderParts{parts.head, parts.slots, parts.links, parts.shares, parts.random, &m_peers,
                         &m_demand, &m_queue, &m_pending},
          [this](TimePoint now, PendingRequest pending, std::string_view reason) {
            Requeue(now, std::move(pending), reason);
          },
          [this](TimePoint now, CallerRequest request, ReplyCallback done) {
            Accept(now, std::move(request), std::move(done));
          }),
      m_expirer(parts.head, &m_admission, &m_queue, &m_pending, &m_demand,
                [this](TimePoint now, std::string* last_reason) {
                  return DispatchUntil(now, last_reason);
                }) {
  m_parts.head->signal_changed().connect(sigc::mem_fun(*this, &RequestRouter::OnConfiguration));
}

std::string RequestRouter::Accept(TimePoint now, CallerRequest request, ReplyCallback done) {
  if (request.task_id.empty()) {
    request.task_id = m_parts.random->Nonce();
  }
  std::string task_id = request.task_id;
  PendingRequest pending;
  pending.request = std::move(request);
  pending.done = std::move(done);
  pending.accepted = now;
  Admit(now, std::move(pending));
  return task_id;
}

void RequestRouter::Admit(TimePoint now, PendingRequest pending) {
  CallerRequest& request = pending.request;
  if (m_pending.Find(request.task_id) != nullptr) {
    // Only requests from other daemons carry a task id. The earlier request may still run.
    m_pending.AnswerMayHaveRun(now, pending, "a request with this task id is under way");
    return;
  }
  const auto refusal =
      m_admission.Check(m_parts.head->fleet(), request.queue, request.key_digest, &request.team);
  if (refusal) {
    m_pending.Refuse(now, pending, refusal->status, refusal->reason);
    return;
  }
  if (!request.ticket.empty() && !AdmitTicket(now, &pending)) {
    return;
  }
  if (m_shutting_down) {
    m_pending.Refuse(now, pending, 503, "this daemon is shutting down", kStaleGracePeriod);
    return;
  }
  std::string stale_reason;
  if (DispatchUntil(now, &stale_reason)) {
    Enqueue(now, std::move(pending));
    return;
  }
  if (m_forwarder.ForwardUnregistered(now, &pending)) {
    return;
  }
  m_pending.Refuse(now, pending, 503, stale_reason, kStaleGracePeriod);
}

bool RequestRouter::AdmitTicket(TimePoint now, PendingRequest* pending) {
  CallerRequest& request = pending->request;
  const std::string owner(TicketTable::OwnerOf(request.ticket));
  if (owner != m_parts.head->incarnation()) {
    if (m_parts.head->head().FindIncarnation(owner) == nullptr || request.hops >= kMaxHops) {
      m_pending.AnswerMayHaveRun(now, *pending, "the daemon that issued the ticket is gone");
      return false;
    }
    m_forwarder.Forward(now, owner, "owner of the ticket", std::move(*pending));
    return false;
  }
  CallerReply reply;
  switch (m_tickets.Admit(now, request, &reply, pending->done)) {
    case TicketTable::Admission::kRun:
      pending->holds_ticket = true;
      pending->done = [this, ticket = request.ticket, done = pending->done](
                          TimePoint at, const CallerReply& outcome) {
        m_tickets.Finish(at, ticket, outcome);
        done(at, outcome);
      };
      return true;
    case TicketTable::Admission::kWait:
      LogLine(LogLevel::kInfo, "ticket").Field("task", request.task_id).Field("state", "running");
      return false;
    case TicketTable::Admission::kReplay:
      LogLine(LogLevel::kInfo, "ticket").Field("task", request.task_id).Field("state", "replayed");
      pending->done(now, reply);
      return false;
    case TicketTable::Admission::kUnknown:
      m_pending.AnswerMayHaveRun(now, *pending, "the ticket has expired");
      return false;
    case TicketTable::Admission::kMismatch:
      m_pending.AnswerMayHaveRun(now, *pending, "the ticket belongs to another request");
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

void RequestRouter::Enqueue(TimePoint now, PendingRequest pending) {
  const CallerRequest& request = pending.request;
  const auto queue = m_parts.head->fleet().queues.find(request.queue);
  if (queue == m_parts.head->fleet().queues.end()) {
    m_pending.Refuse(now, pending, 404, "unknown queue");
    return;
  }
  m_expirer.RefuseExpired(now);
  switch (Push(now, pending, queue->second.max_waiting)) {
    case PushResult::kQueued:
      break;
    case PushResult::kFull:
      m_demand.CountLost(request.queue);
      m_pending.Refuse(now, pending, 429, "queue full", RetryAfterFor(request, queue->second));
      return;
    case PushResult::kDuplicate:
      m_pending.AnswerMayHaveRun(now, pending, "a request with this task id waits");
      return;
    case PushResult::kExpired:
      m_pending.Refuse(now, pending, 503, "deadline passed");
      return;
  }
  const std::string pool = queue->second.pool;
  m_pending.Add(std::move(pending));
  DispatchWaiting(now, pool);
}

bool RequestRouter::Cancel(TimePoint now, std::string_view task_id) {
  if (!m_queue.Take(task_id)) {
    return false;
  }
  const auto pending = m_pending.Take(task_id);
  if (!pending) {
    return false;
  }
  m_pending.Refuse(now, *pending, 503, "cancelled by the caller");
  return !pending->may_have_run;
}

Duration RequestRouter::RetryAfterFor(const CallerRequest& request, const Queue& queue) {
  RefusalState state;
  state.waiting = m_queue.Waiting(m_demand.QueuesOf(queue.pool), request.team);
  state.slots = m_runner.Running(queue.pool, request.team);
  state.run_time = m_runner.ExpectedRunTime(request.team, queue);
  return RetryAfter::Compute(state, *m_parts.random);
}

std::optional<TimePoint> RequestRouter::DispatchUntil(TimePoint now,
                                                      std::string* last_reason) const {
  if (!m_options.rules.check_freshness) {
    return now + kStaleGracePeriod;
  }
  return m_parts.head->FreshUntil(now, last_reason);
}

void RequestRouter::DispatchAllPools(TimePoint now) {
  for (const auto& [pool, queues] : m_demand.QueuesByPool()) {
    DispatchWaiting(now, pool);
  }
}

void RequestRouter::DispatchWaiting(TimePoint now, const std::string& pool) {
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
  PendingRequest* found = m_pending.Find(waiting.task_id);
  if (found == nullptr) {
    return DispatchOutcome::kRefused;
  }
  PendingRequest& pending = *found;
  if (m_options.rules.check_key_before_dispatch) {
    std::string team;
    const auto refusal = m_admission.Check(m_parts.head->fleet(), pending.request.queue,
                                           pending.request.key_digest, &team);
    if (refusal || team != pending.request.team) {
      const PendingRequest refused = *m_pending.Take(waiting.task_id);
      m_pending.Refuse(now, refused, refusal ? refusal->status : 403,
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
                                                           const PendingRequest& pending) {
  PlacementRequest wanted{pool, m_options.zone, pending.request.idempotent, pending.excluded};
  const std::span<const WorkerView> views = m_runner.workers().Views(now, pool);
  auto choice = m_parts.placement->Choose(now, wanted, views, m_runner.health(), *m_parts.random);
  if (!choice && !pending.excluded.empty()) {
    // The request has failed on every worker with a free slot. Retrying on one of them is preferred
    // over waiting for another worker.
    wanted.excluded = {};
    choice = m_parts.placement->Choose(now, wanted, views, m_runner.health(), *m_parts.random);
  }
  return choice;
}

void RequestRouter::Start(TimePoint now, const Queue& queue, const PlacementChoice& choice,
                          TimePoint fresh_until, PendingRequest* pending) {
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
  // An attempt whose predecessor may still run needs a separate id on the worker.
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
      [this, task_id = request.task_id, vm = choice.vm, pool = queue.pool](
          TimePoint at, const AttemptResult& end) {
        OnEnd(at, task_id, vm, end);
        DispatchWaiting(at, pool);
      },
      [this, task_id = request.task_id, pool = queue.pool](TimePoint at, TaskOutcome outcome) {
        OnResolved(at, task_id, outcome);
        DispatchWaiting(at, pool);
      });
}

void RequestRouter::OnEnd(TimePoint now, const std::string& task_id, const std::string& vm,
                          const AttemptResult& end) {
  auto pending = m_pending.Take(task_id);
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
        m_pending.Refuse(now, *pending, 503,
                         fmt::format("workers refused it: {}", end.result.reason),
                         kStaleGracePeriod);
      }
      break;
    case Verdict::kMayHaveRun:
      OnNoAnswer(now, std::move(*pending), vm);
      break;
  }
}

void RequestRouter::OnCompleted(TimePoint now, PendingRequest pending, const std::string& vm,
                                const AttemptResult& end) {
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
    // The task was started, so the request must not be answered as not run later. The worker also
    // still has the id of the ended attempt, so the next attempt needs a new one.
    pending.may_have_run = true;
    Requeue(now, std::move(pending), "the task failed on the worker");
    return;
  }
  CallerReply reply;
  reply.verdict = Verdict::kCompleted;
  reply.status = end.result.status;
  reply.content_type = end.result.content_type;
  reply.body = end.result.body;
  m_pending.Reply(now, pending, std::move(reply));
}

void RequestRouter::OnCheckpointed(TimePoint now, PendingRequest pending) {
  pending.may_have_run = true;
  if (pending.request.idempotent && now < pending.request.deadline && !m_shutting_down) {
    Requeue(now, std::move(pending), "checkpointed");
    return;
  }
  m_pending.AnswerMayHaveRun(now, pending, "the task was checkpointed before it finished");
}

void RequestRouter::OnNoAnswer(TimePoint now, PendingRequest pending, const std::string& vm) {
  const bool may_rerun =
      pending.request.idempotent || !m_options.rules.never_rerun_after_may_have_run;
  if (may_rerun && pending.attempts < kMaxAttempts && now < pending.request.deadline &&
      m_retries.TryTake(pending.request.team)) {
    pending.may_have_run = true;
    pending.excluded.push_back(vm);
    Requeue(now, std::move(pending), "no answer");
    return;
  }
  pending.answer_by = std::min(now + kOutcomeTimeout, pending.request.deadline);
  m_pending.Add(std::move(pending));
}

void RequestRouter::OnResolved(TimePoint now, const std::string& task_id, TaskOutcome outcome) {
  const PendingRequest* found = m_pending.Find(task_id);
  if (found == nullptr || !found->answer_by) {
    return;
  }
  PendingRequest pending = *m_pending.Take(task_id);
  pending.answer_by.reset();
  if (outcome == TaskOutcome::kEnded) {
    m_pending.AnswerMayHaveRun(now, pending, "the worker's answer was lost");
  } else if (pending.attempts < kMaxAttempts) {
    Requeue(now, std::move(pending), "the worker never received it");
  } else {
    m_pending.Refuse(now, pending, 503, "no worker received it", kStaleGracePeriod);
  }
}

void RequestRouter::Requeue(TimePoint now, PendingRequest pending, std::string_view reason) {
  const CallerRequest& request = pending.request;
  LogLine(LogLevel::kInfo, "requeue")
      .Field("task", request.task_id)
      .Field("attempts", pending.attempts)
      .Field("reason", reason);
  const auto queue = m_parts.head->fleet().queues.find(request.queue);
  if (queue == m_parts.head->fleet().queues.end()) {
    m_pending.Refuse(now, pending, 404, "unknown queue");
    return;
  }
  // The request has already left the queue, so its return may exceed the queue limit by one.
  if (Push(now, pending, queue->second.max_waiting + 1) != PushResult::kQueued) {
    m_pending.Refuse(now, pending, 503, "no time or place to wait for another attempt",
                     kStaleGracePeriod);
    return;
  }
  m_pending.Add(std::move(pending));
}

PushResult RequestRouter::Push(TimePoint now, const PendingRequest& pending, int max_waiting) {
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

void RequestRouter::Tick(TimePoint now, std::uint64_t rotation) {
  m_peers.Tick(now);
  m_expirer.Tick(now);
  m_runner.Tick(now);
  if (now - m_shares_updated >= kShareInterval) {
    m_shares_updated = now;
    UpdateShares(now, rotation);
  }
  DispatchAllPools(now);
  m_forwarder.Tick(now);
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
  m_expirer.RefuseNotAdmitted(now);
}

void RequestRouter::SetLeavingVms(std::set<std::string, std::less<>> leaving) {
  m_leaving_vms = std::move(leaving);
}

void RequestRouter::UpdateShares(TimePoint now, std::uint64_t rotation) {
  auto leaving = m_leaving_vms;
  leaving.merge(m_peers.LeavingVms());
  m_runner.workers().SetLeavingVms(leaving);
  std::map<std::string, int, std::less<>> waiting;
  for (const auto& [name, team] : m_parts.head->fleet().teams) {
    waiting[name] = 0;
  }
  for (const TeamDemand& demand : m_demand.LocalDemand()) {
    waiting[demand.team] += demand.waiting;
  }
  for (const auto& [team, count] : waiting) {
    m_parts.slots->SetWaiting(now, team, count);
  }
  for (const auto& [pool, queues] : m_demand.QueuesByPool()) {
    m_parts.shares->Update(now, rotation, pool, m_demand.TotalDemand(now, pool));
  }
}

void RequestRouter::OnHeartbeat(TimePoint now, const Heartbeat& beat) {
  m_peers.OnHeartbeat(now, beat);
  m_suspects.Take(now, beat);
}

void RequestRouter::FillHeartbeat(TimePoint now, Heartbeat* beat) const {
  beat->demand = m_demand.LocalDemand();
  beat->free_slots = m_parts.slots->Free();
  beat->leaving_vms = m_runner.workers().Draining();
  beat->leaving_vms.insert(beat->leaving_vms.end(), m_leaving_vms.begin(), m_leaving_vms.end());
  beat->suspect_vms = m_suspects.Report(now);
}

void RequestRouter::RefuseWaitingAndCheckpoint(TimePoint now) {
  m_expirer.RefuseAll(now, "this daemon is shutting down");
  m_runner.CheckpointVm("", "this daemon is shutting down");
}

}  // namespace cranberryplank
