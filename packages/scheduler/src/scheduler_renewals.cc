#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

namespace {

/// Delay before a failed lease renewal is retried; it doubles up to the second value.
constexpr Duration kFirstRetry{60};
constexpr Duration kMaxRetry{400};
/// Pause while ended runs wait for the store. The worker would reply at once to a renewal that does
/// not acknowledge them.
constexpr Duration kUnstoredEndedRunsWait{150};
constexpr Duration kUntrackedStopInterval{500};
/// Interval at which a worker with untracked runs is checked until they have ended.
constexpr Duration kUntrackedCheckInterval{100};
constexpr std::size_t kMaxRenewalsInFlight = 3;
/// Start of a run that an earlier owner began. That owner has stored the run if the worker fell
/// silent right after the start; otherwise the worker counts as having outlived it.
constexpr std::int64_t kFirstClockMs = 1;

}  // namespace

std::int64_t Scheduler::GrantLease(TimePoint now, Worker* worker) const {
  const std::int64_t until = EstimateClockMs(worker->clock, now) +
                             std::min(m_settings.lease, m_settings.max_lease).count();
  worker->lease_until_ms = std::max(worker->lease_until_ms, until);
  worker->lease_bound =
      std::max(worker->lease_bound, LatestLocalTime(worker->clock, worker->lease_until_ms));
  return worker->lease_until_ms;
}

void Scheduler::SendRenewals(TimePoint now) {
  if (!MayAct(now)) {
    return;
  }
  for (auto& [id, worker] : m_workers) {
    if (worker.renewals.empty() && now >= worker.next_renewal) {
      SendRenewal(now, &worker);
    }
  }
}

void Scheduler::SendRenewal(TimePoint now, Worker* worker) {
  if (!MayAct(now) || worker->renewals.size() >= kMaxRenewalsInFlight) {
    return;
  }
  LeaseRenewalOrder order;
  order.call = ++m_last_call;
  order.not_after = m_authority.until;
  order.fence = worker->fence;
  const bool trusted = worker->reconciled && worker->clock.known && !worker->restart_suspected_at &&
                       worker->failed_renewals == 0;
  // A restarted worker numbers its ended runs from 1 again, so an old acknowledgement could hide
  // new ended runs. It is therefore not sent again once confirmed, nor after or beside a call
  // without a reply, which may be the first sign of a restart. Such a call raises the fence, so an
  // answered renewal with the present fence shows that the worker has not restarted.
  const bool acknowledges =
      trusted && worker->answered_fence == worker->fence && worker->renewals.empty();
  order.acknowledged = acknowledges && worker->acknowledged > worker->acknowledged_by_worker
                           ? worker->acknowledged
                           : 0;
  if (trusted && !worker->runs.empty()) {
    order.lease_until_ms = GrantLease(now, worker);
  }
  const bool resolves = std::any_of(worker->runs.begin(), worker->runs.end(), [](const auto& item) {
    return item.second.phase == RunPhase::kUncertain;
  });
  if (trusted && !resolves && !worker->has_untracked_runs && !worker->more_ended &&
      worker->pending_acknowledgements.empty()) {
    order.wait = worker->trial ? std::min(m_settings.renewal_wait, TrialRenewalWait())
                               : m_settings.renewal_wait;
  }
  worker->renewals[order.call] = {now, order.fence, order.acknowledged};
  worker->acknowledged_sent = std::max(worker->acknowledged_sent, order.acknowledged);
  ++m_counters.renewals;
  m_link->RenewLease(worker->info, order);
}

