#include "cranberryplank/entry/vm_inventory.h"

#include <utility>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

constexpr Duration kListInterval{1'000};
constexpr Duration kListRetry{400};
/// A VM that is missing from the list for this long counts as removed.
constexpr Duration kMissingBound{3'000};

}  // namespace

void VmInventory::Tick(TimePoint now) {
  if (!m_list_in_flight && now >= m_next_list) {
    m_listing.clear();
    m_listing_sent = now;
    m_list_in_flight = true;
    RequestPage({});
  }
}

void VmInventory::RequestPage(const std::string& page) {
  const std::weak_ptr<int> lifetime = m_lifetime;
  m_vm_control->List(page, [this, lifetime](TimePoint at, const VmPage& reply) {
    if (!lifetime.expired()) {
      OnPage(at, reply);
    }
  });
}

void VmInventory::OnPage(TimePoint now, const VmPage& page) {
  if (!page.answered) {
    m_list_in_flight = false;
    m_next_list = now + kListRetry;
    return;
  }
  for (const ListedVm& vm : page.vms) {
    m_listing[vm.id] = vm;
  }
  if (page.next.empty()) {
    m_list_in_flight = false;
    FinishList(now);
    return;
  }
  RequestPage(page.next);
}

void VmInventory::FinishList(TimePoint now) {
  m_next_list = now + kListInterval;
  for (const auto& [id, vm] : m_vms) {
    if (!m_listing.contains(id)) {
      m_missing_since.try_emplace(id, now);
    }
  }
  for (const auto& [id, vm] : m_listing) {
    m_missing_since.erase(id);
  }
  m_vms = std::move(m_listing);
  m_list_sent = m_listing_sent;
  m_listing.clear();
  if (!m_listed) {
    LogLine(LogLevel::kInfo, "vm_list").Field("vms", m_vms.size());
  }
  m_listed = true;
}

void VmInventory::SetMoving(const std::string& vm, const std::string& pool) {
  if (const auto listed = m_vms.find(vm); listed != m_vms.end()) {
    listed->second.pool = pool;
    listed->second.state = ListedVmState::kMoving;
  }
}

bool VmInventory::IsRemoved(TimePoint now, const std::string& vm) const {
  const auto missing = m_missing_since.find(vm);
  return !m_vms.contains(vm) &&
         (missing == m_missing_since.end() ? now - m_begun >= kMissingBound
                                           : now - missing->second >= kMissingBound);
}

}  // namespace cranberryplank
