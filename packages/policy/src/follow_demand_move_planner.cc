#include "cranberryplank/policy/follow_demand_move_planner.h"

#include "pool_view.h"

namespace cranberryplank {

namespace {

int Demand(const PoolView& view) { return view.load().running + view.load().waiting; }

int Capacity(const PoolView& view) { return view.ServingSlots() + view.ArrivingSlots(); }

// Returns the pool with the largest surplus that can donate a whole VM, or nullptr.
PoolView* FindDonor(std::vector<PoolView>* views, const PoolView& recipient) {
  PoolView* best = nullptr;
  int best_surplus = 0;
  for (PoolView& view : *views) {
    const int surplus = view.ServingSlots() - view.SlotsPerVm() - Demand(view);
    if (&view != &recipient && view.ServingVms() > MinServingVms(view.load().pool) &&
        surplus >= 0 && (best == nullptr || surplus > best_surplus)) {
      best = &view;
      best_surplus = surplus;
    }
  }
  return best;
}

}  // namespace

std::vector<PlannedMove> FollowDemandMovePlanner::Plan(TimePoint /*now*/,
                                                       std::span<const PoolLoad> pools) {
  std::vector<PoolView> views = MakePoolViews(pools);
  std::vector<PlannedMove> moves;
  for (PoolView& recipient : views) {
    while (Demand(recipient) > Capacity(recipient)) {
      PoolView* donor = FindDonor(&views, recipient);
      if (donor == nullptr) {
        break;
      }
      const MovableVm vm = donor->TakeVm();
      recipient.AddArriving(vm.slots);
      moves.push_back(PlannedMove{vm.id, donor->load().pool.name, recipient.load().pool.name,
                                  "demand exceeds capacity"});
    }
  }
  return moves;
}

}  // namespace cranberryplank
