#include "cranberryplank/scheduler/advice_cache.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cranberryplank {

namespace {

/// Maximum number of concurrent calls: one is handled while others are in transit.
constexpr int kMaxCalls = 3;
/// Maximum number of workers in one call. The service's time grows with it.
constexpr std::size_t kMaxAdvisedWorkers = 30;
/// Tickets are not used shortly before they expire, because a start takes time to arrive.
constexpr Duration kTicketMargin{300};
constexpr Duration kRetryInterval{100};
constexpr Duration kCallSlack{700};
/// The policy does not change while a step exists, so this only bounds the effect of a wrong
/// answer.
constexpr Duration kRefusalLifetime{60'000};
/// A step without waiting tasks is forgotten after this time.
constexpr Duration kUnusedLifetime{10'000};

}  // namespace

const AdviceCache::Verdict* AdviceCache::FindVerdict(const Entry& entry, const WorkerInfo& worker) {
  const auto verdict = entry.verdicts.find(worker.id);
  const bool found =
      verdict != entry.verdicts.end() && verdict->second.started_unix_ms == worker.started_unix_ms;
  return found ? &verdict->second : nullptr;
}

std::string_view AdviceCache::Ticket(TimePoint now, const std::string& step,
                                     const WorkerInfo& worker) const {
  const auto entry = m_steps.find(step);
  if (entry == m_steps.end()) {
    return {};
  }
  const Verdict* verdict = FindVerdict(entry->second, worker);
  if (verdict == nullptr || !verdict->granted || now >= verdict->valid_until) {
    return {};
  }
  return verdict->ticket;
}

std::vector<const WorkerInfo*> AdviceCache::ChooseWorkers(
    TimePoint now, const Entry& entry, std::span<const AdviceCandidate> candidates) {
  struct Choice {
    std::tuple<bool, bool, bool> rank;  ///< Lower goes first.
    const WorkerInfo* worker = nullptr;
  };
  bool holds_ticket = false;
  std::vector<Choice> choices;
  for (const AdviceCandidate& candidate : candidates) {
    const Verdict* verdict = FindVerdict(entry, *candidate.worker);
    const bool granted = verdict != nullptr && verdict->granted;
    if (verdict != nullptr && now < verdict->valid_until) {
      holds_ticket = holds_ticket || granted;
      continue;
    }
    choices.push_back({{!candidate.has_room, !granted, !candidate.near_data}, candidate.worker});
  }
  if (holds_ticket) {
    // A worker without room is asked about only so that some ticket is at hand once it has room.
    std::erase_if(choices, [](const Choice& choice) { return std::get<0>(choice.rank); });
  }
  std::stable_sort(choices.begin(), choices.end(),
                   [](const Choice& a, const Choice& b) { return a.rank < b.rank; });
  std::vector<const WorkerInfo*> chosen;
  for (const Choice& choice : choices) {
    if (chosen.size() < kMaxAdvisedWorkers) {
      chosen.push_back(choice.worker);
    }
  }
  return chosen;
}

bool AdviceCache::Prepare(TimePoint now, const AdvicePolicy& policy, const TaskId& step,
                          std::span<const AdviceCandidate> candidates, AdviceOrder* order) {
  Entry& entry = m_steps[step.StepName()];
  entry.considered = now;
  if (entry.under_way || now < entry.retry_at || m_under_way >= kMaxCalls) {
    return false;
  }
  const std::vector<const WorkerInfo*> workers = ChooseWorkers(now, entry, candidates);
  if (workers.empty()) {
    return false;
  }
  entry.under_way = true;
  entry.sent = now;
  entry.lifetime = policy.ticket_lifetime;
  entry.asked.clear();
  ++m_under_way;
  order->step = step;
  for (const WorkerInfo* worker : workers) {
    order->workers.push_back(worker->id);
    entry.asked.emplace(worker->id, worker->started_unix_ms);
  }
  order->timeout =
      kMaxCalls * (policy.base_time + policy.time_per_worker * static_cast<int>(workers.size())) +
      kCallSlack;
  return true;
}

void AdviceCache::OnReply(TimePoint now, const AdviceOrder& order, const AdviceReply& reply) {
  --m_under_way;
  const auto it = m_steps.find(order.step.StepName());
  if (it == m_steps.end()) {
    return;
  }
  Entry& entry = it->second;
  entry.under_way = false;
  if (!reply.answered) {
    entry.retry_at = now + kRetryInterval;
    return;
  }
  for (const auto& [worker, started_unix_ms] : entry.asked) {
    entry.verdicts[worker] = {started_unix_ms, false, {}, entry.sent + kRefusalLifetime};
  }
  const Duration lifetime = reply.lifetime > Duration(0) ? reply.lifetime : entry.lifetime;
  for (const AdviceTicket& ticket : reply.tickets) {
    const auto asked = entry.asked.find(ticket.worker);
    if (asked != entry.asked.end()) {
      entry.verdicts[ticket.worker] = {asked->second, true, ticket.ticket,
                                       entry.sent + lifetime - kTicketMargin};
    }
  }
}

void AdviceCache::Reject(const std::string& step, const std::string& worker) {
  const auto entry = m_steps.find(step);
  if (entry != m_steps.end()) {
    entry->second.verdicts.erase(worker);
  }
}

void AdviceCache::Expire(TimePoint now) {
  std::erase_if(m_steps, [&](const auto& item) {
    return !item.second.under_way && now >= item.second.considered + kUnusedLifetime;
  });
}

void AdviceCache::ForgetJob(const std::string& job) {
  std::erase_if(m_steps, [&](const auto& item) {
    return !item.second.under_way && item.first.starts_with(job + ".");
  });
}

}  // namespace cranberryplank
