#include "cranberryplank/daemon/vm_list_tracker.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/daemon/log.h"

namespace cranberryplank {

namespace {

constexpr std::string_view kWorkerService = "worker";

}  // namespace

VmListTracker::VmListTracker(VmDirectory* directory, Duration poll)
    : m_directory(directory), m_poll(poll) {}

void VmListTracker::Tick(TimePoint now, const Fleet& fleet) {
  if (m_reading || (m_next && now < *m_next)) {
    return;
  }
  m_next = now + m_poll;
  m_reading = true;
  m_fleet.clear();
  for (const auto& [id, vm] : fleet.vms) {
    m_fleet.insert(id);
  }
  m_directory->List(kWorkerService,
                    [this, alive = std::weak_ptr<bool>(m_alive)](
                        TimePoint at, const std::optional<std::vector<VmListing>>& listings,
                        std::string_view /*reason*/) {
                      if (alive.expired()) {
                        return;
                      }
                      m_reading = false;
                      if (listings) {
                        OnList(at, *listings);
                      }
                    });
}

bool VmListTracker::Trusted(const LeavingSet& listed) const {
  // Before the first trusted list, the fleet's own records serve for comparison.
  const LeavingSet& before = m_listed.empty() ? m_fleet : m_listed;
  const auto lost = std::count_if(before.begin(), before.end(), [&](const std::string& id) {
    return m_fleet.contains(id) && !listed.contains(id);
  });
  return static_cast<std::size_t>(lost) * 3 <= before.size();
}

void VmListTracker::OnList(TimePoint now, const std::vector<VmListing>& listings) {
  LeavingSet listed;
  LeavingSet leaving;
  for (const VmListing& listing : listings) {
    listed.insert(listing.id);
    if (listing.leaving) {
      leaving.insert(listing.id);
    }
  }
  if (!Trusted(listed)) {
    ++m_distrusted;
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
