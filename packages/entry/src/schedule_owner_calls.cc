#include <algorithm>
#include <utility>

#include "cranberryplank/entry/schedule_owner.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

/// Counts of waiting jobs are at most this old. Many callers ask, and each count visits all jobs.
constexpr Duration kCountInterval{300};
constexpr std::int64_t kRetryWhenStoreFailsMs = 1'000;
constexpr std::int64_t kRetryWhenFullMs = 2'000;
/// Longest time that a call about an unknown job waits for a confirmation of the ownership.
constexpr Duration kConfirmationWait{400};

OwnerReply ReplyOf(OwnerStatus status, std::string_view reason = {}) {
  OwnerReply reply;
  reply.status = status;
  reply.reason = reason;
  return reply;
}

}  // namespace

int ScheduleOwner::WaitingJobs(TimePoint now, const std::string& queue) {
  WaitingCount& count = m_waiting_counts[queue];
  if (now - count.counted_at >= kCountInterval) {
    count = {now, m_scheduler->WaitingJobs(queue)};
  }
  return count.jobs;
}

std::uint64_t ScheduleOwner::AddWaitingCall(Callback done) {
  m_waiting.emplace(++m_last_waiting, std::move(done));
  return m_last_waiting;
}

void ScheduleOwner::Answer(std::uint64_t waiting, const OwnerReply& reply) {
  auto node = m_waiting.extract(waiting);
  if (!node.empty()) {
    node.mapped()(Clock::now(), reply);
  }
}

void ScheduleOwner::End(TimePoint now) {
  const auto waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const auto& [id, done] : waiting) {
    done(now, ReplyOf(OwnerStatus::kUnknown, "the schedule has another owner"));
  }
  for (const UnknownJobCall& waiting_call : std::exchange(m_unknown_job_calls, {})) {
    waiting_call.done(now, ReplyOf(OwnerStatus::kNotOwner, "the schedule has another owner"));
  }
}

std::string ScheduleOwner::QueueIdOf(const OwnerCall& call) const {
  if (!call.queue_path.empty()) {
    return call.queue_path;
  }
  const QueueConfig* configured = m_config ? m_config->FindQueue(call.queue) : nullptr;
  return configured == nullptr ? call.queue : configured->id();
}

bool ScheduleOwner::Knows(const OwnerCall& call) const {
  const JobSpec* spec = m_scheduler->SpecOf(call.job);
  return spec != nullptr && spec->queue_id() == QueueIdOf(call) &&
         (call.kind == OwnerCallKind::kCancel || m_scheduler->StateOf(call.job));
}

bool ScheduleOwner::MayBeInQueue(const OwnerCall& call) const {
  const JobSpec* spec = m_scheduler->SpecOf(call.job);
  return spec != nullptr && spec->queue_path.empty() && !call.queue_path.empty();
}

void ScheduleOwner::AnswerUnknownJobs(Now now) {
  for (UnknownJobCall& waiting : std::exchange(m_unknown_job_calls, {})) {
    if (Knows(waiting.call)) {
      Handle(now, waiting.call, std::move(waiting.done));
    } else if (MayBeInQueue(waiting.call)) {
      waiting.done(now.time, ReplyOf(OwnerStatus::kNotReady, "the job's queue is not known"));
    } else if (MayDeny(waiting)) {
      waiting.done(now.time, ReplyOf(OwnerStatus::kNoSuchJob));
    } else if (now.time - waiting.asked > kConfirmationWait) {
      waiting.done(now.time, ReplyOf(OwnerStatus::kNotReady, "the ownership is not confirmed"));
    } else {
      m_unknown_job_calls.push_back(std::move(waiting));
    }
  }
  // Storing a cancelled job confirms the ownership too.
  const bool wants_confirmation = std::any_of(
      m_unknown_job_calls.begin(), m_unknown_job_calls.end(), [&](const UnknownJobCall& waiting) {
        return waiting.call.kind != OwnerCallKind::kCancel ||
               m_cancelled.IsStored(JobPathOf(waiting.call));
      });
  if (wants_confirmation) {
    m_parts.ownership->RequestConfirmation(now.time);
  }
}

bool ScheduleOwner::MayDeny(const UnknownJobCall& waiting) const {
  const bool refuses_later_ones =
      waiting.call.kind != OwnerCallKind::kCancel || m_cancelled.IsStored(JobPathOf(waiting.call));
  return refuses_later_ones && m_parts.ownership->confirmed() > waiting.asked;
}

