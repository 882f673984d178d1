#include "cranberryplank/platform/http_worker_client.h"

#include <fmt/format.h>

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/model/text.h"
#include "cranberryplank/platform/http_status.h"

namespace cranberryplank {

namespace {

using nlohmann::json;
using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

std::string FailureReason(const HttpReply& reply) {
  return reply.outcome == HttpOutcome::kAnswered
             ? fmt::format("status {}: {}", reply.status, reply.body.substr(0, 200))
             : reply.reason;
}

std::optional<WorkerRefusal> ParseRefusal(std::string_view text) {
  if (text == "draining") {
    return WorkerRefusal::kDraining;
  }
  if (text == "busy") {
    return WorkerRefusal::kBusy;
  }
  if (text == "expired") {
    return WorkerRefusal::kExpired;
  }
  return std::nullopt;
}

TaskResult Failed(Verdict verdict, std::string reason) {
  TaskResult result;
  result.verdict = verdict;
  result.reason = std::move(reason);
  return result;
}

TaskResult ToTaskResult(const std::string& task_id, HttpReply reply) {
  if (reply.outcome == HttpOutcome::kNotSent) {
    return Failed(Verdict::kNotRun, reply.reason);
  }
  if (reply.outcome != HttpOutcome::kAnswered) {
    return Failed(Verdict::kMayHaveRun, reply.reason);
  }
  if (task_id.empty() || reply.Header("Task-Id") != task_id) {
    return Failed(Verdict::kMayHaveRun,
                  fmt::format("the reply's Task-Id is missing or belongs to another task: '{}'",
                              reply.Header("Task-Id")));
  }
  const Duration worker_clock(
      ParseNumber<Duration::rep>(reply.Header("Worker-Clock-Ms")).value_or(0));
  const std::optional<WorkerRefusal> refusal = ParseRefusal(reply.Header("Refusal"));
  if (reply.status == kConflict && refusal) {
    TaskResult result =
        Failed(Verdict::kNotRun, fmt::format("the worker refused: {}", reply.Header("Refusal")));
    result.refusal = *refusal;
    result.worker_clock = worker_clock;
    return result;
  }
  const std::optional<int> task_status = ParseNumber<int>(reply.Header("Task-Status"));
  if (reply.status != kOk || !task_status) {
    return Failed(Verdict::kMayHaveRun, FailureReason(reply));
  }
  TaskResult result;
  result.verdict = Verdict::kCompleted;
  result.status = *task_status;
  result.content_type = reply.Header("Content-Type");
  result.body = std::move(reply.body);
  result.worker_clock = worker_clock;
  return result;
}

/// Parses a complete reply with `read`, which throws if the reply is not valid. On failure returns
/// nullopt and sets `last_reason`.
template <typename Result, typename Read>
std::optional<Result> ReadAnswer(const HttpReply& reply, std::string* last_reason, Read read) {
  if (reply.outcome != HttpOutcome::kAnswered || reply.status != kOk) {
    *last_reason = FailureReason(reply);
    return std::nullopt;
  }
  try {
    return read(json::parse(reply.body));
  } catch (const std::exception& error) {
    *last_reason = fmt::format("the worker's reply is not valid: {}", error.what());
    return std::nullopt;
  }
}

WorkerStatus ReadStatus(const json& value) {
  WorkerStatus status;
  value.at("boot_id").get_to(status.boot_id);
  status.clock = Duration(value.at("clock_ms").get<Duration::rep>());
  value.at("slots").get_to(status.slots);
  value.at("running").get_to(status.running);
  value.at("draining").get_to(status.draining);
  return status;
}

void CheckTaskId(const json& value, std::string_view task_id) {
  if (value.at("task_id") != task_id) {
    throw std::invalid_argument("the task id does not match");
  }
}

TaskReport ReadReport(const json& value, std::string_view task_id) {
  CheckTaskId(value, task_id);
  TaskReport report;
  const auto state = value.at("state").get<std::string>();
  constexpr std::array<std::pair<std::string_view, TaskState>, 3> kStates{
      {{"unknown", TaskState::kUnknown},
       {"running", TaskState::kRunning},
       {"finished", TaskState::kFinished}}};
  bool known = false;
  for (const auto& [name, named_state] : kStates) {
    if (state == name) {
      report.state = named_state;
      known = true;
    }
  }
  if (!known) {
    throw std::invalid_argument("the task state is not a known value");
  }
  report.worker_clock = Duration(value.at("clock_ms").get<Duration::rep>());
  value.at("boot_id").get_to(report.boot_id);
  return report;
}

/// Returns a handler that reports to `done` whether the reply is complete and passes `check`, which
/// throws if the reply is not valid.
template <typename Check>
HttpClient::Callback MakeDoneHandler(WorkerClient::DoneCallback done, Check check) {
  return [done = std::move(done), check](TimePoint now, const HttpReply& reply) {
    std::string reason;
    const auto ok = ReadAnswer<bool>(reply, &reason, [&](const json& value) {
      check(value);
      return true;
    });
    done(now, ok.has_value(), reason);
  };
}

}  // namespace

HttpWorkerClient::HttpWorkerClient(HttpClient* client, Duration timeout)
    : m_client(client), m_timeout(timeout) {}

HttpRequest HttpWorkerClient::MakeRequest(const WorkerAddress& worker, HttpMethod method,
                                          std::string target) const {
  HttpRequest request;
  request.method = method;
  request.host = worker.host;
  request.port = worker.port;
  request.target = std::move(target);
  request.timeout = m_timeout;
  return request;
}

void HttpWorkerClient::GetStatus(const WorkerAddress& worker, StatusCallback done) {
  m_client->Send(MakeRequest(worker, HttpMethod::kGet, "/v1/status"),
                 [done = std::move(done)](TimePoint now, const HttpReply& reply) {
                   std::string reason;
                   const auto status = ReadAnswer<WorkerStatus>(reply, &reason, ReadStatus);
                   done(now, status, reason);
                 });
}

void HttpWorkerClient::Start(const WorkerAddress& worker, const TaskStart& task, Duration timeout,
                             TaskCallback done) {
  HttpRequest request = MakeRequest(worker, HttpMethod::kPost, "/v1/tasks");
  request.headers = {{"Task-Id", task.task_id},
                     {"Queue", task.queue},
                     {"Boot-Id", task.boot_id},
                     {"Start-By-Ms", fmt::to_string(task.start_by.count())},
                     {"Lease-Ms", fmt::to_string(task.lease.count())}};
  if (!task.content_type.empty()) {
    request.headers.push_back({"Content-Type", task.content_type});
  }
  request.body = task.body;
  request.timeout = timeout;
  m_client->Send(std::move(request),
                 [id = task.task_id, done = std::move(done)](TimePoint now, HttpReply reply) {
                   done(now, ToTaskResult(id, std::move(reply)));
                 });
}

void HttpWorkerClient::GetTask(const WorkerAddress& worker, std::string_view task_id,
                               ReportCallback done) {
  m_client->Send(
      MakeRequest(worker, HttpMethod::kGet, fmt::format("/v1/tasks/{}", EscapePath(task_id))),
      [id = std::string(task_id), done = std::move(done)](TimePoint now, const HttpReply& reply) {
        std::string reason;
        const auto report = ReadAnswer<TaskReport>(
            reply, &reason, [&](const json& value) { return ReadReport(value, id); });
        done(now, report, reason);
      });
}

void HttpWorkerClient::Checkpoint(const WorkerAddress& worker, std::string_view task_id,
                                  DoneCallback done) {
  m_client->Send(MakeRequest(worker, HttpMethod::kPost,
                             fmt::format("/v1/tasks/{}/checkpoint", EscapePath(task_id))),
                 MakeDoneHandler(std::move(done), [id = std::string(task_id)](const json& value) {
                   CheckTaskId(value, id);
                 }));
}

void HttpWorkerClient::SetDraining(const WorkerAddress& worker, bool drain, DoneCallback done) {
  HttpRequest request = MakeRequest(worker, HttpMethod::kPut, "/v1/draining");
  request.body = json{{"draining", drain}}.dump();
  m_client->Send(std::move(request), MakeDoneHandler(std::move(done), [drain](const json& value) {
                   if (value.at("draining") != drain) {
                     throw std::invalid_argument("the draining state does not match the request");
                   }
                 }));
}

void HttpWorkerClient::Reboot(const WorkerAddress& worker, std::string_view boot_id,
                              DoneCallback done) {
  HttpRequest request = MakeRequest(worker, HttpMethod::kPost, "/v1/reboot");
  request.headers.push_back(HttpHeader{"Boot-Id", std::string(boot_id)});
  m_client->Send(std::move(request), MakeDoneHandler(std::move(done), [](const json& value) {
                   if (value.at("rebooting") != true) {
                     throw std::invalid_argument("the reboot is not confirmed");
                   }
                 }));
}

}  // namespace cranberryplank
