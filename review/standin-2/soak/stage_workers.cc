#include "stage_workers.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryplank/platform/http_status.h"
#include "json.h"

namespace cranberryplank {

namespace {

using nlohmann::json;
using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

constexpr ApiLimits kStageLimits{1U << 20U, 1U << 14U, Duration(60'000)};
constexpr Duration kHeartbeat{1'500};
constexpr std::int64_t kHoldMaxMs = 6'000;
constexpr int kCores = 64'000;
constexpr int kMemoryMb = 131'072;
constexpr int kPercent = 100;

/// Returns JOB.STEP of a task's name JOB.K.STEP.INDEX.
std::string StepOf(const std::string& task) {
  const std::size_t index = task.rfind('.');
  const std::size_t step = task.rfind('.', index - 1);
  return task.substr(0, task.find('.')) + task.substr(step, index - step);
}

std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

}  // namespace

std::uint16_t FreeLoopbackPort() {
  constexpr int kFirstPort = 20'000;
  constexpr int kPortsPerProcess = 40;
  constexpr int kProcesses = 300;
  static int next = kFirstPort + getpid() % kProcesses * kPortsPerProcess;
  for (;; ++next) {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound =
        bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (bound) {
      return static_cast<std::uint16_t>(next++);
    }
  }
}

StageWorkers::StageWorkers(event_base* base, EmulatedStore* store, StageLog log)
    : m_base(base), m_store(store), m_log(std::move(log)) {}

StageWorker* StageWorkers::Add(const std::string& id, const std::string& pool,
                               const std::string& kind, const std::string& machine) {
  auto owned = std::make_unique<StageWorker>();
  StageWorker* worker = owned.get();
  worker->id = id;
  worker->pool = pool;
  worker->kind = kind;
  worker->machine = machine.empty() ? "m-" + id : machine;
  worker->endpoint = {"127.0.0.1", FreeLoopbackPort()};
  worker->started = Clock::now();
  worker->born_unix_ms = UnixMilliseconds();
  Serve(worker);
  m_workers[id] = std::move(owned);
  Beat(worker);
  return worker;
}

void StageWorkers::Serve(StageWorker* worker) {
  worker->server = std::make_unique<ApiServer>(
      m_base, kStageLimits,
      [this, worker](TimePoint, const Exchange& exchange) { Handle(worker, exchange); });
  worker->listening = worker->server->Listen(worker->endpoint);
}

void StageWorkers::Crash(StageWorker* worker) {
  m_log(fmt::format("{} crashes with {} runs", worker->id, worker->running.size()));
  worker->dark = true;
  worker->running.clear();
  worker->ended.clear();
}

void StageWorkers::RestartBehindCut(StageWorker* worker) {
  Crash(worker);
  worker->dark = false;
  worker->started = Clock::now();
  worker->born_unix_ms = UnixMilliseconds();
  worker->fence = worker->last_end = 0;
  worker->deadline_ms = 0;
  worker->highest_ended.clear();
  worker->beats = 0;
  m_log(fmt::format("{} starts again behind the cut", worker->id));
}

const StageTask& StageWorkers::TaskOf(const std::string& task) const {
  return m_tasks.at(StepOf(task));
}

std::int64_t StageWorkers::ClockMs(const StageWorker& worker) {
  constexpr std::int64_t kFirst = 1'000;
  return kFirst + std::chrono::duration_cast<Duration>(Clock::now() - worker.started).count();
}

void StageWorkers::Beat(StageWorker* worker) {
  worker->next_beat = Clock::now() + kHeartbeat;
  worker->listed = true;
  const json entry{{"service", worker->pool},
                   {"addr", fmt::format("{}:{}", worker->endpoint.host, worker->endpoint.port)},
                   {"zone", "fes-medina"},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"seq", ++worker->beats},
                   {"born", worker->born_unix_ms},
                   {"machine", worker->machine},
                   {"capacity", {{"cpu", kCores}, {"memMb", kMemoryMb}, {"gpu", 0}}},
                   {"labels", {worker->kind, "r1-" + worker->kind}}};
  m_store->Put("servers/" + worker->id, entry.dump());
}

ApiResponse StageWorkers::Answer(const StageWorker& worker, int status, const std::string& reason) {
  json body{{"clockMs", ClockMs(worker)}, {"born", worker.born_unix_ms}};
  if (!reason.empty()) {
    body["reason"] = reason;
  }
  ApiResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

ApiResponse StageWorkers::Lists(const StageWorker& worker) const {
  json running = json::array();
  for (const auto& [task, run] : worker.running) {
    const StageTask& what = TaskOf(task);
    const auto percent =
        kPercent * std::chrono::duration_cast<Duration>(Clock::now() - run.began) / what.work;
    running.push_back(
        {task, run.run, "", std::min<std::int64_t>(percent, kPercent - 1), what.cpu_millis});
  }
  json ended = json::array();
  for (const StageEnd& end : worker.ended) {
    ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  ApiResponse response;
  response.body = json{
      {"clockMs", ClockMs(worker)},
      {"born", worker.born_unix_ms},
      {"running", running},
      {"ended",
       ended}}.dump();
  return response;
}

void StageWorkers::End(StageWorker* worker, const std::string& task, const std::string& how) {
  const int run = worker->running.at(task).run;
  worker->running.erase(task);
  int& highest = worker->highest_ended[task];
  highest = std::max(highest, run);
  worker->ended.push_back({++worker->last_end, task, run, how});
  m_log(fmt::format("{} run {} of {} ends {}", worker->id, run, task, how));
}

void StageWorkers::Handle(StageWorker* worker, const Exchange& exchange) {
  const ApiRequest& request = exchange->request();
  if (worker->dark || worker->cut) {
    m_unanswered.push_back(exchange);  // What is sent to it now is lost.
    return;
  }
  const std::string_view expected = request.Header("expect-instance");
  if (!expected.empty() && expected != worker->id) {
    exchange->Reply(Answer(*worker, kMisdirected, ""));
    return;
  }
  if (request.path == "/hold") {
    Hold(worker, exchange);
    return;
  }
  ApiResponse response = Answer(*worker, kNotFound, "");
  if (request.path == "/run-start") {
    response = Start(worker, request.body);
  } else if (request.path == "/run-stop") {
    response = Stop(worker, request.body);
  }
  exchange->Reply(response);
}

ApiResponse StageWorkers::Start(StageWorker* worker, const std::string& body) {
  const json order = ParseObject(body).value_or(json::object());
  const std::string task = TextField(order, "task");
  const int run = IntField(order, "run");
  const auto fence = static_cast<std::uint64_t>(NumberField(order, "fence"));
  const auto refuse = [&](const std::string& reason) {
    ++m_refused_starts;
    m_log(fmt::format("{} is told to start run {} of {}: refused, {}", worker->id, run, task,
                      reason));
    return Answer(*worker, kConflict, reason);
  };
  if (fence < worker->fence) {
    return refuse("fence");
  }
  worker->fence = fence;
  const std::int64_t now_ms = ClockMs(*worker);
  worker->deadline_ms = std::max(worker->deadline_ms,
                                 std::min(NumberField(order, "deadlineMs"), now_ms + kHoldMaxMs));
  const auto present = worker->running.find(task);
  if (present != worker->running.end() && present->second.run == run) {
    return Answer(*worker, kOk, "");
  }
  const auto highest = worker->highest_ended.find(task);
  if (present != worker->running.end() ||
      (highest != worker->highest_ended.end() && run <= highest->second)) {
    return refuse("old");
  }
  if (worker->deadline_ms <= now_ms) {
    return refuse("late");
  }
  const std::string& ticket = TaskOf(task).ticket;
  if (!ticket.empty() && TextField(order, "token") != ticket + worker->id) {
    return refuse("ticket");
  }
  worker->running[task] = {run, Clock::now()};
  m_begun.insert(JobOf(task));
  m_log(fmt::format("{} starts run {} of {} (fence {})", worker->id, run, task, fence));
  return Answer(*worker, kOk, "");
}

ApiResponse StageWorkers::Stop(StageWorker* worker, const std::string& body) {
  const json order = ParseObject(body).value_or(json::object());
  const std::string task = TextField(order, "task");
  const auto fence = static_cast<std::uint64_t>(NumberField(order, "fence"));
  if (fence < worker->fence) {
    return Answer(*worker, kConflict, "fence");
  }
  worker->fence = fence;
  int& highest = worker->highest_ended[task];
  highest = std::max(highest, IntField(order, "run"));
  const auto present = worker->running.find(task);
  if (present != worker->running.end() && present->second.run <= highest) {
    End(worker, task, "stopped");
  }
  return Answer(*worker, kOk, "");
}

void StageWorkers::Hold(StageWorker* worker, const Exchange& exchange) {
  const json order = ParseObject(exchange->request().body).value_or(json::object());
  const auto fence = static_cast<std::uint64_t>(NumberField(order, "fence"));
  if (fence < worker->fence) {
    exchange->Reply(Answer(*worker, kConflict, "fence"));
    return;
  }
  worker->fence = fence;
  if (order.contains("deadlineMs")) {
    worker->deadline_ms = std::max(worker->deadline_ms, std::min(NumberField(order, "deadlineMs"),
                                                                 ClockMs(*worker) + kHoldMaxMs));
  }
  const auto acked = static_cast<std::uint64_t>(NumberField(order, "ackedUpto"));
  std::erase_if(worker->ended, [&](const StageEnd& end) { return end.number <= acked; });
  const Duration wait{NumberField(order, "waitMs")};
  if (wait > Duration(0) && worker->ended.empty()) {
    m_holds.push_back({exchange, worker->id, Clock::now() + wait});
    return;
  }
  exchange->Reply(Lists(*worker));
}

void StageWorkers::Tick(TimePoint now) {
  for (auto& [id, worker] : m_workers) {
    const bool silent = (worker->dark || worker->cut) && worker->listed &&
                        now - worker->next_beat >= 2 * kHeartbeat;
    if (silent) {
      worker->listed = false;
      m_silent(id);
    }
    if (worker->dark) {
      continue;
    }
    const bool lapsed = worker->deadline_ms <= ClockMs(*worker);
    std::vector<std::pair<std::string, std::string>> ends;
    for (const auto& [task, run] : worker->running) {
      if (lapsed) {
        ends.emplace_back(task, "lapsed");
      } else if (now - run.began >= TaskOf(task).work) {
        const bool fails = FailedRuns(task) < TaskOf(task).failures;
        m_failed[task] += fails ? 1 : 0;
        ends.emplace_back(task, fails ? "failed" : "done");
      }
    }
    for (const auto& [task, how] : ends) {
      End(worker.get(), task, how);
    }
    if (!worker->cut && now >= worker->next_beat) {
      Beat(worker.get());
    }
  }
  std::erase_if(m_holds, [&](const WaitingHold& hold) {
    const StageWorker& worker = *m_workers.at(hold.worker);
    if (worker.dark || worker.cut) {
      m_unanswered.push_back(hold.exchange);
      return true;
    }
    if (worker.ended.empty() && now < hold.until) {
      return false;
    }
    hold.exchange->Reply(Lists(worker));
    return true;
  });
}

bool StageWorkers::AllListen() const {
  return std::all_of(m_workers.begin(), m_workers.end(),
                     [](const auto& item) { return item.second->listening; });
}

std::vector<std::string> StageWorkers::WorkersOf(const std::string& task) const {
  std::vector<std::string> names;
  for (const auto& [id, worker] : m_workers) {
    if (worker->running.contains(task)) {
      names.push_back(id);
    }
  }
  return names;
}

std::int64_t StageWorkers::RunningCpu(const std::string& customer) const {
  std::int64_t cpu = 0;
  for (const auto& [id, worker] : m_workers) {
    for (const auto& [task, run] : worker->running) {
      const StageTask& what = TaskOf(task);
      cpu += what.customer == customer ? what.cpu_millis : 0;
    }
  }
  return cpu;
}

}  // namespace cranberryplank
