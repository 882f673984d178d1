#include "pool_view.h"

#include <algorithm>

namespace cranberryplank {

PoolView::PoolView(const PoolLoad& load) : m_load(&load) {
  for (const MovableVm& vm : load.vms) {
    if (vm.serving && vm.target_pool.empty()) {
      m_serving.push_back(vm);
    }
  }
  std::stable_sort(m_serving.begin(), m_serving.end(),
                   [](const MovableVm& a, const MovableVm& b) { return a.running > b.running; });
}

int PoolView::ServingSlots() const {
  int slots = 0;
  for (const MovableVm& vm : m_serving) {
    slots += vm.slots;
  }
  return slots;
}

int PoolView::SlotsPerVm() const {
  return m_serving.empty() ? 1 : std::max(1, ServingSlots() / ServingVms());
}

MovableVm PoolView::TakeVm() {
  MovableVm vm = m_serving.back();
  m_serving.pop_back();
  return vm;
}

int MinServingVms(const Pool& pool) { return pool.budget.per_pool + 1; }

std::vector<PoolView> MakePoolViews(std::span<const PoolLoad> pools) {
  std::vector<PoolView> views;
  for (const PoolLoad& load : pools) {
    views.emplace_back(load);
  }
  for (const PoolLoad& load : pools) {
    for (const MovableVm& vm : load.vms) {
      for (PoolView& view : views) {
        if (view.load().pool.name == vm.target_pool) {
          view.AddArriving(vm.slots);
        }
      }
    }
  }
  return views;
}

}  // namespace cranberryplank
