#include "cranberryplank/support/vm_table.h"

#include <utility>

namespace cranberryplank {

void VmTable::Add(std::string_view service, std::string_view id) {
  m_services[std::string(service)][std::string(id)] = false;
  OnChange();
}

bool VmTable::SetLeaving(std::string_view service, std::string_view id, bool leaving) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return false;
  }
  const auto vm = found->second.find(id);
  if (vm == found->second.end()) {
    return false;
  }
  vm->second = leaving;
  OnChange();
  return true;
}

bool VmTable::Remove(std::string_view service, std::string_view id) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || found->second.erase(std::string(id)) == 0) {
    return false;
  }
  OnChange();
  return true;
}

void VmTable::SetStale(bool stale) {
  if (stale && !m_stale) {
    m_snapshot = m_services;
    m_stale_index = m_index;
  }
  m_stale = stale;
  if (!stale) {
    OnChange();
  }
}

void VmTable::SetNearlyEmpty(bool nearly_empty) {
  m_nearly_empty = nearly_empty;
  OnChange();
}

std::uint64_t VmTable::Watch(std::function<void()> changed) {
  m_watches[++m_last_watch] = std::move(changed);
  return m_last_watch;
}

void VmTable::OnChange() {
  ++m_index;
  if (m_stale) {
    return;
  }
  const auto watches = std::exchange(m_watches, {});
  for (const auto& [id, changed] : watches) {
    changed();
  }
}

std::vector<VmListing> VmTable::List(std::string_view service) const {
  const Services& services = m_stale ? m_snapshot : m_services;
  std::vector<VmListing> listings;
  const auto found = services.find(service);
  if (found == services.end()) {
    return listings;
  }
  for (const auto& [id, leaving] : found->second) {
    if (m_nearly_empty && !listings.empty()) {
      break;
    }
    listings.push_back(VmListing{id, leaving});
  }
  return listings;
}

}  // namespace cranberryplank