void Scheduler::OnLeaseRenewal(TimePoint now, const std::string& id,
                               const LeaseRenewalReply& reply) {
  Worker* worker = FindWorker(id);
  if (worker == nullptr) {
    return;
  }
  const auto sent = worker->renewals.find(reply.call);
  if (sent == worker->renewals.end()) {
    return;
  }
  RenewalInFlight renewal = sent->second;
  worker->renewals.erase(sent);
  if (!m_active) {
    return;
  }
  if (reply.outcome != CallOutcome::kOk) {
    OnRenewalFailed(now, worker, renewal, reply.outcome);
    return;
  }
  if (reply.started_unix_ms != 0 && reply.started_unix_ms != worker->info.started_unix_ms) {
    BeginIncarnation(now, worker, reply.started_unix_ms);
  }
  if (worker->restart_suspected_at && renewal.sent >= *worker->restart_suspected_at) {
    worker->restart_suspected_at.reset();
  }
  if (worker->failed_renewals > 0) {
    m_record_changed = m_record_changed || !worker->recorded;
    LogLine(LogLevel::kInfo, "worker_answers")
        .Field("worker", id)
        .Field("failed_holds", worker->failed_renewals);
  }
  worker->failed_renewals = 0;
  worker->answered_fence = std::max(worker->answered_fence, renewal.fence);
  worker->heard_clock_ms = std::max(worker->heard_clock_ms, reply.clock_ms);
  ClearUnproved(now, *worker);
  if (renewal.acknowledged <= worker->acknowledged) {
    worker->acknowledged_by_worker = std::max(worker->acknowledged_by_worker, renewal.acknowledged);
  }
  worker->clock = {reply.clock_ms, now, true};
  if (!worker->reconciled && renewal.fence >= worker->fence) {
    // The worker refuses earlier orders from now on, so no lease is longer than one granted now.
    worker->reconciled = true;
    worker->reconciled_at = now;
    worker->awaits_earlier_ends = reply.more_ended;
    if (reply.more_ended) {
      LogLine(LogLevel::kInfo, "earlier_ends_awaited").Field("worker", id);
    }
    WantConfirmation(now);
    worker->lease_bound =
        now + (worker->MayHoldEarlierDeadline() ? LongestEarlierLease() : LongestLease());
    m_unreconciled.erase(id);
  }
  // The list in this reply reflects the ended runs in it, but not necessarily runs that were
  // removed after the renewal was sent.
  renewal.outdated = worker->last_removed > renewal.sent;
  CheckEarlierEnds(worker, renewal, reply);
  ApplyEndedRuns(now, worker, reply);
  if (renewal.sent >= worker->last_list_sent) {
    worker->has_untracked_runs = false;
    worker->more_ended = reply.more_ended;
    worker->last_list_sent = renewal.sent;
    ApplyList(now, worker, renewal, reply);
  }
  ClearOutlived(now, worker);
  ReleaseAcknowledged(now, worker);
  worker->next_renewal = now + PauseAfterRenewal(*worker);
  m_schedule_needed = true;
}

Duration Scheduler::PauseAfterRenewal(const Worker& worker) const {
  if (worker.has_untracked_runs) {
    return kUntrackedCheckInterval;
  }
  if (!worker.pending_acknowledgements.empty()) {
    return kUnstoredEndedRunsWait;
  }
  return worker.idle() ? IdleRenewalPause(m_workers.size(), m_settings.renewal_wait) : Duration(0);
}

void Scheduler::OnFenceRefused(const Worker& worker, std::uint64_t fence) {
  if (fence != worker.fence) {
    return;
  }
  LogLine(LogLevel::kWarning, "fenced")
      .Field("worker", worker.info.id)
      .Field("fence", fence)
      .Field("epoch", m_epoch);
  m_fenced = true;
}

void Scheduler::OnRenewalFailed(TimePoint now, Worker* worker, const RenewalInFlight& renewal,
                                CallOutcome outcome) {
  ++m_counters.failed_renewals;
  if (outcome == CallOutcome::kFenced) {
    OnFenceRefused(*worker, renewal.fence);
    return;
  }
  if (worker->failed_renewals == 0) {
    LogLine(LogLevel::kInfo, "worker_silent")
        .Field("worker", worker->info.id)
        .Field("outcome", ToString(outcome))
        .Field("runs", worker->runs.size())
        .Field("registered", worker->registered);
    RecordSuspects(now, *worker);
  }
  const int doublings = std::min(worker->failed_renewals, 4);
  ++worker->failed_renewals;
  worker->next_renewal = now + std::min(kFirstRetry * (1 << doublings), kMaxRetry);
}

void Scheduler::CheckEarlierEnds(Worker* worker, const RenewalInFlight& renewal,
                                 const LeaseRenewalReply& reply) {
  // A reply to an earlier call may be older than the list that left out ended runs.
  if (!worker->awaits_earlier_ends || renewal.sent < worker->reconciled_at) {
    return;
  }
  // Ended runs are listed in the order in which they ended. So one that ended later shows that the
  // earlier ones have been listed, also if the worker always has more of them than one list holds.
  const bool any_later =
      std::any_of(reply.ended.begin(), reply.ended.end(),
                  [&](const EndedRun& end) { return EndedAfterReconciliation(*worker, end); });
  if (reply.more_ended && !any_later) {
    return;
  }
  worker->awaits_earlier_ends = false;
  LogLine(LogLevel::kInfo, "earlier_ends_listed")
      .Field("worker", worker->info.id)
      .Field("last_number", reply.ended.empty() ? 0 : reply.ended.back().number);
}

