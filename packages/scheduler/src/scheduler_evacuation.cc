#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "cranberryplank/model/log.h"
#include "cranberryplank/scheduler/scheduler.h"
#include "placement_pass.h"

namespace cranberryplank {

namespace {

/// Tasks that are stopped in one pass. All of them are then unavailable until they are started
/// elsewhere, also where each step allows more.
constexpr int kMaxMigrations = 4;
/// Tasks that are considered in one pass. Each may visit all workers.
constexpr std::size_t kMaxConsidered = 16;

/// A long-running task in an evacuated zone that may be stopped there.
struct LeavingRun {
  Worker* worker = nullptr;
  TaskRef task;
  PlacedRun* run = nullptr;
};

/// Room on one worker, less what this pass has assigned.
struct Room {
  const Worker* worker = nullptr;
  Resources free;
  std::vector<TaskRef> assigned;
};

bool SameStep(const TaskRef& a, const TaskRef& b) {
  return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

bool HasRoom(const Room& room, const TaskRef& task) {
  const StepSpec& spec = task.spec();
  const std::vector<std::string>& labels = room.worker->info.labels;
  if (!spec.Footprint().FitsIn(room.free) ||
      (!spec.required_label.empty() &&
       std::find(labels.begin(), labels.end(), spec.required_label) == labels.end())) {
    return false;
  }
  if (spec.max_per_vm == 0) {
    return true;
  }
  const RunRange runs = room.worker->RunsOfStep(task);
  const auto assigned = std::count_if(room.assigned.begin(), room.assigned.end(),
                                      [&](const TaskRef& other) { return SameStep(other, task); });
  return std::distance(runs.begin(), runs.end()) + assigned < spec.max_per_vm;
}

/// Assigns room for the task on one of the workers. @return false if none has room
bool AssignRoom(std::vector<Room>* rooms, const TaskRef& task) {
  const auto room = std::find_if(rooms->begin(), rooms->end(),
                                 [&](const Room& each) { return HasRoom(each, task); });
  if (room == rooms->end()) {
    return false;
  }
  room->free -= task.spec().Footprint();
  room->assigned.push_back(task);
  return true;
}

}  // namespace

void Scheduler::SetEvacuatedZones(ZoneSet zones) {
  m_evacuation.SetZones(std::move(zones));
  m_schedule_needed = true;
}

int Scheduler::RunsInEvacuatedZones() const {
  std::size_t runs = 0;
  for (const auto& [id, worker] : m_workers) {
    runs += m_evacuation.Covers(worker.info.zone) ? worker.runs.size() : 0;
  }
  return static_cast<int>(runs);
}

void Scheduler::LogEvacuation(const std::string& zone, bool begun) const {
  std::size_t workers = 0;
  std::size_t runs = 0;
  for (const auto& [id, worker] : m_workers) {
    if (worker.info.zone == zone) {
      workers += worker.registered ? 1 : 0;
      runs += worker.runs.size();
    }
  }
  // A zone without workers may be a misspelt name.
  LogLine(workers == 0 ? LogLevel::kWarning : LogLevel::kInfo,
          begun ? "evacuation" : "evacuation_ended")
      .Field("zone", zone)
      .Field("workers", workers)
      .Field("runs", runs);
}

void Scheduler::EvacuateZones(TimePoint now) {
  const ZoneEvacuation::Changes changes = m_evacuation.TakeChanges();
  for (const std::string& zone : changes.begun) {
    LogEvacuation(zone, true);
  }
  for (const std::string& zone : changes.ended) {
    LogEvacuation(zone, false);
  }
  if (m_config && MayStart(now) && m_evacuation.MigrationDue(now)) {
    MigrateFromZones(now);
  }
}

void Scheduler::MigrateFromZones(TimePoint now) {
  std::vector<LeavingRun> leaving;
  std::vector<TaskRef> stopping;  // They take room before any further task is stopped.
  for (auto& [id, worker] : m_workers) {
    if (!m_evacuation.Covers(worker.info.zone) || worker.failed_renewals > 0 ||
        worker.long_running_runs == 0) {
      continue;
    }
    for (auto& [task, run] : worker.runs) {
      if (!task.spec().long_running || task.state() == nullptr) {
        continue;
      }
      if (run.stopping) {
        stopping.push_back(task);
      } else if (run.phase == RunPhase::kRunning && !task.spec().gang) {
        leaving.push_back({&worker, task, &run});
      }
    }
  }
  if (leaving.empty()) {
    return;
  }
  std::map<std::string, std::vector<Room>, std::less<>> rooms;
  for (const auto& [pool, pass] : UsableWorkersByPool()) {
    for (const Worker* worker : pass.usable) {
      rooms[std::string(pool)].push_back({worker, worker->free(), {}});
    }
  }
  for (const TaskRef& task : stopping) {
    AssignRoom(&rooms[QueueOfJob(*task.job).pool], task);
  }
  for (const WaitingStep& step : CollectWaiting(now)) {
    if (step.step.spec().long_running) {
      std::vector<Room>* pool = &rooms[step.queue->pool];
      // Tasks of one step need the same room, so if one does not fit, no other does.
      for (int left = step.step.step_state()->waiting(); left > 0 && AssignRoom(pool, step.step);) {
        --left;
      }
    }
  }
  const std::size_t considered = std::min(leaving.size(), kMaxConsidered);
  const std::size_t first = m_evacuation.NextFirst(leaving.size(), considered);
  int stopped = 0;
  for (std::size_t i = 0; i < considered && stopped < kMaxMigrations; ++i) {
    const LeavingRun& each = leaving[(first + i) % leaving.size()];
    const QueueConfig& queue = QueueOfJob(*each.task.job);
    if (!MayPlace({{}, &queue, each.task, {}}) || !WithinCap(*each.task.job, {}) ||
        !CanMissOneMore(each.task) || !AssignRoom(&rooms[queue.pool], each.task)) {
      continue;
    }
    each.task.state()->ready = false;
    StopRun(now, each.worker, each.task, each.run, "the zone is evacuated");
    ++stopped;
  }
}

}  // namespace cranberryplank
