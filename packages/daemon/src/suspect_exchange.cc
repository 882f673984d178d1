#include "cranberryplank/daemon/suspect_exchange.h"

#include <algorithm>
#include <string>

namespace cranberryplank {

void SuspectExchange::Take(TimePoint now, const Heartbeat& beat) {
  for (const SuspectVm& suspect : beat.suspect_vms) {
    // Ignores suspects that the sender itself knows only from reports, which the daemons would
    // otherwise repeat to each other forever.
    if (!suspect.reported && m_runner->workers().Find(suspect.vm) != nullptr) {
      m_runner->health().RecordPeerSuspicion(now, suspect.vm);
    }
  }
}

std::vector<SuspectVm> SuspectExchange::Report(TimePoint now) const {
  const TaskRunner& runner = *m_runner;
  std::vector<SuspectVm> suspects;
  for (const std::string& vm : runner.health().SuspectVms(now)) {
    suspects.push_back(SuspectVm{vm, runner.health().Quarantined(vm), false});
  }
  std::stable_partition(suspects.begin(), suspects.end(),
                        [](const SuspectVm& suspect) { return suspect.quarantined; });
  for (const std::string& vm : runner.health().PeerSuspectVms(now)) {
    suspects.push_back(SuspectVm{vm, false, true});
  }
  std::erase_if(suspects, [&](const SuspectVm& suspect) {
    return runner.workers().Find(suspect.vm) == nullptr;
  });
  if (suspects.size() > kMaxSuspectVms) {
    suspects.resize(kMaxSuspectVms);
  }
  return suspects;
}

bool SuspectExchange::OutOfService(TimePoint now, std::string_view vm) const {
  const WorkerHealth& health = m_runner->health();
  PeerTable::Suspicion suspicion = m_peers->SuspicionOf(vm);
  suspicion.daemons += health.Suspect(now, vm) ? 1 : 0;
  const int daemons = static_cast<int>(m_peers->Daemons().size()) + 1;
  return (suspicion.quarantined || health.Quarantined(vm)) && 2 * suspicion.daemons > daemons;
}

}  // namespace cranberryplank
