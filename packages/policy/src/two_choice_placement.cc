#include "cranberryplank/policy/two_choice_placement.h"

#include <algorithm>

namespace cranberryplank {

namespace {

bool Excluded(const PlacementRequest& request, const Vm& vm) {
  return std::find(request.excluded.begin(), request.excluded.end(), vm.id) !=
         request.excluded.end();
}

bool Serves(const PlacementRequest& request, const WorkerView& worker) {
  return worker.vm->pool == request.pool && worker.vm->state == VmState::kServing &&
         !worker.leaving;
}

bool MayProbe(TimePoint now, const PlacementRequest& request, const WorkerView& worker,
              const WorkerHealth& health) {
  const Vm& vm = *worker.vm;
  return request.may_probe && Serves(request, worker) && worker.running < vm.slots &&
         health.ProbeDue(now, vm.id);
}

PlacementCandidate CandidateOf(TimePoint now, const PlacementRequest& request,
                               const WorkerView& worker, const WorkerHealth& health) {
  return PlacementCandidate{worker.vm->id, FreeSlotsOf(now, worker, request.pool, health)};
}

}  // namespace

std::optional<PlacementChoice> TwoChoicePlacement::Choose(TimePoint now,
                                                          const PlacementRequest& request,
                                                          std::span<const WorkerView> workers,
                                                          const WorkerHealth& health,
                                                          RandomSource& random) const {
  std::vector<const WorkerView*> local;
  std::vector<const WorkerView*> all;
  // A request that must not be retried waits instead of being placed on a suspect worker, which
  // often has the only free slots because it fails fast. If all workers of the pool are suspect,
  // the suspicion gives no information and is ignored.
  std::vector<const WorkerView*> suspects;
  bool has_unsuspected_worker = false;
  for (const WorkerView& worker : workers) {
    if (Excluded(request, *worker.vm)) {
      continue;
    }
    const bool in_zone = worker.vm->zone == request.zone;
    if (MayProbe(now, request, worker, health)) {
      return PlacementChoice{worker.vm->id, true, in_zone, "probe of a quarantined worker", {}};
    }
    if (!Serves(request, worker)) {
      continue;
    }
    const bool suspect = !request.may_probe && health.Suspect(now, worker.vm->id);
    has_unsuspected_worker = has_unsuspected_worker || !suspect;
    if (FreeSlotsOf(now, worker, request.pool, health) <= 0) {
      continue;
    }
    if (suspect) {
      suspects.push_back(&worker);
      continue;
    }
    all.push_back(&worker);
    if (in_zone) {
      local.push_back(&worker);
    }
  }
  if (!has_unsuspected_worker) {
    all = suspects;
  }
  const std::vector<const WorkerView*>& eligible = local.empty() ? all : local;
  if (eligible.empty()) {
    return std::nullopt;
  }
  PlacementChoice choice;
  choice.local_zone = !local.empty();
  const std::size_t first = random.Below(eligible.size());
  const PlacementCandidate one = CandidateOf(now, request, *eligible[first], health);
  if (eligible.size() == 1) {
    choice.vm = one.vm;
    choice.reason = "only worker with a free slot";
    return choice;
  }
  // Uniform choice among the others.
  const std::size_t second = (first + 1 + random.Below(eligible.size() - 1)) % eligible.size();
  const PlacementCandidate two = CandidateOf(now, request, *eligible[second], health);
  const bool take_two = two.free > one.free;
  choice.vm = take_two ? two.vm : one.vm;
  choice.alternatives.push_back(take_two ? one : two);
  choice.reason = local.empty() ? "more free slots of two workers in any zone"
                                : "more free slots of two workers in the daemon's zone";
  return choice;
}

}  // namespace cranberryplank
