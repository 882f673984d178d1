#include "job_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/platform/http_status.h"

namespace cranberryplank {

namespace {

using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

constexpr Duration kSubmitRetryInterval{250};
constexpr Duration kPollInterval{700};
constexpr double kCancelShare = 0.02;
/// Share of unanswered submissions after which the caller cancels the job instead of a new attempt.
constexpr double kAbandonShare = 0.3;
/// A request can be sent while the daemon's process ends. It need not be answered if the connection
/// is closed within this time.
constexpr Duration kLossSlack{200};
/// Time that the end of a killed process or the work left by a pause takes at most.
constexpr Duration kDisruptionTime{500};
/// Longer times between two ticks count as a delay of this process.
constexpr Duration kUsualTick{30};

bool IsEnded(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled";
}

}  // namespace

JobLoad::JobLoad(event_base* base, SimulatedWorkers* workers, RandomSource* random,
                 std::vector<Endpoint> daemons)
    : m_callers(base),
      m_workers(workers),
      m_random(random),
      m_daemons(std::move(daemons)),
      m_disrupted(m_daemons.size()) {}

void JobLoad::Submit(TimePoint now) {
  constexpr std::uint64_t kCpuRange = 3'000;
  constexpr std::uint64_t kTimeRange = 900;
  Entry entry;
  entry.spec.id = fmt::format("{:016x}", m_random->Next());
  entry.spec.payload = "soak";
  const auto steps = 1 + m_random->Below(3);
  const Resources need{500 + static_cast<std::int64_t>(m_random->Below(kCpuRange)), 500, 0};
  const Duration time{100 + static_cast<Duration::rep>(m_random->Below(kTimeRange))};
  for (std::uint64_t i = 0; i < steps; ++i) {
    StepSpec step;
    step.count = 1 + static_cast<int>(m_random->Below(4));
    step.per_task = need;
    step.estimate_ms = time.count();
    if (i > 0) {
      step.after = {static_cast<int>(i) - 1};
    }
    entry.spec.steps.push_back(step);
  }
  m_workers->SetTask(entry.spec.id, need, time, 0);
  entry.next = now;
  m_jobs.emplace(entry.spec.id, std::move(entry));
}

void JobLoad::Tick(TimePoint now) {
  m_delayed = DelayedTime(now);
  m_last_tick = now;
  Probe();
  for (auto& [id, entry] : m_jobs) {
    if (!IsResolved(entry) && !entry.in_flight && now >= entry.next) {
      Call(now, &entry);
    }
  }
}

void JobLoad::Call(TimePoint now, Entry* entry) {
  const std::size_t number = m_random->Below(m_daemons.size());
  const Endpoint& daemon = m_daemons[number];
  entry->in_flight = true;
  entry->next = now + (entry->phase == Phase::kSubmitting ? kSubmitRetryInterval : kPollInterval);
  const std::string& id = entry->spec.id;
  if (entry->phase == Phase::kSubmitting && entry->outcome_unknown && !m_cancelling_stopped &&
      m_random->Fraction() < kAbandonShare) {
    entry->phase = Phase::kAbandoned;
  }
  if (entry->phase == Phase::kAbandoned) {
    m_callers.Cancel(
        daemon, id,
        Checked(number, "cancellation of " + id,
                [this, entry](const CallerResult& result) { OnAbandoned(entry, result); }));
    return;
  }
  if (entry->phase == Phase::kSubmitting) {
    m_callers.Submit(
        daemon, entry->spec,
        Checked(number, "submission of " + id,
                [this, entry](const CallerResult& result) { OnSubmit(entry, result); }));
    return;
  }
  if (entry->phase == Phase::kAccepted && !m_cancelling_stopped &&
      m_random->Fraction() < kCancelShare) {
    entry->phase = Phase::kCancelling;
  }
  const auto done = [entry](const CallerResult& result) {
    entry->in_flight = false;
    if (!result.answered) {
      return;
    }
    entry->state = result.status == kGone ? "unknown" : result.state;
    if (entry->phase == Phase::kCancelling && result.status == kOk && result.state.empty()) {
      entry->phase = Phase::kAccepted;  // The state that is polled next shows the outcome.
    }
    if (IsEnded(entry->state)) {
      entry->phase = Phase::kEnded;
    }
  };
  if (entry->phase == Phase::kCancelling) {
    m_callers.Cancel(daemon, id, Checked(number, "cancellation of " + id, done));
  } else {
    m_callers.GetState(daemon, id, Checked(number, "query of " + id, done));
  }
}

void JobLoad::OnSubmit(Entry* entry, const CallerResult& result) {
  entry->in_flight = false;
  const bool refused = result.status == kTooManyRequests || result.status == kUnavailable;
  if (result.answered && result.status == kOk) {
    entry->phase = Phase::kAccepted;
  } else if (result.answered && refused) {
    // A refusal applies to its own call only. An earlier unanswered call may have been accepted.
    entry->phase = entry->outcome_unknown ? Phase::kSubmitting : Phase::kRefused;
  } else {
    entry->outcome_unknown = true;
  }
}

void JobLoad::OnAbandoned(Entry* entry, const CallerResult& result) {
  entry->in_flight = false;
  if (result.answered && result.status == kGone) {
    entry->phase = Phase::kDenied;
  } else if (result.answered && result.status == kOk) {
    entry->phase = Phase::kAccepted;  // It was known; the state that is polled next is final.
  }
}

bool JobLoad::IsResolved(const Entry& entry) {
  return entry.phase == Phase::kRefused || entry.phase == Phase::kDenied ||
         entry.phase == Phase::kEnded;
}

void JobLoad::Probe() {
  const std::size_t number = m_probes++ % m_daemons.size();
  m_callers.GetState(m_daemons[number], "0000000000000000",
                     Checked(number, "query of no job", [](const CallerResult&) {}));
}

EmulatedCallers::Callback JobLoad::Checked(std::size_t daemon, std::string call,
                                           EmulatedCallers::Callback done) {
  ++m_calls;
  const TimePoint sent = Clock::now();
  return [this, daemon, call = std::move(call), done = std::move(done), sent,
          delayed = DelayedTime(sent)](const CallerResult& result) {
    const TimePoint now = Clock::now();
    const auto open = now - sent - (DelayedTime(now) - delayed);
    if (result.closed && open > kLossSlack && sent > m_disrupted[daemon] + kDisruptionTime) {
      m_unanswered.push_back(
          fmt::format("whole request without an answer: {} at daemon-{}, closed after {} ms", call,
                      daemon, std::chrono::duration_cast<Duration>(now - sent).count()));
    }
    done(result);
  };
}

void JobLoad::RecordDisruption(std::size_t daemon) { m_disrupted[daemon] = Clock::now(); }

Duration JobLoad::DelayedTime(TimePoint now) const {
  const auto since = std::chrono::duration_cast<Duration>(now - m_last_tick);
  return m_delayed + std::max(since - kUsualTick, Duration(0));
}

std::vector<std::string> JobLoad::UnresolvedJobs() const {
  std::vector<std::string> open;
  for (const auto& [id, entry] : m_jobs) {
    if (!IsResolved(entry)) {
      open.push_back(fmt::format("{} {}", id, entry.state));
    }
  }
  return open;
}

std::vector<std::string> JobLoad::Violations() const {
  std::vector<std::string> violations = m_unanswered;
  for (const auto& [id, entry] : m_jobs) {
    if (entry.phase == Phase::kRefused && m_workers->started_jobs().contains(id)) {
      violations.push_back(fmt::format("{} was refused but ran", id));
    }
    if (entry.phase == Phase::kDenied && m_workers->started_jobs().contains(id)) {
      violations.push_back(fmt::format("{} ran although its cancelling was answered", id));
    }
    if (entry.state == "failed") {
      violations.push_back(fmt::format("{} is reported as failed although no task failed", id));
    }
  }
  return violations;
}

std::size_t JobLoad::accepted() const {
  std::size_t count = 0;
  for (const auto& [id, entry] : m_jobs) {
    const bool accepted = entry.phase == Phase::kAccepted || entry.phase == Phase::kCancelling ||
                          entry.phase == Phase::kEnded;
    count += accepted ? 1 : 0;
  }
  return count;
}

}  // namespace cranberryplank
