#include "job_load.h"

#include <fmt/format.h>

#include <utility>

#include "cranberryplank/platform/http_status.h"

namespace cranberryplank {

namespace {

using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

constexpr Duration kSubmitRetryInterval{250};
constexpr Duration kPollInterval{700};
constexpr double kCancelShare = 0.02;

bool IsEnded(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled";
}

}  // namespace

JobLoad::JobLoad(event_base* base, SimulatedWorkers* workers, RandomSource* random,
                 std::vector<Endpoint> daemons)
    : m_callers(base), m_workers(workers), m_random(random), m_daemons(std::move(daemons)) {}

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
  for (auto& [id, entry] : m_jobs) {
    const bool open = entry.phase != Phase::kRefused && entry.phase != Phase::kEnded;
    if (open && !entry.in_flight && now >= entry.next) {
      Call(now, &entry);
    }
  }
}

void JobLoad::Call(TimePoint now, Entry* entry) {
  const Endpoint& daemon = m_daemons[m_random->Below(m_daemons.size())];
  entry->in_flight = true;
  entry->next = now + (entry->phase == Phase::kSubmitting ? kSubmitRetryInterval : kPollInterval);
  const std::string& id = entry->spec.id;
  if (entry->phase == Phase::kSubmitting) {
    m_callers.Submit(daemon, entry->spec,
                     [this, entry](const CallerResult& result) { OnSubmit(entry, result); });
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
    m_callers.Cancel(daemon, id, done);
  } else {
    m_callers.GetState(daemon, id, done);
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

std::vector<std::string> JobLoad::UnresolvedJobs() const {
  std::vector<std::string> open;
  for (const auto& [id, entry] : m_jobs) {
    if (entry.phase != Phase::kRefused && entry.phase != Phase::kEnded) {
      open.push_back(fmt::format("{} {}", id, entry.state));
    }
  }
  return open;
}

std::vector<std::string> JobLoad::Violations() const {
  std::vector<std::string> violations;
  for (const auto& [id, entry] : m_jobs) {
    if (entry.phase == Phase::kRefused && m_workers->started_jobs().contains(id)) {
      violations.push_back(fmt::format("{} was refused but ran", id));
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
    count += entry.phase == Phase::kRefused || entry.phase == Phase::kSubmitting ? 0 : 1;
  }
  return count;
}

}  // namespace cranberryplank
