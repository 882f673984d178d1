#include "cranberryplank/support/simulated_worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr Duration kFailureTime{1};

/// Run time and answer requested in a task's body.
struct TaskPlan {
  Duration run{0};
  TaskAnswer answer;
};

TaskPlan ReadBody(std::string_view body) {
  const json value = json::parse(body, nullptr, false);
  if (!value.is_object() || !value.contains("run_ms") || !value["run_ms"].is_number_unsigned()) {
    return {kFailureTime, {kTaskBadBody, "text/plain", "the body has no valid run_ms"}};
  }
  const auto reply = value.find("reply");
  return {Duration(value["run_ms"].get<Duration::rep>()),
          {200, "text/plain",
           reply != value.end() && reply->is_string() ? reply->get<std::string>() : ""}};
}

}  // namespace

SimulatedWorker::SimulatedWorker(Scheduler* scheduler, std::string name, WorkerSettings settings)
    : m_name(std::move(name)),
      m_settings(settings),
      m_process(scheduler),
      m_booted_at(scheduler->Now()),
      m_reachable_at(scheduler->Now()) {}

std::string SimulatedWorker::BootId() const { return fmt::format("{}-boot-{}", m_name, m_boots); }

Duration SimulatedWorker::WorkerClock() const {
  return m_settings.clock_at_boot +
         std::chrono::duration_cast<Duration>(m_process.Now() - m_booted_at);
}

WorkerStatus SimulatedWorker::Status() const {
  return WorkerStatus{BootId(), WorkerClock(), m_settings.slots, static_cast<int>(m_running.size()),
                      m_draining};
}

WorkerRefusal SimulatedWorker::Start(const TaskStart& task, EndCallback ended) {
  if (task.boot_id != BootId() || WorkerClock() > task.start_by) {
    return WorkerRefusal::kExpired;
  }
  if (m_draining) {
    return WorkerRefusal::kDraining;
  }
  if (static_cast<int>(m_running.size()) >= m_settings.slots) {
    return WorkerRefusal::kBusy;
  }
  TaskPlan plan = ReadBody(task.body);
  const std::string reply = plan.answer.status == 200 ? plan.answer.body : "";
  if (m_fail_all) {
    plan = {kFailureTime, {kTaskFailed, "text/plain", "the task failed"}};
  } else if (plan.run > task.lease) {
    plan = {task.lease, {kTaskLeaseExpired, "text/plain", "the task's lease expired"}};
  }
  LoggedTask& logged = m_log[task.task_id];
  logged.queue = task.queue;
  logged.reply = reply;
  ++logged.starts;
  ++m_last_run;
  m_running.emplace(task.task_id, Run{m_last_run, std::move(ended)});
  m_max_running = std::max(m_max_running, static_cast<int>(m_running.size()));
  m_process.Schedule(m_process.Now() + plan.run,
                     [this, id = task.task_id, number = m_last_run,
                      answer = plan.answer](TimePoint) { End(id, number, answer); });
  return WorkerRefusal::kNone;
}

void SimulatedWorker::End(const std::string& task_id, std::uint64_t number,
                          const TaskAnswer& answer) {
  auto [it, end] = m_running.equal_range(task_id);
  it = std::find_if(it, end, [&](const auto& item) { return item.second.number == number; });
  if (it == end) {
    return;  // The run was checkpointed or the worker crashed.
  }
  const EndCallback ended = std::move(it->second.ended);
  m_running.erase(it);
  ++m_finished[task_id];
  if (answer.status == 200) {
    ++m_log[task_id].completions;
  }
  ended(m_process.Now(), answer);
}

TaskState SimulatedWorker::GetTask(std::string_view task_id) const {
  if (m_running.contains(task_id)) {
    return TaskState::kRunning;
  }
  return m_finished.contains(task_id) ? TaskState::kFinished : TaskState::kUnknown;
}

bool SimulatedWorker::Checkpoint(std::string_view task_id) {
  const auto it = m_running.find(task_id);
  if (it == m_running.end()) {
    return false;
  }
  const std::string id(task_id);
  End(id, it->second.number, {kTaskCheckpointed, "text/plain", "the task was checkpointed"});
  return true;
}

bool SimulatedWorker::Reboot(std::string_view boot_id) {
  if (!m_running.empty() || boot_id != BootId()) {
    return false;
  }
  StartNewBoot();
  return true;
}

void SimulatedWorker::Crash() {
  auto running = std::exchange(m_running, {});
  StartNewBoot();
  for (const auto& [id, run] : running) {
    run.ended(m_process.Now(), std::nullopt);
  }
}

void SimulatedWorker::StartNewBoot() {
  ++m_boots;
  m_reachable_at = m_process.Now() + m_settings.reboot_time;
  m_booted_at = m_reachable_at;
  m_draining = false;
  m_finished.clear();
}

}  // namespace cranberryplank
