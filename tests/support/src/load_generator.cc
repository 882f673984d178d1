#include "cranberryplank/support/load_generator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr Duration kLogTimeout{10'000};
constexpr std::size_t kMaxLogBytes = std::size_t{256} << 20U;

HttpClientLimits ClientLimits(const LoadSettings& settings) {
  HttpClientLimits limits;
  limits.connections_per_server = std::max<std::size_t>(settings.concurrency, 1);
  limits.max_reply_bytes = kMaxLogBytes;
  return limits;
}

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

}  // namespace

LoadGenerator::LoadGenerator(event_base* base, LoadSettings settings, std::string run_id)
    : m_settings(std::move(settings)),
      m_run_id(std::move(run_id)),
      m_client(base, ClientLimits(m_settings)),
      m_results(m_settings.requests, Result::kPending) {
  m_report.served_by_target.resize(m_settings.targets.size());
}

void LoadGenerator::Start() {
  m_started = Clock::now();
  const std::size_t first = std::min(m_settings.concurrency, m_settings.requests);
  for (std::size_t i = 0; i < first; ++i) {
    SendNext();
  }
  if (first == 0) {
    ReadLogs();
  }
}

std::string LoadGenerator::ReplyText(std::size_t number) const {
  return fmt::format("{}-{}", m_run_id, number);
}

void LoadGenerator::SendNext() {
  const std::size_t number = m_sent++;
  const WorkerAddress& daemon = m_settings.daemons[number % m_settings.daemons.size()];
  // Advances the target after each round over the daemons, so that every pair is used.
  const std::size_t target = number / m_settings.daemons.size() % m_settings.targets.size();
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.host = daemon.host;
  request.port = daemon.port;
  request.target =
      fmt::format("/v1/queues/{}/requests", EscapePath(m_settings.targets[target].queue));
  request.headers = {{"Authorization", fmt::format("Bearer {}", m_settings.targets[target].key)},
                     {"Content-Type", "application/json"},
                     {"Deadline-Ms", fmt::to_string(m_settings.timeout.count())}};
  if (m_settings.idempotent) {
    request.headers.push_back({"Idempotent", "true"});
  }
  if (m_settings.urgent) {
    request.headers.push_back({"Urgent", "true"});
  }
  request.body = json{{"run_ms", m_settings.run_ms}, {"reply", ReplyText(number)}}.dump();
  // The daemon enforces the deadline; its answer needs additional time to arrive.
  constexpr Duration kAnswerTime{1'000};
  request.timeout = m_settings.timeout + kAnswerTime;
  m_client.Send(std::move(request),
                [this, number, target, sent = Clock::now()](TimePoint now, const HttpReply& reply) {
                  OnReply(number, sent, now, reply);
                  if (m_results[number] == Result::kServed) {
                    ++m_report.served_by_target[target];
                  }
                });
}

void LoadGenerator::OnReply(std::size_t number, TimePoint sent, TimePoint now,
                            const HttpReply& reply) {
  m_results[number] = Classify(reply, ReplyText(number));
  if (m_results[number] == Result::kServed) {
    m_latencies_ms.push_back(std::chrono::duration<double, std::milli>(now - sent).count());
  }
  ++m_answered;
  if (m_sent < m_settings.requests) {
    SendNext();
  } else if (m_answered == m_settings.requests) {
    m_report.seconds = std::chrono::duration<double>(now - m_started).count();
    ReadLogs();
  }
}

LoadGenerator::Result LoadGenerator::Classify(const HttpReply& reply, std::string_view expected) {
  if (reply.outcome == HttpOutcome::kNotSent) {
    return Result::kNotSent;
  }
  if (reply.outcome != HttpOutcome::kAnswered) {
    return Result::kNoAnswer;
  }
  if (reply.status == 200) {
    return reply.body == expected ? Result::kServed : Result::kWrong;
  }
  const json error = json::parse(reply.body, nullptr, false);
  const std::string verdict =
      error.is_object() && error.contains("verdict") && error["verdict"].is_string()
          ? error["verdict"].get<std::string>()
          : "";
  if (verdict == ToString(Verdict::kNotRun)) {
    return Result::kNotRun;
  }
  if (verdict == ToString(Verdict::kMayHaveRun)) {
    return Result::kMayHaveRun;
  }
  // An error answer of the task itself has the task's body, which contains no verdict.
  const bool answered_by_task = !reply.Header("Task-Id").empty();
  return verdict == ToString(Verdict::kCompleted) || answered_by_task ? Result::kFailed
                                                                      : Result::kUnclear;
}

void LoadGenerator::ReadLogs() {
  if (m_settings.workers.empty()) {
    Finish();
    return;
  }
  for (const WorkerAddress& worker : m_settings.workers) {
    HttpRequest request;
    request.host = worker.host;
    request.port = worker.port;
    request.target = "/log";
    request.timeout = kLogTimeout;
    m_client.Send(std::move(request), [this](TimePoint, const HttpReply& reply) { OnLog(reply); });
  }
}

void LoadGenerator::OnLog(const HttpReply& reply) {
  const json log = json::parse(reply.body, nullptr, false);
  if (reply.outcome != HttpOutcome::kAnswered || !log.is_object() || !log.contains("tasks")) {
    ++m_report.unread_logs;
  } else {
    for (const json& task : log["tasks"]) {
      m_starts[task.value("reply", "")] += task.value("starts", 0);
    }
  }
  if (++m_logs_read == m_settings.workers.size()) {
    Finish();
  }
}

void LoadGenerator::Finish() {
  CountResults();
  CountStarts();
  CountLatencies();
  m_done = true;
}

void LoadGenerator::CountResults() {
  const auto count = [this](Result result) {
    return static_cast<std::size_t>(std::count(m_results.begin(), m_results.end(), result));
  };
  m_report.served = count(Result::kServed);
  m_report.not_run = count(Result::kNotRun);
  m_report.not_sent = count(Result::kNotSent);
  m_report.may_have_run = count(Result::kMayHaveRun);
  m_report.failed = count(Result::kFailed);
  m_report.wrong = count(Result::kWrong);
  m_report.no_answer = count(Result::kNoAnswer);
  m_report.unclear = count(Result::kUnclear);
}

void LoadGenerator::CountStarts() {
  m_report.lost = m_report.no_answer;
  for (std::size_t number = 0; number < m_results.size(); ++number) {
    const auto it = m_starts.find(ReplyText(number));
    const int starts = it == m_starts.end() ? 0 : it->second;
    const Result result = m_results[number];
    if (result == Result::kServed && starts == 0 && !m_settings.workers.empty()) {
      ++m_report.lost;
    }
    if (starts > 1 && !m_settings.idempotent) {
      ++m_report.duplicated;
    }
    if ((result == Result::kNotRun || result == Result::kNotSent) && starts > 0) {
      ++m_report.not_run_but_started;
    }
  }
}

void LoadGenerator::CountLatencies() {
  std::sort(m_latencies_ms.begin(), m_latencies_ms.end());
  m_report.p50_ms = Percentile(m_latencies_ms, 0.5);
  m_report.p90_ms = Percentile(m_latencies_ms, 0.9);
  m_report.p99_ms = Percentile(m_latencies_ms, 0.99);
  m_report.max_ms = m_latencies_ms.empty() ? 0 : m_latencies_ms.back();
}

}  // namespace cranberryplank
