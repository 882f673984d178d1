#include "wave_budget.h"

namespace cranberryplank {

namespace {

int CountOf(const std::map<std::string, int, std::less<>>& counts, const std::string& name) {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

WaveBudget::WaveBudget(const WaveState& state) : m_budget(state.budget) {
  for (const WaveVm& vm : state.down) {
    Add(vm);
  }
}

bool WaveBudget::Allows(const WaveVm& vm) const {
  return m_down < m_budget.per_pool && CountOf(m_racks, vm.rack) < m_budget.per_rack &&
         CountOf(m_zones, vm.zone) < m_budget.per_zone;
}

void WaveBudget::Add(const WaveVm& vm) {
  ++m_down;
  ++m_racks[vm.rack];
  ++m_zones[vm.zone];
}

}  // namespace cranberryplank