void ScheduleOwner::CancelUnknown(Now now, const OwnerCall& call, Callback done) {
  if (!MayBeInQueue(call) && !m_cancelled.Add(now.time, JobPathOf(call))) {
    OwnerReply reply = ReplyOf(OwnerStatus::kRefused, "too many unknown jobs were cancelled");
    reply.retry_after_ms = m_cancelled.OldestKeptFor(now.time).count();
    done(now.time, reply);
    return;
  }
  m_unknown_job_calls.push_back({now.time, call, std::move(done)});
}

void ScheduleOwner::Submit(Now now, const OwnerCall& call, Callback done) {
  if (!call.spec) {
    done(now.time, ReplyOf(OwnerStatus::kRefused, "the submission has no job"));
    return;
  }
  const bool known = m_scheduler->job_table().Find(call.job) != nullptr;
  const std::string path = JobPathOf(call);
  if (!known && m_cancelled.Contains(path)) {
    LogLine(LogLevel::kInfo, "job_refused").Field("job", call.job).Field("reason", "cancelled");
    OwnerReply reply = ReplyOf(OwnerStatus::kRefused, "the job was cancelled");
    reply.retry_after_ms = m_cancelled.RefusedFor(now.time, path).count();
    done(now.time, reply);
    return;
  }
  if (!known && m_writer.failing(now.time)) {
    OwnerReply reply = ReplyOf(OwnerStatus::kRefused, "the store does not accept changes");
    reply.retry_after_ms = kRetryWhenStoreFailsMs;
    done(now.time, reply);
    return;
  }
  if (!known && !m_scheduler->job_table().HasRoomFor(*call.spec)) {
    LogLine(LogLevel::kInfo, "job_refused")
        .Field("job", call.job)
        .Field("customer", call.spec->customer)
        .Field("tasks", call.spec->TaskCount())
        .Field("job_bytes", m_scheduler->job_table().memory())
        .Field("reason", "memory limit");
    OwnerReply reply = ReplyOf(OwnerStatus::kRefused, "the unfinished jobs take too much memory");
    reply.retry_after_ms = kRetryWhenFullMs;
    done(now.time, reply);
    return;
  }
  const std::uint64_t waiting = AddWaitingCall(std::move(done));
  const auto answer = [this, waiting](bool stored) {
    OwnerReply reply = ReplyOf(stored ? OwnerStatus::kOk : OwnerStatus::kRefused,
                               stored ? "" : "the store refused the job");
    reply.retry_after_ms = stored ? 0 : kRetryWhenStoreFailsMs;
    Answer(waiting, reply);
  };
  const bool taken = m_scheduler->Submit(now, *call.spec, answer, call.queue_config);
  if (!taken) {
    Answer(waiting, ReplyOf(OwnerStatus::kNotOwner));
  }
}

void ScheduleOwner::Cancel(Now now, const OwnerCall& call, Callback done) {
  const std::uint64_t waiting = AddWaitingCall(std::move(done));
  m_scheduler->Cancel(now, call.job, [this, waiting](bool stored) {
    Answer(waiting, ReplyOf(stored ? OwnerStatus::kOk : OwnerStatus::kUnknown));
  });
}

void ScheduleOwner::Handle(Now now, const OwnerCall& call, Callback done) {
  OwnerReply reply = ReplyOf(OwnerStatus::kOk);
  switch (call.kind) {
    case OwnerCallKind::kPing:
    case OwnerCallKind::kTakeOver:
      done(now.time, reply);
      return;
    case OwnerCallKind::kSubmit:
      Submit(now, call, std::move(done));
      return;
    case OwnerCallKind::kGetState:
      if (!Knows(call)) {
        m_unknown_job_calls.push_back({now.time, call, std::move(done)});
        return;
      }
      reply.state = *m_scheduler->StateOf(call.job);
      done(now.time, reply);
      return;
    case OwnerCallKind::kCancel:
      if (!Knows(call)) {
        CancelUnknown(now, call, std::move(done));
        return;
      }
      Cancel(now, call, std::move(done));
      return;
    case OwnerCallKind::kCountWaiting:
      reply.waiting = WaitingJobs(now.time, QueueIdOf(call));
      done(now.time, reply);
      return;
  }
}

}  // namespace cranberryplank
