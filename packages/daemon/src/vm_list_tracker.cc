#include "cranberryplank/daemon/vm_list_tracker.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

VmListTracker::VmListTracker(VmListReader* list) : m_list(list) {
  m_list->signal_read().connect(sigc::mem_fun(*this, &VmListTracker::OnRead));
}

void VmListTracker::OnRead(TimePoint /*now*/, TimePoint /*sent*/, bool changed) {
  // A rejected list is counted again at each read, because the operators' alert relies on it.
  m_list_changed = m_list_changed || changed || m_newest_rejected;
}

void VmListTracker::Tick(TimePoint now, const Fleet& fleet) {
  const bool fleet_changed = m_revision != fleet.revision;
  if (!m_list->confirmed() || (!m_list_changed && !fleet_changed)) {
    return;
  }
  if (fleet_changed) {
    m_revision = fleet.revision;
    m_fleet.clear();
    for (const auto& [id, vm] : fleet.vms) {
      m_fleet.insert(id);
    }
  }
  m_list_changed = false;
  Compare(now);
}

bool VmListTracker::IsPlausible(const LeavingSet& listed) const {
  // Before the first accepted list, the fleet's VMs are used for the comparison.
  const LeavingSet& before = m_listed.empty() ? m_fleet : m_listed;
  const auto lost = std::count_if(before.begin(), before.end(), [&](const std::string& id) {
    return m_fleet.contains(id) && !listed.contains(id);
  });
  return static_cast<std::size_t>(lost) * 3 <= before.size();
}

void VmListTracker::Compare(TimePoint now) {
  LeavingSet listed;
  LeavingSet leaving;
  for (const VmListing& listing : m_list->listings()) {
    listed.insert(listing.id);
    if (listing.leaving) {
      leaving.insert(listing.id);
    }
  }
  m_newest_rejected = !IsPlausible(listed);
  if (m_newest_rejected) {
    ++m_rejected_lists;
    LogLine(LogLevel::kWarning, "vm_list")
        .Field("trusted", false)
        .Field("listed", listed.size())
        .Field("before", m_listed.size());
    return;
  }
  m_listed = std::move(listed);
  for (const std::string& id : m_fleet) {
    if (!m_listed.contains(id)) {
      leaving.insert(id);
    }
  }
  if (leaving == m_leaving) {
    return;
  }
  m_leaving = std::move(leaving);
  LogLine(LogLevel::kInfo, "vm_list")
      .Field("trusted", true)
      .Field("listed", m_listed.size())
      .Field("leaving", m_leaving.size());
  m_changed.emit(now, m_leaving);
}

}  // namespace cranberryplank
