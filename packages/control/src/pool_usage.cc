#include "cranberryplank/control/pool_usage.h"

#include <string_view>

namespace cranberryplank {

namespace {

int CountOf(const std::map<std::string, int, std::less<>>& counts, std::string_view name) {
  const auto entry = counts.find(name);
  return entry == counts.end() ? 0 : entry->second;
}

}  // namespace

void PoolUsage::Add(const Vm& vm) {
  ++m_total;
  ++m_racks[vm.rack];
  ++m_zones[vm.zone];
}

bool PoolUsage::Fits(const Vm& vm, const AvailabilityBudget& budget) const {
  return m_total < budget.per_pool && CountOf(m_racks, vm.rack) < budget.per_rack &&
         CountOf(m_zones, vm.zone) < budget.per_zone;
}

bool PoolUsage::IsWithinBudget(const Vm& vm, const AvailabilityBudget& budget) const {
  return m_total <= budget.per_pool && CountOf(m_racks, vm.rack) <= budget.per_rack &&
         CountOf(m_zones, vm.zone) <= budget.per_zone;
}

}  // namespace cranberryplank