bool Scheduler::EndedAfterReconciliation(const Worker& worker, const EndedRun& end) const {
  const TaskRef task = m_jobs.Resolve(end.task);
  const auto placed = task.job == nullptr ? worker.runs.end() : worker.runs.find(task);
  return placed != worker.runs.end() && placed->second.run == end.run &&
         placed->second.listed_at >= worker.reconciled_at;
}

void Scheduler::ApplyEndedRuns(TimePoint now, Worker* worker, const LeaseRenewalReply& reply) {
  // One line for all of a reply's runs, because a line for each run would be most of the log of an
  // owner that ends a thousand runs per second.
  std::string ended;
  for (const EndedRun& end : reply.ended) {
    if (end.number > worker->last_ended_number) {
      fmt::format_to(std::back_inserter(ended), "{}{}:{}:{}", ended.empty() ? "" : " ", end.task,
                     end.run, ToString(end.kind));
      ApplyEndedRun(now, worker, end);
      worker->last_ended_number = end.number;
    }
  }
  if (!ended.empty()) {
    LogLine(LogLevel::kInfo, "tasks_ended").Field("worker", worker->info.id).Field("runs", ended);
  }
}

void Scheduler::ApplyEndedRun(TimePoint now, Worker* worker, const EndedRun& end) {
  const TaskRef task = m_jobs.Resolve(end.task);
  PendingAcknowledgement pending;
  pending.number = end.number;
  if (task.job != nullptr) {
    pending.job = m_jobs.jobs().at(task.job->spec.id);
    pending.job->started = true;
    JobTaskState* state = task.state();
    if (state != nullptr) {
      state->last_run = std::max(state->last_run, end.run);
      if (!end.saved.empty()) {
        state->saved = end.saved;
      }
    }
    const auto placed = worker->runs.find(task);
    const bool is_placed = placed != worker->runs.end() && placed->second.run <= end.run;
    if (is_placed) {
      RemoveRun(now, worker, task);
    }
    if (end.kind == RunEndKind::kDone || end.kind == RunEndKind::kFailed) {
      ClearSuspicion(now, task);
    }
    if (end.kind == RunEndKind::kDone) {
      worker->failure_streak = 0;
      if (state != nullptr && !task.spec().long_running && !IsFinal(task.job->state)) {
        TaskDone(now, task);
      }
    } else if (end.kind == RunEndKind::kFailed && state != nullptr && !state->done &&
               !IsFinal(task.job->state)) {
      TaskFailed(now, worker, task, end.run);
    }
    // The acknowledgement also waits for an earlier change, such as a cancellation. Otherwise the
    // next owner would start the task again.
    pending.change = pending.job->change;
  }
  worker->pending_acknowledgements.push_back(std::move(pending));
}

void Scheduler::ApplyList(TimePoint now, Worker* worker, const RenewalInFlight& renewal,
                          const LeaseRenewalReply& reply) {
  std::set<TaskRef> listed_tasks;
  for (const ListedRun& listed : reply.running) {
    const TaskRef task = m_jobs.Resolve(listed.task);
    if (task.job != nullptr) {
      listed_tasks.insert(task);
    }
    ApplyListedRun(now, worker, renewal, listed);
  }
  if (reply.more_ended) {
    return;  // The ends of runs that are not listed may be among those that were left out.
  }
  std::vector<TaskRef> missing;
  for (const auto& [task, run] : worker->runs) {
    const bool resolved = (run.phase == RunPhase::kRunning && run.resolved_at < renewal.sent) ||
                          (run.phase == RunPhase::kUncertain && renewal.fence >= run.fence_needed);
    if (resolved && !listed_tasks.contains(task)) {
      missing.push_back(task);
    }
  }
  for (const TaskRef& task : missing) {
    LogLine(LogLevel::kInfo, "run_not_listed")
        .Field("task", task.Id().Name())
        .Field("run", worker->runs.at(task).run)
        .Field("worker", worker->info.id)
        .Field("uncertain", worker->runs.at(task).phase == RunPhase::kUncertain);
    RemoveRun(now, worker, task);
  }
}

