#include <algorithm>
#include <span>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/locality_wait.h"
#include "cranberryplank/scheduler/scheduler.h"
#include "placement_pass.h"

namespace cranberryplank {

namespace {

Duration Scaled(std::int64_t estimate_ms, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(estimate_ms) * factor));
}

/// Appends the expected ends of the runs on a worker. Long-running tasks have none.
void AddEnds(TimePoint now, const Worker& worker, std::size_t index,
             const SchedulerSettings& settings, std::vector<ExpectedEnd>* ends) {
  for (const auto& [task, run] : worker.runs) {
    const StepSpec& spec = task.spec();
    if (run.stopping) {
      const TimePoint sent = run.stop_sent == TimePoint{} ? now : run.stop_sent;
      ends->push_back({ExpectedEndOf(now, sent, settings.stop_time), index, run.footprint});
    } else if (!spec.long_running && spec.estimate_ms > 0) {
      const bool far = !spec.preferred_rack.empty() && spec.preferred_rack != worker.info.rack;
      const Duration duration = Scaled(spec.estimate_ms, far ? settings.far_factor : 1);
      ends->push_back({ExpectedEndOf(now, run.placed_at, duration), index, run.footprint});
    }
  }
}

/// Returns the rack in which all tasks of the step are near their data and each other, or an empty
/// string if there is none.
std::string_view RackOf(const StepSpec& step, std::string_view rack_in_use) {
  if (step.preferred_rack.empty()) {
    return rack_in_use;
  }
  const std::string_view preferred = step.preferred_rack;
  const bool conflict = !rack_in_use.empty() && rack_in_use != preferred;
  return conflict ? std::string_view() : preferred;
}

/// Returns whether `count` tasks of the step fit on the workers together.
bool HaveRoom(std::span<const WorkerCandidate> candidates, const StepSpec& step, int count) {
  const Resources footprint = step.Footprint();
  for (const WorkerCandidate& candidate : candidates) {
    for (Resources free = candidate.free; footprint.FitsIn(free); free -= footprint) {
      if (--count <= 0) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

bool Scheduler::MayWaitForRack(const StepSpec& step, const QueueConfig& queue) const {
  return m_settings.far_factor > 1 && (step.same_rack || !step.preferred_rack.empty()) &&
         !step.long_running && !step.uses_leftover_cpu && step.latency_target_ms == 0 &&
         step.max_per_vm == 0 && !queue.advice;
}

bool Scheduler::WaitsForRack(TimePoint now, const WaitingStep& waiting, const StepPlaces& places,
                             int count, PoolPass* pass) {
  const StepSpec& spec = waiting.step.spec();
  const std::string_view rack = RackOf(spec, places.rack);
  StepState& state = *waiting.step.step_state();
  LocalityInput input;
  input.footprint = spec.Footprint();
  input.count = count;
  input.estimate = Duration(spec.estimate_ms);
  input.far_factor = m_settings.far_factor;
  input.since = state.waits_for_rack_since.value_or(now);
  input.latest_start = waiting.latest_start - Scaled(spec.estimate_ms, m_settings.far_factor - 1);
  if (rack.empty() || input.latest_start <= now) {
    return false;
  }
  auto [it, added] = pass->racks.try_emplace({std::string(rack), spec.required_label});
  RackPass& room = it->second;
  if (added) {
    std::vector<Resources> free;
    std::vector<ExpectedEnd> ends;
    for (const Worker* worker : places.workers) {
      if (worker->info.rack == rack && now >= worker->avoid_until) {
        AddEnds(now, *worker, room.workers.size(), m_settings, &ends);
        room.workers.push_back(worker);
        free.push_back(worker->free());
      }
    }
    room.room = RackRoom(std::move(free), std::move(ends));
  }
  // Other steps may have started tasks there in this pass.
  for (std::size_t i = 0; i < room.workers.size(); ++i) {
    room.room.SetFree(i, room.workers[i]->free());
  }
  const std::optional<TimePoint> until = WaitForRack(now, input, room.room);
  // The wait counts from the time when other workers first had room.
  if (!until || (!state.waits_for_rack_since && !HaveRoom(places.candidates, spec, count))) {
    return false;
  }
  room.room.Claim(*until, input.footprint, count);
  m_rack_wait_ends = std::min(m_rack_wait_ends, *until);
  if (!state.waits_for_rack_since) {
    state.waits_for_rack_since = now;
    ++m_counters.locality_waits;
    LogLine(LogLevel::kInfo, "locality_wait")
        .Field("step", waiting.step.Id().StepName())
        .Field("rack", rack)
        .Field("expected_ms", std::chrono::duration_cast<Duration>(*until - now).count());
  }
  return true;
}

}  // namespace cranberryplank
