#include "cranberryplank/daemon/demand_table.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/policy/capacity_estimator.h"

namespace cranberryplank {

DemandTable::DemandTable(const HeadControl* head, const WaitingQueue* queue, TaskRunner* runner,
                         const PeerTable* peers)
    : m_head(head), m_queue(queue), m_runner(runner), m_peers(peers) {}

void DemandTable::SetFleet(const Fleet& fleet) {
  m_queues_by_pool.clear();
  for (const auto& [name, queue] : fleet.queues) {
    m_queues_by_pool[queue.pool].push_back(name);
  }
}

const std::vector<std::string>& DemandTable::QueuesOf(std::string_view pool) const {
  static const std::vector<std::string> none;
  const auto found = m_queues_by_pool.find(pool);
  return found == m_queues_by_pool.end() ? none : found->second;
}

std::vector<TeamDemand> DemandTable::LocalDemand() const {
  std::map<std::pair<std::string, std::string>, TeamDemand> demand;
  for (const auto& [pool, teams] : m_runner->Counts()) {
    for (const auto& [team, running] : teams) {
      if (running > 0) {
        demand[{pool, team}].running = running;
      }
    }
  }
  for (const auto& [pool, queues] : m_queues_by_pool) {
    for (const std::string& team : m_queue->Teams(queues)) {
      demand[{pool, team}].waiting = m_queue->Waiting(queues, team);
    }
  }
  std::vector<TeamDemand> list;
  for (auto& [key, entry] : demand) {
    entry.pool = key.first;
    entry.team = key.second;
    list.push_back(std::move(entry));
  }
  return list;
}

PoolDemand DemandTable::TotalDemand(TimePoint now, const std::string& pool) {
  const std::string self(m_head->incarnation());
  PoolDemand demand;
  demand.daemons = m_peers->Daemons();
  demand.daemons.push_back(self);
  std::sort(demand.daemons.begin(), demand.daemons.end());
  demand.demand = m_peers->Demand(pool);
  int elsewhere = 0;
  for (const DaemonDemand& entry : demand.demand) {
    elsewhere += entry.running;
  }
  m_runner->workers().SetRunningElsewhere(pool, elsewhere);
  std::map<std::string, int, std::less<>> outside;
  for (const TeamDemand& own : LocalDemand()) {
    if (own.pool == pool) {
      demand.demand.push_back(DaemonDemand{self, own.team, own.running, own.waiting});
    } else {
      outside[own.team] += own.running;
    }
  }
  for (const auto& [name, team] : m_head->fleet().teams) {
    const int limit =
        team.contract.upper_limit - outside[name] - m_peers->RunningOutside(pool, name);
    demand.teams.push_back(TeamShare{name, team.contract.share_weight, std::max(limit, 0)});
  }
  demand.capacity = CapacityEstimator::Estimate(now, pool, m_runner->workers().Views(now, pool),
                                                m_runner->health())
                        .usable;
  return demand;
}

std::vector<LocalTeam> DemandTable::LocalTeams(
    TimePoint now, const std::string& pool,
    const std::set<std::string, std::less<>>& blocked) const {
  std::vector<LocalTeam> teams;
  bool any_may_start = false;
  for (const std::string& name : m_queue->Teams(QueuesOf(pool))) {
    LocalTeam team = LocalTeamState(now, pool, name);
    team.may_start = !blocked.contains(name);
    any_may_start = any_may_start || team.may_start;
    teams.push_back(std::move(team));
  }
  return any_may_start ? teams : std::vector<LocalTeam>();
}

LocalTeam DemandTable::LocalTeamState(TimePoint now, std::string_view pool,
                                      const std::string& team) const {
  const std::vector<std::string>& queues = QueuesOf(pool);
  LocalTeam local;
  local.team = team;
  local.running = m_runner->Running(pool, team);
  local.waiting = m_queue->Waiting(queues, team);
  local.oldest = m_queue->Oldest(queues, team).value_or(now);
  return local;
}

void DemandTable::CountLost(std::string_view queue) {
  const auto found = m_head->fleet().queues.find(queue);
  if (found != m_head->fleet().queues.end()) {
    ++m_lost[found->second.pool];
  }
}

std::uint64_t DemandTable::LostIn(std::string_view pool) const {
  const auto lost = m_lost.find(pool);
  return lost == m_lost.end() ? 0 : lost->second;
}

Duration DemandTable::ExpectedRunTimeIn(std::string_view pool) const {
  constexpr Duration kWithoutDemand{1'000};
  Duration sum{0};
  int kinds = 0;
  for (const std::string& name : QueuesOf(pool)) {
    const Queue& queue = m_head->fleet().queues.at(name);
    for (const std::string& team : m_queue->Teams(std::span(&name, 1))) {
      sum += m_runner->ExpectedRunTime(team, queue);
      ++kinds;
    }
  }
  return kinds == 0 ? kWithoutDemand : sum / kinds;
}

FreeCapacity DemandTable::Free(TimePoint now, const std::string& pool) {
  FreeCapacity free;
  free.slots = CapacityEstimator::Estimate(now, pool, m_runner->workers().Views(now, pool),
                                           m_runner->health())
                   .free;
  if (free.slots <= 0) {
    m_free_since.erase(pool);
    return free;
  }
  const auto since = m_free_since.try_emplace(pool, now).first;
  free.idle_for = std::chrono::duration_cast<Duration>(now - since->second);
  return free;
}

}  // namespace cranberryplank
