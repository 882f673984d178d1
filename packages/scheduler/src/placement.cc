#include "cranberryplank/scheduler/placement.h"

#include <algorithm>
#include <tuple>

namespace cranberryplank {

namespace {

/// Compared in member order; smaller is better.
struct Preference {
  bool failed_task = false;
  bool suspect = false;
  bool interferes = false;
  bool far = false;
  double load = 0;

  auto operator<=>(const Preference&) const =
      default;  // NOLINT(modernize-use-nullptr): a false finding
};

bool Fits(const WorkerCandidate& candidate, const StepSpec& step) {
  return (step.max_per_vm == 0 || candidate.runs_of_step < step.max_per_vm) &&
         step.Footprint().FitsIn(candidate.free);
}

Preference PreferenceOf(const WorkerCandidate& candidate, const StepSpec& step,
                        std::string_view rack) {
  Preference preference;
  preference.failed_task = candidate.failed_task;
  preference.suspect = candidate.suspect;
  preference.interferes = (step.uses_leftover_cpu && candidate.serving_runs > 0) ||
                          (step.latency_target_ms > 0 && candidate.best_effort_runs > 0);
  const bool far_from_data = !step.preferred_rack.empty() && step.preferred_rack != candidate.rack;
  preference.far = far_from_data || (!rack.empty() && rack != candidate.rack);
  const double used = UsedShare(candidate.capacity, candidate.free);
  preference.load = step.long_running ? -candidate.long_running_runs : -used;
  return preference;
}

}  // namespace

double UsedShare(const Resources& capacity, const Resources& free) {
  const auto share = [](std::int64_t room, std::int64_t left) {
    return room <= 0 ? 0.0 : 1.0 - static_cast<double>(left) / static_cast<double>(room);
  };
  return std::max({share(capacity.cpu_millis, free.cpu_millis),
                   share(capacity.memory_mb, free.memory_mb), share(capacity.gpus, free.gpus)});
}

int ChoosePlacement(std::span<const WorkerCandidate> candidates, const StepSpec& step,
                    std::string_view rack) {
  int best = -1;
  Preference best_preference;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!Fits(candidates[i], step)) {
      continue;
    }
    const Preference preference = PreferenceOf(candidates[i], step, rack);
    if (best < 0 || preference < best_preference) {
      best = static_cast<int>(i);
      best_preference = preference;
    }
  }
  return best;
}

}  // namespace cranberryplank
