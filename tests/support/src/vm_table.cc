#include "cranberryplank/support/vm_table.h"

namespace cranberryplank {

void VmTable::Add(std::string_view service, std::string_view id) {
  m_services[std::string(service)][std::string(id)] = false;
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
  return true;
}

bool VmTable::Remove(std::string_view service, std::string_view id) {
  const auto found = m_services.find(service);
  return found != m_services.end() && found->second.erase(std::string(id)) > 0;
}

void VmTable::SetStale(bool stale) {
  if (stale && !m_stale) {
    m_snapshot = m_services;
  }
  m_stale = stale;
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
