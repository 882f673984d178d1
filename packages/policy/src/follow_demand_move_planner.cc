#include "cranberryplank/policy/follow_demand_move_planner.h"

#include "pool_view.h"

namespace cranberryplank {

namespace {

int Need(const PoolView& view) { return view.load().running + view.load().waiting; }

int Capacity(const PoolView& view) { return view.ServingSlots() + view.ArrivingSlots(); }

// Pool with most slots beyond its present need, if it can give a whole VM.
PoolView* FindDonor(std::vector<PoolView>* views, const PoolView& taker) {
  PoolView* best = nullptr;
  int best_surplus = 0;
  for (PoolView& view : *views) {
    const int surplus = view.ServingSlots() - view.SlotsPerVm() - Need(view);
    if (&view != &taker && view.ServingVms() > LeastVms(view.load().pool) && surplus >= 0 &&
        (best == nullptr || surplus > best_surplus)) {
      best = &view;
      best_surplus = surplus;
    }
  }
  return best;
}

}  // namespace

std::vector<PlannedMove> FollowDemandMovePlanner::Plan(TimePoint /*now*/,
                                                       std::span<const PoolLoad> pools) {
  std::vector<PoolView> views = ViewPools(pools);
  std::vector<PlannedMove> moves;
  for (PoolView& taker : views) {
    while (Need(taker) > Capacity(taker)) {
      PoolView* donor = FindDonor(&views, taker);
      if (donor == nullptr) {
        break;
      }
      const MovableVm vm = donor->TakeVm();
      taker.AddArriving(vm.slots);
      moves.push_back(PlannedMove{vm.id, donor->load().pool.name, taker.load().pool.name,
                                  "demand above capacity"});
    }
  }
  return moves;
}

}  // namespace cranberryplank
