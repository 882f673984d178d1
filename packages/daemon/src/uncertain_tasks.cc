#include "cranberryplank/daemon/uncertain_tasks.h"

#include <utility>
#include <vector>

namespace cranberryplank {

namespace {

constexpr Duration kQueryInterval{500};

}  // namespace

void UncertainTasks::Add(TimePoint now, const UncertainTask& task, OutcomeCallback done) {
  Entry& entry = m_tasks[task.task_id];
  entry.task = task;
  entry.done = std::move(done);
  Query(now, &entry);
}

void UncertainTasks::Tick(TimePoint now) {
  std::vector<std::string> ended;
  for (auto& [task_id, entry] : m_tasks) {
    if (now >= entry.task.ends_by) {
      ended.push_back(task_id);
    } else if (!entry.query_in_flight && now >= entry.next_query) {
      Query(now, &entry);
    }
  }
  for (const std::string& task_id : ended) {
    Resolve(now, task_id, TaskOutcome::kEnded);
  }
}

void UncertainTasks::Query(TimePoint now, Entry* entry) {
  entry->query_in_flight = true;
  entry->next_query = now + kQueryInterval;
  m_workers->GetTask(entry->task.worker, entry->task.task_id,
                     [this, alive = std::weak_ptr<bool>(m_alive), task_id = entry->task.task_id](
                         TimePoint answered, const std::optional<TaskReport>& report,
                         std::string_view /*reason*/) {
                       if (!alive.expired()) {
                         OnReport(answered, task_id, report);
                       }
                     });
}

void UncertainTasks::OnReport(TimePoint now, const std::string& task_id,
                              const std::optional<TaskReport>& report) {
  const auto found = m_tasks.find(task_id);
  if (found == m_tasks.end()) {
    return;
  }
  const UncertainTask& task = found->second.task;
  found->second.query_in_flight = false;
  if (!report) {
    return;
  }
  // A reboot ends all tasks, and the worker refuses starts from before the reboot. Whether the task
  // ran before the reboot is unknown.
  const bool rebooted = report->boot_id != task.boot_id;
  if (rebooted || report->state == TaskState::kFinished) {
    Resolve(now, task_id, TaskOutcome::kEnded);
  } else if (report->state == TaskState::kUnknown && report->worker_clock > task.start_by) {
    Resolve(now, task_id, TaskOutcome::kNeverRan);
  }
}

void UncertainTasks::Resolve(TimePoint now, const std::string& task_id, TaskOutcome outcome) {
  const auto found = m_tasks.find(task_id);
  const OutcomeCallback done = std::move(found->second.done);
  m_tasks.erase(found);
  done(now, outcome);
}

}  // namespace cranberryplank
