#include "cranberryplank/support/worker_fleet.h"

#include <fmt/format.h>

#include <string>
#include <utility>

namespace cranberryplank {

SimulatedWorker& WorkerFleet::Add(Scheduler* scheduler, const WorkerAddress& address,
                                  const WorkerSettings& settings) {
  auto worker = std::make_unique<SimulatedWorker>(
      scheduler, fmt::format("{}:{}", address.host, address.port), settings);
  return *m_members.try_emplace(address, std::move(worker)).first->second.worker;
}

WorkerFleet::Member* WorkerFleet::Find(const WorkerAddress& address) {
  const auto it = m_members.find(address);
  return it == m_members.end() ? nullptr : &it->second;
}

int WorkerFleet::Starts(std::string_view task_id) const {
  int starts = 0;
  for (const auto& [address, member] : m_members) {
    const auto it = member.worker->log().find(task_id);
    starts += it == member.worker->log().end() ? 0 : it->second.starts;
  }
  return starts;
}

std::vector<std::string> WorkerFleet::DuplicateTasks() const {
  std::map<std::string, int> starts;
  for (const auto& [address, member] : m_members) {
    for (const auto& [id, task] : member.worker->log()) {
      starts[id] += task.starts;
    }
  }
  std::vector<std::string> duplicates;
  for (const auto& [id, count] : starts) {
    if (count > 1) {
      duplicates.push_back(id);
    }
  }
  return duplicates;
}

}  // namespace cranberryplank
