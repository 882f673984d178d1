#include "cranberryplank/control/worker_availability.h"

#include <algorithm>

namespace cranberryplank {

WorkerAvailability::WorkerAvailability(VmListReader* vm_list, WorkerClient* workers,
                                       const AvailabilityOptions& options)
    : m_vm_list(vm_list), m_workers(workers), m_options(options) {
  m_vm_list->signal_read().connect(
      sigc::hide<0>(sigc::hide<0>(sigc::mem_fun(*this, &WorkerAvailability::OnVmListRead))));
}

void WorkerAvailability::Observe(TimePoint now, std::string_view vm) {
  const auto observation = m_observed.find(vm);
  (observation != m_observed.end() ? observation->second : m_observed[std::string(vm)]).answered =
      now;
}

void WorkerAvailability::Probe(TimePoint now, const Fleet& fleet, std::string_view pool) {
  for (const auto& [id, vm] : fleet.vms) {
    if (m_probes_left == 0) {
      return;
    }
    if (vm.pool != pool) {
      continue;
    }
    Observation& observation = m_observed[id];
    const bool recent =
        now - observation.probed < m_options.max_answer_age / 4 ||
        (observation.answered && now - *observation.answered < m_options.max_answer_age / 4);
    if (observation.probing || recent) {
      continue;
    }
    observation.probing = true;
    observation.probed = now;
    --m_probes_left;
    m_workers->GetStatus(
        WorkerAddress{vm.host, vm.port},
        [this, alive = std::weak_ptr<bool>(m_alive), id = id, now](
            TimePoint, const std::optional<WorkerStatus>& status, std::string_view) {
          if (alive.expired()) {
            return;
          }
          m_observed[id].probing = false;
          if (status) {
            // Uses the time at which the probe was sent, because the answer may have been delayed.
            Observe(std::max(now, m_observed[id].answered.value_or(now)), id);
          }
        });
  }
}

bool WorkerAvailability::IsListCurrent(TimePoint now) {
  const std::optional<TimePoint> confirmed = m_vm_list->confirmed();
  if (!confirmed || now - *confirmed > m_options.max_list_age / 2) {
    m_vm_list->Refresh(now);
  }
  return confirmed && now - *confirmed <= m_options.max_list_age;
}

bool WorkerAvailability::IsDown(TimePoint now, const Vm& vm) const {
  const auto observation = m_observed.find(vm.id);
  const bool answers = observation != m_observed.end() && observation->second.answered &&
                       now - *observation->second.answered <= m_options.max_answer_age;
  return !answers || !m_listed.contains(vm.id);
}

void WorkerAvailability::OnVmListRead(bool changed) {
  if (!changed) {
    return;
  }
  m_listed.clear();
  for (const VmListing& listing : m_vm_list->listings()) {
    if (!listing.leaving) {
      m_listed.insert(listing.id);
    }
  }
}

}  // namespace cranberryplank
