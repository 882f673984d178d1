#include "cranberryplank/support/fake_worker.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::string_view kTasks = "/v1/tasks";

/// Parses a time header. A missing or invalid one makes the worker refuse the task as expired.
Duration ReadTime(const HttpExchange& exchange, const std::string& name) {
  const std::string text = exchange.Header(name);
  Duration::rep ms = -1;
  std::from_chars(text.data(), text.data() + text.size(), ms);
  return Duration(ms);
}

ServerReply JsonReply(int status, const json& value) {
  return {status, value.dump(), {{"Content-Type", "application/json"}}};
}

std::string_view RefusalName(WorkerRefusal refusal) {
  switch (refusal) {
    case WorkerRefusal::kNone:
      return "none";
    case WorkerRefusal::kDraining:
      return "draining";
    case WorkerRefusal::kBusy:
      return "busy";
    case WorkerRefusal::kExpired:
      return "expired";
  }
  return "unknown";
}

std::string_view StateName(TaskState state) {
  switch (state) {
    case TaskState::kUnknown:
      return "unknown";
    case TaskState::kRunning:
      return "running";
    case TaskState::kFinished:
      return "finished";
  }
  return "unknown";
}

ServerReply RefusalReply(const HttpExchange& exchange, WorkerRefusal refusal, Duration clock) {
  return {409,
          "",
          {{"Task-Id", exchange.Header("Task-Id")},
           {"Refusal", std::string(RefusalName(refusal))},
           {"Worker-Clock-Ms", fmt::to_string(clock.count())}}};
}

}  // namespace

FakeWorker::FakeWorker(event_base* base, const std::string& name, const WorkerSettings& settings)
    : FakeServer(base), m_settings(settings), m_worker(&scheduler(), name, settings) {}

ServerReply FakeWorker::Refusal(const HttpExchange& exchange) const {
  return RefusalReply(exchange, WorkerRefusal::kBusy, m_worker.WorkerClock());
}

bool FakeWorker::ApplyFault(const Fault& fault) {
  if (fault.name == "fail_all") {
    m_worker.SetFailAll(true);
    return true;
  }
  if (fault.name == "pause") {
    m_worker.process().Pause();
    scheduler().Schedule(scheduler().Now() + fault.time,
                         [this](TimePoint) { m_worker.process().Resume(); });
    return true;
  }
  if (fault.name == "crash") {
    m_worker.Crash();
    SetUnreachable(m_settings.reboot_time);
    return true;
  }
  return false;
}

void FakeWorker::ClearFaults() {
  m_worker.SetFailAll(false);
  m_worker.process().Resume();
}

bool FakeWorker::HandleControl(const Exchange& exchange) {
  if (exchange->path() != "/log") {
    return false;
  }
  json tasks = json::object();
  for (const auto& [id, task] : m_worker.log()) {
    tasks[id] = {{"queue", task.queue},
                 {"reply", task.reply},
                 {"starts", task.starts},
                 {"completions", task.completions}};
  }
  exchange->Reply(JsonReply(200, {{"tasks", tasks}, {"max_running", m_worker.max_running()}}));
  return true;
}

void FakeWorker::Handle(const Exchange& exchange) {
  m_worker.process().Schedule(scheduler().Now(), [this, exchange](TimePoint) {
    if (!m_worker.Reachable()) {
      Drop(exchange);
      return;
    }
    Route(exchange);
  });
}

void FakeWorker::Route(const Exchange& exchange) {
  const std::string_view path = exchange->path();
  const std::string request = exchange->method() + " " + exchange->path();
  if (request == "GET /v1/status") {
    const WorkerStatus status = m_worker.Status();
    Answer(exchange, JsonReply(200, {{"boot_id", status.boot_id},
                                     {"clock_ms", status.clock.count()},
                                     {"slots", status.slots},
                                     {"running", status.running},
                                     {"draining", status.draining}}));
  } else if (request == "POST /v1/tasks") {
    Start(exchange);
  } else if (path.starts_with("/v1/tasks/")) {
    HandleTask(exchange, path.substr(kTasks.size() + 1));
  } else if (request == "PUT /v1/draining") {
    const json value = json::parse(exchange->body(), nullptr, false);
    if (!value.is_object() || !value.contains("draining") || !value["draining"].is_boolean()) {
      Answer(exchange, JsonReply(400, {{"reason", "the body is not valid"}}));
      return;
    }
    m_worker.SetDraining(value["draining"].get<bool>());
    Answer(exchange, JsonReply(200, {{"draining", value["draining"]}}));
  } else if (request == "POST /v1/reboot") {
    Reboot(exchange);
  } else {
    Answer(exchange, JsonReply(404, {{"reason", "unknown path"}}));
  }
}

void FakeWorker::Start(const Exchange& exchange) {
  TaskStart task;
  task.task_id = exchange->Header("Task-Id");
  task.queue = exchange->Header("Queue");
  task.content_type = exchange->Header("Content-Type");
  task.boot_id = exchange->Header("Boot-Id");
  task.start_by = ReadTime(*exchange, "Start-By-Ms");
  task.lease = ReadTime(*exchange, "Lease-Ms");
  task.body = exchange->body();
  if (task.task_id.empty() || task.lease < Duration(0)) {
    Answer(exchange, JsonReply(400, {{"reason", "a header is missing"}}));
    return;
  }
  const WorkerRefusal refusal = m_worker.Start(
      task, [this, exchange, id = task.task_id](TimePoint, const std::optional<TaskAnswer>& end) {
        if (!end) {
          Drop(exchange);
          return;
        }
        Answer(exchange, {200,
                          end->body,
                          {{"Task-Id", id},
                           {"Task-Status", fmt::to_string(end->status)},
                           {"Worker-Clock-Ms", fmt::to_string(m_worker.WorkerClock().count())},
                           {"Content-Type", end->content_type}}});
      });
  if (refusal != WorkerRefusal::kNone) {
    Answer(exchange, RefusalReply(*exchange, refusal, m_worker.WorkerClock()));
  }
}

void FakeWorker::HandleTask(const Exchange& exchange, std::string_view rest) {
  constexpr std::string_view kCheckpoint = "/checkpoint";
  if (exchange->method() == "GET") {
    Answer(exchange, JsonReply(200, {{"task_id", rest},
                                     {"state", StateName(m_worker.GetTask(rest))},
                                     {"clock_ms", m_worker.WorkerClock().count()},
                                     {"boot_id", m_worker.Status().boot_id}}));
    return;
  }
  if (exchange->method() == "POST" && rest.ends_with(kCheckpoint)) {
    const std::string id(rest.substr(0, rest.size() - kCheckpoint.size()));
    const bool stopped = m_worker.Checkpoint(id);
    Answer(exchange, stopped ? JsonReply(200, {{"task_id", id}})
                             : JsonReply(409, {{"reason", "the task is not running"}}));
    return;
  }
  Answer(exchange, JsonReply(404, {{"reason", "unknown path"}}));
}

void FakeWorker::Reboot(const Exchange& exchange) {
  if (!m_worker.Reboot(exchange->Header("Boot-Id"))) {
    Answer(exchange, JsonReply(409, {{"reason", "tasks are running or the boot has ended"}}));
    return;
  }
  Answer(exchange, JsonReply(200, {{"rebooting", true}}));
  SetUnreachable(m_settings.reboot_time);
}

}  // namespace cranberryplank
