#include "cranberryplank/scheduler/advice_cache.h"

#include <utility>

namespace cranberryplank {

namespace {

/// Maximum number of concurrent calls: one is handled while others are in transit.
constexpr int kMaxCalls = 3;
/// Tickets are not used shortly before they expire, because a start takes time to arrive.
constexpr Duration kTicketMargin{300};
constexpr Duration kRetryInterval{100};
constexpr Duration kCallSlack{700};

}  // namespace

std::string_view AdviceCache::Ticket(TimePoint now, const std::string& step,
                                     const std::string& worker) const {
  const auto entry = m_steps.find(step);
  if (entry == m_steps.end() || now >= entry->second.valid_until) {
    return {};
  }
  const auto ticket = entry->second.tickets.find(worker);
  return ticket == entry->second.tickets.end() ? std::string_view() : ticket->second;
}

bool AdviceCache::Answered(TimePoint now, const std::string& step) const {
  const auto entry = m_steps.find(step);
  return entry != m_steps.end() && now < entry->second.valid_until;
}

bool AdviceCache::Prepare(TimePoint now, const AdvicePolicy& policy, const TaskId& step,
                          std::vector<std::string> workers, AdviceOrder* order) {
  Entry& entry = m_steps[step.StepName()];
  if (entry.under_way || now < entry.retry_at || m_under_way >= kMaxCalls || workers.empty()) {
    return false;
  }
  entry.under_way = true;
  entry.sent = now;
  entry.lifetime = policy.ticket_lifetime;
  ++m_under_way;
  order->step = step;
  order->timeout =
      kMaxCalls * (policy.base_time + policy.time_per_worker * static_cast<int>(workers.size())) +
      kCallSlack;
  order->workers = std::move(workers);
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
  entry.retry_at = now + kRetryInterval;
  if (!reply.answered) {
    return;
  }
  const Duration lifetime = reply.lifetime > Duration(0) ? reply.lifetime : entry.lifetime;
  entry.valid_until = entry.sent + lifetime - kTicketMargin;
  for (const AdviceTicket& ticket : reply.tickets) {
    entry.tickets[ticket.worker] = ticket.ticket;
  }
}

void AdviceCache::Reject(const std::string& step, const std::string& worker) {
  const auto entry = m_steps.find(step);
  if (entry != m_steps.end()) {
    entry->second.tickets.erase(worker);
    entry->second.valid_until = {};
  }
}

void AdviceCache::Expire(TimePoint now) {
  std::erase_if(m_steps, [&](const auto& item) {
    return !item.second.under_way && now >= item.second.valid_until && now >= item.second.retry_at;
  });
}

void AdviceCache::ForgetJob(const std::string& job) {
  std::erase_if(m_steps, [&](const auto& item) {
    return !item.second.under_way && item.first.starts_with(job + ".");
  });
}

}  // namespace cranberryplank
