#include "cranberryplank/support/memory_peer_network.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/support/memory_peer_links.h"

namespace cranberryplank {

MemoryPeerNetwork::MemoryPeerNetwork(Schedule schedule, TimeSource time_source,
                                     RandomSource* random)
    : m_schedule(std::move(schedule)), m_time_source(std::move(time_source)), m_random(random) {}

void MemoryPeerNetwork::SetDelay(const std::string& from, const std::string& to, Duration shortest,
                                 Duration longest) {
  Direction& direction = m_directions[{from, to}];
  direction.shortest = shortest;
  direction.longest = std::max(shortest, longest);
}

void MemoryPeerNetwork::SetLoss(const std::string& from, const std::string& to, double fraction) {
  m_directions[{from, to}].loss = fraction;
}

void MemoryPeerNetwork::Partition(const std::string& from, const std::string& to) {
  Direction& direction = m_directions[{from, to}];
  const TimePoint now = m_time_source();
  direction.messages.clear();
  if (!direction.cut_since) {
    direction.cut_since = now;
    m_schedule(now + kLostAfter, [this, from, to](TimePoint at) { BreakIfStillCut(from, to, at); });
  }
}

void MemoryPeerNetwork::PartitionBoth(const std::string& a, const std::string& b) {
  Partition(a, b);
  Partition(b, a);
}

void MemoryPeerNetwork::Heal(const std::string& from, const std::string& to) {
  m_directions[{from, to}].cut_since.reset();
}

void MemoryPeerNetwork::HealBoth(const std::string& a, const std::string& b) {
  Heal(a, b);
  Heal(b, a);
}

void MemoryPeerNetwork::BreakIfStillCut(const std::string& a, const std::string& b, TimePoint now) {
  const auto& cut_since = m_directions[{a, b}].cut_since;
  if (cut_since && now - *cut_since >= kLostAfter) {
    BreakLink(a, b);
  }
}

void MemoryPeerNetwork::BreakLink(const std::string& a, const std::string& b) {
  if (m_up.erase(Unordered(a, b)) == 0) {
    return;
  }
  for (const auto& [from, to] : {Pair(a, b), Pair(b, a)}) {
    m_directions[{from, to}].messages.clear();
    Dispatch(from,
             [to = to](MemoryPeerLinks* links, TimePoint now) { links->m_lost.emit(now, to); });
    RequestLink(from, to);
  }
}

void MemoryPeerNetwork::Pause(const std::string& incarnation) {
  m_endpoints.at(incarnation).paused = true;
}

void MemoryPeerNetwork::Resume(const std::string& incarnation) {
  m_endpoints.at(incarnation).paused = false;
  m_schedule(m_time_source(),
             [this, incarnation](TimePoint now) { RunDeferred(incarnation, now); });
}

void MemoryPeerNetwork::RunDeferred(const std::string& incarnation, TimePoint now) {
  // Looked up each time, because an action may pause or destroy the endpoint.
  for (auto endpoint = m_endpoints.find(incarnation);
       endpoint != m_endpoints.end() && !endpoint->second.paused &&
       !endpoint->second.waiting.empty();
       endpoint = m_endpoints.find(incarnation)) {
    const Action action = std::move(endpoint->second.waiting.front());
    endpoint->second.waiting.pop_front();
    action(now);
  }
}

MemoryPeerNetwork::Pair MemoryPeerNetwork::Unordered(const std::string& a, const std::string& b) {
  return a < b ? Pair(a, b) : Pair(b, a);
}

void MemoryPeerNetwork::Add(MemoryPeerLinks* links) {
  m_endpoints[links->incarnation()].links = links;
}

void MemoryPeerNetwork::Remove(const std::string& incarnation) {
  m_endpoints.erase(incarnation);
  for (const auto& [a, b] : std::set<Pair>(m_up)) {
    if (a == incarnation || b == incarnation) {
      BreakLink(a, b);
    }
  }
}

void MemoryPeerNetwork::RequestLink(const std::string& from, const std::string& to) {
  const auto endpoint = m_endpoints.find(from);
  if (endpoint == m_endpoints.end() || !endpoint->second.links->m_peers.contains(to) ||
      IsUp(from, to) || !m_trying.insert({from, to}).second) {
    return;
  }
  m_schedule(m_time_source(), [this, from, to](TimePoint) { TryConnect(from, to); });
}

bool MemoryPeerNetwork::IsUp(const std::string& a, const std::string& b) const {
  return m_up.contains(Unordered(a, b));
}

bool MemoryPeerNetwork::IsCut(const std::string& a, const std::string& b) {
  return m_directions[{a, b}].cut_since || m_directions[{b, a}].cut_since;
}

bool MemoryPeerNetwork::CanConnect(const std::string& from, const std::string& to) {
  const auto receiver = m_endpoints.find(to);
  return receiver != m_endpoints.end() && !receiver->second.paused &&
         !m_endpoints.at(from).paused && !IsCut(from, to) &&
         !receiver->second.links->m_retired.contains(from);
}

void MemoryPeerNetwork::TryConnect(const std::string& from, const std::string& to) {
  const auto endpoint = m_endpoints.find(from);
  if (endpoint == m_endpoints.end() || !endpoint->second.links->m_peers.contains(to) ||
      IsUp(from, to)) {
    m_trying.erase({from, to});
    return;
  }
  if (!CanConnect(from, to)) {
    m_schedule(m_time_source() + kRetryInterval,
               [this, from, to](TimePoint) { TryConnect(from, to); });
    return;
  }
  m_trying.erase({from, to});
  m_up.insert(Unordered(from, to));
  Dispatch(from, [to](MemoryPeerLinks* links, TimePoint now) { links->m_up.emit(now, to); });
  Dispatch(to, [from](MemoryPeerLinks* links, TimePoint now) { links->m_up.emit(now, from); });
}

bool MemoryPeerNetwork::Send(const std::string& from, const std::string& to, std::string payload) {
  if (!IsUp(from, to)) {
    return false;
  }
  Direction& direction = m_directions[{from, to}];
  if (direction.cut_since || m_random->Fraction() < direction.loss) {
    return true;
  }
  const auto spread = static_cast<std::uint64_t>((direction.longest - direction.shortest).count());
  const Duration delay =
      direction.shortest + Duration(static_cast<Duration::rep>(m_random->Below(spread + 1)));
  direction.last_arrival = std::max(direction.last_arrival, m_time_source() + delay);
  direction.messages.push_back({direction.last_arrival, std::move(payload)});
  m_schedule(direction.last_arrival, [this, from, to](TimePoint now) { Deliver(from, to, now); });
  return true;
}

void MemoryPeerNetwork::Deliver(const std::string& from, const std::string& to, TimePoint now) {
  auto& messages = m_directions[{from, to}].messages;
  // If the link broke after this delivery was scheduled, the queue is empty or holds later
  // messages.
  if (messages.empty() || messages.front().at > now) {
    return;
  }
  std::string payload = std::move(messages.front().payload);
  messages.pop_front();
  const auto receive = [from, payload = std::move(payload)](MemoryPeerLinks* links, TimePoint at) {
    links->Receive(at, from, payload);
  };
  const auto endpoint = m_endpoints.find(to);
  if (endpoint == m_endpoints.end()) {
    return;
  }
  if (endpoint->second.paused || !endpoint->second.waiting.empty()) {
    Dispatch(to, receive);
  } else {
    receive(endpoint->second.links, now);
  }
}

void MemoryPeerNetwork::Dispatch(const std::string& incarnation,
                                 std::function<void(MemoryPeerLinks*, TimePoint)> emit) {
  const auto endpoint = m_endpoints.find(incarnation);
  if (endpoint == m_endpoints.end()) {
    return;
  }
  const auto run = [this, incarnation, emit = std::move(emit)](TimePoint now) {
    const auto found = m_endpoints.find(incarnation);
    if (found != m_endpoints.end()) {
      emit(found->second.links, now);
    }
  };
  // Queued behind deferred actions to preserve the order.
  if (endpoint->second.paused || !endpoint->second.waiting.empty()) {
    endpoint->second.waiting.push_back(run);
  } else {
    m_schedule(m_time_source(), run);
  }
}

}  // namespace cranberryplank
