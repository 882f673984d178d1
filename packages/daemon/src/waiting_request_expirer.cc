#include "cranberryplank/daemon/waiting_request_expirer.h"

#include <utility>

namespace cranberryplank {

WaitingRequestExpirer::WaitingRequestExpirer(const HeadControl* head,
                                             const AdmissionCheck* admission, WaitingQueue* queue,
                                             PendingRequests* pending, DemandTable* demand,
                                             FreshnessCheck fresh_until)
    : m_head(head),
      m_admission(admission),
      m_queue(queue),
      m_pending(pending),
      m_demand(demand),
      m_fresh_until(std::move(fresh_until)) {}

void WaitingRequestExpirer::Tick(TimePoint now) {
  RefuseExpired(now);
  RefuseStale(now);
  AnswerUnresolved(now);
}

void WaitingRequestExpirer::RefuseExpired(TimePoint now) {
  for (const WaitingRequest& waiting : m_queue->TakeExpired(now)) {
    if (const auto pending = m_pending->Take(waiting.task_id)) {
      m_demand->CountLost(waiting.queue);
      m_pending->Refuse(now, *pending, 503, "deadline passed while waiting");
    }
  }
}

void WaitingRequestExpirer::RefuseStale(TimePoint now) {
  std::string reason;
  if (m_fresh_until(now, &reason)) {
    m_stale_since.reset();
    return;
  }
  if (!m_stale_since) {
    m_stale_since = now;
  }
  if (now - *m_stale_since >= kStaleGracePeriod) {
    RefuseAll(now, reason);
  }
}

void WaitingRequestExpirer::RefuseAll(TimePoint now, std::string_view reason) {
  for (const WaitingRequest& waiting : m_queue->TakeAll()) {
    if (const auto pending = m_pending->Take(waiting.task_id)) {
      m_pending->Refuse(now, *pending, 503, reason, kStaleGracePeriod);
    }
  }
}

void WaitingRequestExpirer::AnswerUnresolved(TimePoint now) {
  const auto due = m_pending->Select([&](const PendingRequest& pending) {
    return pending.answer_by && *pending.answer_by <= now;
  });
  for (const std::string& task_id : due) {
    m_pending->AnswerMayHaveRun(now, *m_pending->Take(task_id), "the worker did not answer");
  }
}

void WaitingRequestExpirer::RefuseNotAdmitted(TimePoint now) {
  const auto refusal_of = [&](const PendingRequest& pending) {
    std::string team;
    return m_admission->Check(m_head->fleet(), pending.request.queue, pending.request.key_digest,
                              &team);
  };
  const auto refused = m_pending->Select(
      [&](const PendingRequest& pending) { return refusal_of(pending).has_value(); });
  for (const std::string& task_id : refused) {
    // Only waiting requests can be refused. Requests sent to a worker or a peer continue.
    if (!m_queue->Take(task_id)) {
      continue;
    }
    const PendingRequest pending = *m_pending->Take(task_id);
    const auto refusal = refusal_of(pending);
    m_pending->Refuse(now, pending, refusal->status, refusal->reason);
  }
}

}  // namespace cranberryplank