void Scheduler::ApplyListedRun(TimePoint now, Worker* worker, const RenewalInFlight& renewal,
                               const ListedRun& listed) {
  const TaskRef task = m_jobs.Resolve(listed.task);
  if (task.job == nullptr) {
    StopUntrackedRun(now, worker, listed);
    return;
  }
  const auto placed = worker->runs.find(task);
  if (placed != worker->runs.end()) {
    PlacedRun* run = &placed->second;
    if (run->run < listed.run) {
      run->run = listed.run;
      run->began_clock_ms = 0;
    }
    if (run->run == listed.run) {
      UpdateRun(now, *worker, run, task, listed);
    }
    return;
  }
  if (renewal.outdated) {
    // It is unknown whether the run has ended. Nothing is started on the worker until a newer list
    // arrives.
    worker->has_untracked_runs = true;
    return;
  }
  JobTaskState* state = task.state();
  const bool wanted = state != nullptr && !state->done && !IsFinal(task.job->state);
  if (!wanted) {
    StopUntrackedRun(now, worker, listed);
    return;
  }
  // An untracked run of a task that already has a run on another worker is stopped.
  if (state->placed > 0) {
    StopUntrackedRun(now, worker, listed);
    return;
  }
  Adopt(now, worker, task, listed);
}

void Scheduler::UpdateRun(TimePoint now, const Worker& worker, PlacedRun* run, const TaskRef& task,
                          const ListedRun& listed) {
  if (run->began_clock_ms == 0) {
    run->began_clock_ms = worker.clock.clock_ms;
  }
  if (run->phase != RunPhase::kRunning) {
    run->phase = RunPhase::kRunning;
    run->job->started = true;
    run->resolved_at = now;
    run->progressed_at = now;
  }
  if (listed.percent != run->percent) {
    run->percent = listed.percent;
    run->progressed_at = now;
  }
  run->listed_at = now;
  run->usage = listed.usage;
  JobTaskState* state = task.state();
  if (state == nullptr) {
    return;
  }
  if (!listed.saved.empty()) {
    state->saved = listed.saved;
  }
  const bool ready = listed.percent >= 100 && !run->stopping;
  if (task.spec().long_running && ready != state->ready) {
    state->ready = ready;
  }
}

void Scheduler::Adopt(TimePoint now, Worker* worker, const TaskRef& task, const ListedRun& listed) {
  LogLine(LogLevel::kInfo, "run_adopted")
      .Field("task", listed.task)
      .Field("run", listed.run)
      .Field("worker", worker->info.id);
  task.state()->last_run = std::max(task.state()->last_run, listed.run);
  PlacedRun* run = AddRun(now, worker, task, listed.run);
  run->began_clock_ms = kFirstClockMs;
  UpdateRun(now, *worker, run, task, listed);
}

void Scheduler::StopUntrackedRun(TimePoint now, Worker* worker, const ListedRun& listed) {
  // The resources of an untracked run are unknown, so nothing is started on the worker.
  worker->has_untracked_runs = true;
  const auto id = TaskId::Parse(listed.task);
  TimePoint& sent = worker->untracked_stops[listed.task];
  if (!id || now - sent < kUntrackedStopInterval || !MayAct(now)) {
    return;
  }
  sent = now;
  ++m_counters.stops;
  LogLine(LogLevel::kInfo, "stop")
      .Field("task", listed.task)
      .Field("run", listed.run)
      .Field("worker", worker->info.id)
      .Field("reason", "the run is not needed");
  m_link->Stop(worker->info, {*id, listed.run, worker->fence, m_authority.until});
}

void Scheduler::ReleaseAcknowledged(TimePoint now) {
  for (auto& [id, worker] : m_workers) {
    ReleaseAcknowledged(now, &worker);
  }
}

void Scheduler::ReleaseAcknowledged(TimePoint now, Worker* worker) {
  while (!worker->pending_acknowledgements.empty() &&
         worker->pending_acknowledgements.front().Stored()) {
    worker->acknowledged = worker->pending_acknowledgements.front().number;
    worker->pending_acknowledgements.pop_front();
    ++m_counters.ends_stored;
  }
  if (worker->pending_acknowledgements.empty() &&
      worker->acknowledged > worker->acknowledged_sent && worker->failed_renewals == 0) {
    worker->next_renewal = std::min(worker->next_renewal, now);
  }
}

}  // namespace cranberryplank
