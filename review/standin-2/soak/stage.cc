#include "stage.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "cranberryplank/platform/http_status.h"
#include "json.h"

namespace cranberryplank {

namespace {

using nlohmann::json;
using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

constexpr ApiLimits kStageServerLimits{1U << 20U, 1U << 14U, Duration(60'000)};
constexpr Duration kStageTick{5};
/// A process that ends is started again after this time.
constexpr Duration kRestart{500};
constexpr Duration kUpkeep{2'000};
constexpr Duration kClientTimeout{3'000};
constexpr const char* kStageKey = "key-of-the-tenant";

std::string Text(const Endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.host, endpoint.port);
}

Endpoint FreeAddress() { return {"127.0.0.1", FreeLoopbackPort()}; }

}  // namespace

Stage::Stage(const std::string& root, const std::string& folder, bool with_cloud, bool with_advice)
    : m_root(root),
      m_folder(folder),
      m_record(folder + "/record.txt"),
      m_store(m_loop.base(), &m_random),
      m_workers(m_loop.base(), &m_store, [this](const std::string& text) { Log(text); }),
      m_http(m_loop.base(), {1'000}),
      m_operator_store(FreeAddress()) {
  m_store.Listen(m_operator_store);
  m_workers.OnSilent([this](const std::string& id) { RemoveRegistration(id); });
  if (with_cloud) {
    m_cloud_address = FreeAddress();
    m_cloud = std::make_unique<ApiServer>(
        m_loop.base(), kStageServerLimits,
        [this](TimePoint, const Exchange& exchange) { HandleCloud(exchange); });
    m_cloud->Listen(m_cloud_address);
  }
  if (with_advice) {
    m_advice_address = FreeAddress();
    m_advice = std::make_unique<ApiServer>(
        m_loop.base(), kStageServerLimits,
        [this](TimePoint, const Exchange& exchange) { HandleAdvice(exchange); });
    m_advice->Listen(m_advice_address);
  }
}

Stage::~Stage() {
  for (const StageDaemon& daemon : m_daemons) {
    if (daemon.pid > 0) {
      kill(daemon.pid, SIGKILL);
      waitpid(daemon.pid, nullptr, 0);
    }
  }
}

void Stage::Log(const std::string& text) {
  const double at = std::chrono::duration<double>(Clock::now() - m_begun).count();
  m_record << fmt::format("{:8.3f} {}\n", at, text) << std::flush;
}

void Stage::Spawn(StageDaemon* daemon) {
  std::string settings = "CRANBERRYPLANK_SETTINGS=" + daemon->settings;
  const std::string program = m_root + "/target/packages/daemon/cranberryplankd";
  daemon->pid = fork();
  if (daemon->pid != 0) {
    Log(fmt::format("{} is started", daemon->node));
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // No daemon outlives the case.
  const int log = open(daemon->log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  if (chdir(m_root.c_str()) != 0) {
    _exit(127);  // NOLINT(readability-magic-numbers): as a shell does
  }
  std::array<std::string, 2> words{program, "--jobs"};
  std::array<char*, 3> arguments{words[0].data(), words[1].data(), nullptr};
  std::array<char*, 2> environment{settings.data(), nullptr};
  execve(program.c_str(), arguments.data(), environment.data());
  _exit(127);  // NOLINT(readability-magic-numbers): as a shell does
}

void Stage::StartDaemons(int count) {
  for (int i = 0; i < count; ++i) {
    StageDaemon daemon;
    daemon.node = fmt::format("front-{}", i + 1);
    daemon.settings = fmt::format("{}/{}.toml", m_folder, daemon.node);
    daemon.log = fmt::format("{}/{}.log", m_folder, daemon.node);
    daemon.callers = FreeAddress();
    daemon.metrics = FreeAddress();
    const Endpoint store = FreeAddress();
    m_store.Listen(store);
    // As `deploy/settings.toml.in` is filled in with the bounds of the deployment onds-fes.
    std::ofstream(daemon.settings) << fmt::format(
        "[daemon]\nid = \"{}\"\nzone = \"fes-medina\"\ncpu_share = 0.25\ncpu_speed = 1\n\n"
        "[listen]\ncallers = \"{}\"\nready = \"{}\"\ndaemons = \"{}\"\nmetrics = \"{}\"\n\n"
        "[platform]\nstore = \"{}\"\n{}{}\n"
        "[bounds]\nrevocation_ms = 5000\nmax_lease_ms = 6000\nstop_ms = 900\ndrain_ms = 2000\n"
        "machine_lease_ms = 3000\nnotice_ms = 4500\nharm_ms = 4000\nretention_s = 120\n"
        "shutdown_grace_s = 6\nmove_s = 1.5\nupkeep_s = 2\n",
        daemon.node, Text(daemon.callers), Text(FreeAddress()), Text(FreeAddress()),
        Text(daemon.metrics), Text(store),
        m_cloud ? fmt::format("machines = \"{}\"\n", Text(m_cloud_address)) : "",
        m_advice ? fmt::format("advice = \"{}\"\n", Text(m_advice_address)) : "");
    m_daemons.push_back(std::move(daemon));
  }
  for (StageDaemon& daemon : m_daemons) {
    Spawn(&daemon);
  }
  if (!m_workers.AllListen()) {
    throw StageFailure("a worker cannot bind its address");
  }
  Expect([this] { return Owner() >= 0; }, Duration(15'000), "no daemon acts as the owner");
}

void Stage::Configure(const json& config) {
  Log("operator writes op/config " + config.dump());
  m_store.Put("op/config", config.dump());
}

void Stage::PutOperatorItem(const std::string& key, const json& value) {
  Log(fmt::format("operator writes {} {}", key, value.dump()));
  m_store.Put(key, value.dump());
}

void Stage::RemoveRegistration(const std::string& worker) {
  Log(fmt::format("the store removes servers/{}", worker));
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.host = m_operator_store.host;
  request.port = m_operator_store.port;
  request.target = "/kv-txn";
  request.body = json{{"precondition", json::array()},
                      {"setKeys", json::array()},
                      {"remove", {"servers/" + worker}}}
                     .dump();
  m_http.Send(std::move(request), [](TimePoint, const HttpReply&) {});
}

void Stage::Tick() {
  const TimePoint now = Clock::now();
  m_store.Tick(now);
  m_workers.Tick(now);
  TickCloud(now);
  for (StageDaemon& daemon : m_daemons) {
    if (daemon.pid > 0 && waitpid(daemon.pid, nullptr, WNOHANG) == daemon.pid) {
      Log(fmt::format("{} has ended", daemon.node));
      daemon.pid = -1;
      daemon.ended = now;
    } else if (daemon.pid < 0 && now - daemon.ended >= kRestart) {
      Spawn(&daemon);
    }
  }
}

void Stage::RunFor(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool Stage::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint until = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() >= until) {
      return false;
    }
    m_loop.RunFor(kStageTick);
    Tick();
  }
  return true;
}

void Stage::Expect(const std::function<bool()>& condition, Duration limit,
                   const std::string& what) {
  if (!RunUntil(condition, limit)) {
    throw StageFailure(what);
  }
}

int Stage::Owner() {
  int owner = -1;
  int open = 0;
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    if (m_daemons[i].pid <= 0) {
      continue;
    }
    HttpRequest request;
    request.host = m_daemons[i].metrics.host;
    request.port = m_daemons[i].metrics.port;
    request.target = "/metrics";
    request.timeout = Duration(300);
    ++open;
    m_http.Send(std::move(request), [&owner, &open, i](TimePoint, const HttpReply& reply) {
      --open;
      if (reply.body.find("cranberryplank_owner 1") != std::string::npos) {
        owner = static_cast<int>(i);
      }
    });
  }
  RunUntil([&open] { return open == 0; }, Duration(2'000));
  return owner;
}

void Stage::Signal(int daemon, int signal) {
  const StageDaemon& target = m_daemons.at(static_cast<std::size_t>(daemon));
  Log(fmt::format("signal {} to {}", signal, target.node));
  kill(target.pid, signal);
}

void Stage::Send(int daemon, HttpMethod method, const std::string& target, const std::string& body,
                 std::function<void(const StageAnswer&)> done) {
  const StageDaemon& to = m_daemons.at(static_cast<std::size_t>(daemon));
  HttpRequest request;
  request.method = method;
  request.host = to.callers.host;
  request.port = to.callers.port;
  request.target = target;
  request.headers.push_back({"Authorization", std::string("Bearer ") + kStageKey});
  request.headers.push_back({"Content-Type", "application/json"});
  request.headers.push_back({"Deadline-Ms", fmt::to_string(kClientTimeout.count())});
  request.body = body;
  request.timeout = kClientTimeout;
  const char* name = method == HttpMethod::kPost  ? "POST"
                     : method == HttpMethod::kGet ? "GET"
                                                  : "DELETE";
  const std::string call = fmt::format("{} {} at {}", name, target, to.node);
  Log(fmt::format("client sends {} {}", call, body));
  m_http.Send(
      std::move(request), [this, call, done = std::move(done)](TimePoint, const HttpReply& reply) {
        StageAnswer answer;
        answer.answered = reply.outcome == HttpOutcome::kAnswered;
        answer.status = reply.status;
        answer.body = ParseObject(reply.body).value_or(json::object());
        Log(fmt::format("client gets for {}: {} {}", call,
                        answer.answered ? fmt::to_string(answer.status) : "no answer", reply.body));
        done(answer);
      });
}

StageAnswer Stage::Call(int daemon, HttpMethod method, const std::string& target,
                        const std::string& body) {
  auto answer = std::make_shared<std::optional<StageAnswer>>();
  Send(daemon, method, target, body, [answer](const StageAnswer& got) { *answer = got; });
  RunUntil([&] { return answer->has_value(); }, kClientTimeout + Duration(1'000));
  return answer->value_or(StageAnswer{});
}

void Stage::Submit(int daemon, const std::string& target, const json& job) {
  for (int attempt = 0; attempt < 5; ++attempt) {
    const StageAnswer answer = Call(daemon, HttpMethod::kPost, target, job.dump());
    if (answer.answered && answer.status == kOk) {
      return;
    }
    RunFor(Duration(200));
    daemon = OtherThan(daemon);
  }
  throw StageFailure("no daemon accepts a job");
}

void Stage::HandleAdvice(const Exchange& exchange) {
  const json body = ParseObject(exchange->request().body).value_or(json::object());
  json granted = json::array();
  for (const json& worker : body.at("workers")) {
    granted.push_back({worker, "ticket-" + worker.get<std::string>()});
  }
  Log(fmt::format("advice on {}: {}", TextField(body, "step"), granted.dump()));
  ApiResponse response;
  response.body = json{{"granted", granted}}.dump();
  exchange->Reply(response);
}

int Stage::CarryOutUpkeep(const std::string& machine, std::uint64_t token, std::string* reason) {
  const auto found = m_machines.find(machine);
  if (found == m_machines.end()) {
    return kBadRequest;
  }
  StageMachine& entry = found->second;
  if (token < entry.token) {
    *reason = "fence";
    return kConflict;
  }
  entry.token = token;
  if (entry.kept) {
    return kOk;
  }
  if (entry.state != "up") {
    *reason = "busy";
    return kConflict;
  }
  int down = 0;
  for (const auto& [name, other] : m_machines) {
    down += other.state == "upkeep" ? 1 : 0;
  }
  m_most_down_at_begin = std::max(m_most_down_at_begin, down);
  Log(fmt::format("upkeep of {} begins (token {}), {} machines of the wave are down for theirs",
                  machine, token, down));
  ++m_upkeeps;
  entry.kept = true;
  entry.state = "upkeep";
  entry.back = Clock::now() + kUpkeep;
  StageWorker* worker = m_workers.Find(entry.worker);
  if (!worker->running.empty()) {
    Log(fmt::format("the upkeep of {} ends {} runs on {}", machine, worker->running.size(),
                    worker->id));
  }
  m_workers.Crash(worker);
  worker->listed = false;
  RemoveRegistration(worker->id);
  return kOk;
}

void Stage::TickCloud(TimePoint now) {
  for (auto& [name, machine] : m_machines) {
    if (machine.state == "upkeep" && now >= machine.back) {
      const StageWorker* old = m_workers.Find(machine.worker);
      const std::string id = fmt::format("{}-life-{}", old->id, ++m_lives);
      m_workers.Add(id, old->pool, old->kind, name);
      machine.worker = id;
      machine.state = "up";
      Log(fmt::format("{} is back, its worker is {}", name, id));
    }
  }
  std::erase_if(m_late, [&](const StageLateOrder& order) {
    if (now < order.due) {
      return false;
    }
    std::string reason;
    Log(fmt::format("the cloud carries out late: upkeep of {} (token {})", order.machine,
                    order.token));
    const int status = CarryOutUpkeep(order.machine, order.token, &reason);
    Log(fmt::format("its outcome: {} {}", status, reason));
    return true;
  });
}

void Stage::HandleCloud(const Exchange& exchange) {
  const ApiRequest& request = exchange->request();
  ApiResponse response;
  if (request.path == "/machines") {
    json rows = json::array();
    for (const auto& [name, machine] : m_machines) {
      const StageWorker* worker = m_workers.Find(machine.worker);
      rows.push_back({{"machine", name},
                      {"pool", machine.pool},
                      {"state", machine.state},
                      {"zone", "fes-medina"},
                      {"labels", {worker->kind, "r1-" + worker->kind}},
                      {"capacity", {{"cpu", 64'000}, {"memMb", 131'072}, {"gpu", 0}}},
                      {"id", machine.state == "up" ? machine.worker : ""}});
    }
    response.body = json{{"machines", rows}, {"next", ""}}.dump();
    exchange->Reply(response);
    return;
  }
  const json body = ParseObject(request.body).value_or(json::object());
  const std::string machine = TextField(body, "machine");
  const std::uint64_t token =
      std::strtoull(std::string(request.Header("fencing-token")).c_str(), nullptr, 10);
  Log(fmt::format("cloud gets {} {} from {} (token {})", request.path, machine,
                  request.Header("lease-holder"), token));
  if (request.path == "/machine-upkeep" && m_delay_next) {
    m_late.push_back({machine, token, Clock::now() + *std::exchange(m_delay_next, std::nullopt)});
    Log("it gets no answer and will be carried out late");
    m_unanswered.push_back(exchange);
    return;
  }
  std::string reason;
  response.status =
      request.path == "/machine-upkeep" ? CarryOutUpkeep(machine, token, &reason) : kBadRequest;
  response.body = reason.empty() ? "{}" : json{{"reason", reason}}.dump();
  exchange->Reply(response);
}

}  // namespace cranberryplank
