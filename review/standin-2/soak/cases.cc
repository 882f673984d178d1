#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "cranberryplank/platform/http_status.h"
#include "stage.h"

// The cases of the second review. Each returns whether the rule held; `trouble` says whether the
// disruption happens, and the planned stop of a daemon that goes with it. TROUBLE=planned leaves
// out the disruption alone.

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr int kDaemonsOfStage = 3;
constexpr const char* kTenant = "tenant-1";
/// Longest disruptions of the kinds in the site file of onds-fes.
constexpr Duration kNodeCut{5'500};
constexpr Duration kDarkCrash{7'700};
constexpr Duration kMargin{100};

/// Fails if a disruption has lasted longer than the pages allow.
void ExpectWithin(TimePoint begun, Duration limit) {
  if (Clock::now() - begun > limit) {
    throw StageFailure("the disruption has lasted too long");
  }
}

json Route(const std::string& name, const std::string& service) {
  return {{"name", name},       {"host", "127.0.0.1"}, {"prefix", "/" + name + "/"},
          {"service", service}, {"priority", 0},       {"attempts", 4},
          {"stretch", 1.6},     {"sloMs", 600}};
}

json Config(int version, const json& routes, const std::vector<std::string>& services,
            std::int64_t cap_cpu) {
  json rows = json::array();
  for (const std::string& service : services) {
    rows.push_back({{"name", service}, {"admissionCheck", false}});
  }
  return {{"version", version},
          {"routes", routes},
          {"services", rows},
          {"tenants",
           {{{"name", kTenant},
             {"keys", {"key-of-the-tenant"}},
             {"weight", 100},
             {"cap", {{"cpu", cap_cpu}, {"memMb", 0}, {"gpu", 0}}}}}},
          {"limits", json::object()}};
}

json Step(int count, int cpu, int estimate_ms) {
  return {{"count", count}, {"cpu", cpu}, {"memMb", 256}, {"estMs", estimate_ms}};
}

json JobOf(const json& steps) { return {{"spec", "(text)"}, {"steps", steps}}; }

bool Disrupts() {
  const char* setting = std::getenv("TROUBLE");
  return setting == nullptr || std::string(setting) != "planned";
}

/// The owner of the schedule gets the signal, and another daemon takes over.
void SignalOwner(Stage* stage, int signal) {
  const int owner = stage->Owner();
  if (owner < 0) {
    throw StageFailure("no daemon acts as the owner");
  }
  stage->Signal(owner, signal);
}

/// A tenant is at its cap, a worker is cut off with the tenant's tasks, and the owner is stopped as
/// planned.
bool KeepsCap(Stage* stage, bool trouble) {
  constexpr std::int64_t kCap = 40'000;
  constexpr int kTaskCpu = 4'000;
  constexpr int kTasks = 10;
  for (int i = 0; i < 6; ++i) {
    stage->workers().Add(fmt::format("w{}", i), "cooppay", "a");
  }
  const std::string first = "00000000000000a1";
  const std::string second = "00000000000000a2";
  for (const std::string& job : {first, second}) {
    stage->workers().SetTask(job + ".0", {Duration(30'000), kTenant, kTaskCpu, "", 0});
  }
  stage->Configure(Config(1, json::array({Route("pay", "cooppay")}), {"cooppay"}, kCap));
  stage->StartDaemons(kDaemonsOfStage);
  stage->RunFor(Duration(1'500));
  stage->Submit(0, "/pay/" + first, JobOf(json::array({Step(kTasks, kTaskCpu, 30'000)})));
  stage->Expect([&] { return stage->workers().RunningCpu(kTenant) == kCap; }, Duration(5'000),
                "the first job does not run");
  stage->RunFor(Duration(1'000));
  int next = stage->OtherThan(stage->Owner());
  if (trouble) {
    const std::string busiest = stage->workers().WorkersOf(first + ".0.0.0").front();
    StageWorker* cut = stage->workers().Find(busiest);
    stage->Log(
        fmt::format("{} is cut off with {} runs, and runs on", busiest, cut->running.size()));
    cut->cut = Disrupts();
    stage->RunFor(Duration(100));
    SignalOwner(stage, SIGTERM);
    stage->RunFor(Duration(50));
  }
  stage->Submit(next, "/pay/" + second, JobOf(json::array({Step(kTasks, kTaskCpu, 30'000)})));
  std::int64_t most = 0;
  stage->RunUntil(
      [&] {
        most = std::max(most, stage->workers().RunningCpu(kTenant));
        return false;
      },
      Duration(4'000));
  // cap x (1 + quotaOver) and one task more, with quotaOver 0.1
  const std::int64_t allowed = kCap + kCap / 10 + kTaskCpu;
  stage->Log(fmt::format("the tenant had at most {} thousandths of a core running; allowed are {}",
                         most, allowed));
  return most <= allowed;
}

/// A queue's service changes twice, a worker is cut off, and the owner is stopped as planned.
bool RunsOnce(Stage* stage, bool trouble) {
  for (int i = 0; i < 6; ++i) {
    stage->workers().Add(fmt::format("a{}", i), "exportbell", "a");
    stage->workers().Add(fmt::format("b{}", i), "cooppay", "a");
  }
  const std::string job = "00000000000000b1";
  const std::string task = job + ".0.1.0";
  stage->workers().SetTask(job + ".0", {Duration(2'500), kTenant, 1'000, "", 0});
  stage->workers().SetTask(job + ".1", {Duration(15'000), kTenant, 1'000, "", 0});
  const std::vector<std::string> services{"exportbell", "cooppay"};
  const auto to = [&](int version, const std::string& service) {
    stage->Configure(Config(version, json::array({Route("pay", service)}), services, 0));
  };
  to(1, "exportbell");
  stage->StartDaemons(kDaemonsOfStage);
  stage->RunFor(Duration(1'500));
  json last = Step(1, 1'000, 15'000);
  last["after"] = {0};
  stage->Submit(0, "/pay/" + job, JobOf(json::array({Step(1, 1'000, 2'500), last})));
  stage->Expect([&] { return !stage->workers().WorkersOf(job + ".0.0.0").empty(); },
                Duration(3'000), "the first step does not run");
  to(3, "cooppay");
  stage->Expect([&] { return !stage->workers().WorkersOf(task).empty(); }, Duration(6'000),
                "the second step does not run");
  stage->RunFor(Duration(500));
  to(7, "exportbell");
  stage->RunFor(Duration(2'000));
  StageWorker* const worker = stage->workers().Find(stage->workers().WorkersOf(task).front());
  const TimePoint cut_at = Clock::now();
  if (trouble) {
    stage->Log(fmt::format("{} is cut off, and runs on", worker->id));
    worker->cut = Disrupts();
    stage->RunFor(Duration(100));
    SignalOwner(stage, SIGTERM);
  }
  bool twice = false;
  stage->RunUntil(
      [&] {
        twice = twice || stage->workers().WorkersOf(task).size() > 1;
        if (worker->cut && Clock::now() - cut_at >= kNodeCut - kMargin) {
          stage->Log(fmt::format("the cut of {} ends", worker->id));
          worker->cut = false;
        }
        return twice;
      },
      Duration(8'000));
  for (const std::string& where : stage->workers().WorkersOf(task)) {
    stage->Log(fmt::format("{} runs on {}", task, where));
  }
  return !twice;
}

/// Two routes are removed, one with a policy and one with four attempts, and the owner is stopped
/// as planned. The second route is added again later.
bool RunsAccepted(Stage* stage, bool trouble) {
  constexpr int kFirstStep = 10'000;
  for (int i = 0; i < 4; ++i) {
    stage->workers().Add(fmt::format("w{}", i), "cooppay", "a");
  }
  const std::string with_policy = "00000000000000c1";
  const std::string failing = "00000000000000c2";
  stage->workers().SetTask(with_policy + ".0",
                           {Duration(kFirstStep), kTenant, 1'000, "ticket-", 0});
  stage->workers().SetTask(with_policy + ".1", {Duration(1'000), kTenant, 1'000, "ticket-", 0});
  stage->workers().SetTask(failing + ".0", {Duration(kFirstStep), kTenant, 1'000, "", 0});
  stage->workers().SetTask(failing + ".1", {Duration(300), kTenant, 1'000, "", 3});
  json pay = Route("pay", "cooppay");
  pay["advice"] = {{"decideMs", 20}, {"eachMs", 1}, {"validMs", 20'000}};
  const json scan = Route("scan", "cooppay");
  const json calc = Route("calc", "cooppay");
  stage->Configure(Config(1, json::array({pay, scan, calc}), {"cooppay"}, 0));
  stage->StartDaemons(kDaemonsOfStage);
  stage->RunFor(Duration(1'500));
  json last = Step(1, 1'000, 1'000);
  last["after"] = {0};
  const json job = JobOf(json::array({Step(1, 1'000, kFirstStep), last}));
  stage->Submit(0, "/pay/" + with_policy, job);
  stage->Submit(0, "/scan/" + failing, job);
  const auto first_steps = [&] {
    return (stage->workers().WorkersOf(with_policy + ".0.0.0").empty() ? 0 : 1) +
           (stage->workers().WorkersOf(failing + ".0.0.0").empty() ? 0 : 1);
  };
  stage->Expect([&] { return first_steps() == 2; }, Duration(3'000), "the first steps do not run");
  stage->Configure(Config(4, json::array({calc}), {"cooppay"}, 0));
  stage->RunFor(Duration(2'500));
  if (trouble) {
    SignalOwner(stage, SIGTERM);
  }
  stage->Expect([&] { return first_steps() == 0; }, Duration(20'000), "the first steps do not end");
  const bool begun =
      stage->RunUntil([&] { return !stage->workers().WorkersOf(with_policy + ".0.1.0").empty(); },
                      Duration(15'000));
  stage->Log(fmt::format("the second step of {} {}; {} starts were refused", with_policy,
                         begun ? "has begun" : "has not begun in 15 s, with four workers idle",
                         stage->workers().refused_starts()));
  stage->Configure(Config(9, json::array({scan, calc}), {"cooppay"}, 0));
  stage->RunFor(Duration(2'500));
  const std::string state =
      stage->Call(1, HttpMethod::kGet, "/scan/" + failing).body.value("state", "");
  stage->Log(fmt::format("{} is shown as '{}' after {} failed runs; its queue has 4 attempts",
                         failing, state, stage->workers().FailedRuns(failing + ".0.1.0")));
  return begun && state != "failed";
}

/// The cloud carries an upkeep order out late, and the owner that sent it is stopped as planned.
bool KeepsWaveLimit(Stage* stage, bool trouble) {
  constexpr int kMachines = 8;
  constexpr int kMachinesOfWave = 4;
  const std::string busy_after = "00000000000000d1";
  json names = json::array();
  for (int i = 0; i < kMachines; ++i) {
    const std::string id = fmt::format("w{}", i);
    const std::string machine = fmt::format("m{}", i);
    stage->workers().Add(id, "cooppay", i == 0 ? "a" : "b", machine);
    stage->machines()[machine] = {"cooppay", "up", id};
    if (i < kMachinesOfWave) {
      names.push_back(machine);
    }
  }
  stage->workers().SetTask(busy_after + ".0", {Duration(20'000), kTenant, 1'000, "", 0});
  stage->Configure(Config(1, json::array({Route("pay", "cooppay")}), {"cooppay"}, 0));
  stage->StartDaemons(kDaemonsOfStage);
  stage->RunFor(Duration(4'500));
  if (trouble && Disrupts()) {
    stage->DelayNextUpkeep(Duration(4'500));
  }
  stage->PutOperatorItem("op/wave/1",
                         {{"wave", 1}, {"machines", names}, {"withinS", 26}, {"cap", 1}});
  if (trouble) {
    stage->Expect([&] { return !stage->late_orders().empty() || stage->upkeeps() > 0; },
                  Duration(5'000), "no upkeep is ordered");
    const int next = stage->OtherThan(stage->Owner());
    SignalOwner(stage, SIGTERM);
    stage->RunFor(Duration(50));
    json step = Step(1, 1'000, 20'000);
    step["requires"] = "a";
    stage->Submit(next, "/pay/" + busy_after, JobOf(json::array({step})));
  }
  stage->RunFor(Duration(20'000));
  stage->Log(fmt::format("when an upkeep began, at most {} machines of the wave were down, cap 1",
                         stage->most_down_at_begin()));
  return stage->most_down_at_begin() < 1;
}

/// The only worker with a label crashes when jobs that require it have just come.
bool CountsWaiting(Stage* stage, bool trouble) {
  constexpr int kJobs = 6;
  for (int i = 0; i < 7; ++i) {
    stage->workers().Add(fmt::format("w{}", i), "poincon", i == 0 ? "b" : "a");
  }
  stage->Configure(Config(1, json::array({Route("scan", "poincon")}), {"poincon"}, 0));
  stage->StartDaemons(kDaemonsOfStage);
  stage->RunFor(Duration(2'500));
  const int owner = stage->Owner();
  const TimePoint crashed_at = Clock::now();
  if (trouble) {
    stage->workers().Crash(stage->workers().Find("w0"));
  }
  std::vector<std::string> jobs;
  int accepted = 0;
  for (int i = 0; i < kJobs; ++i) {
    jobs.push_back(fmt::format("00000000000000e{}", i));
    stage->workers().SetTask(jobs.back() + ".0", {Duration(20'000), kTenant, 1'000, "", 0});
    json step = Step(1, 1'000, 20'000);
    step["requires"] = "b";
    stage->Send(stage->OtherThan(owner), HttpMethod::kPost, "/scan/" + jobs.back(),
                JobOf(json::array({step})).dump(), [&accepted](const StageAnswer& answer) {
                  accepted += answer.status == http_status::kOk ? 1 : 0;
                });
  }
  stage->Expect([&] { return accepted == kJobs; }, Duration(3'000), "the jobs are not accepted");
  // A job that was accepted over visible_ms + 2 s before and has not begun is to be counted.
  stage->RunFor(Duration(5'200));
  const auto not_begun = [&] {
    return std::count_if(jobs.begin(), jobs.end(),
                         [&](const std::string& job) { return !stage->workers().HasBegun(job); });
  };
  bool held = true;
  for (int i = 0; i < 2; ++i) {
    const auto before = not_begun();
    const StageAnswer answer = stage->Call(stage->OtherThan(owner), HttpMethod::kGet, "/scan/");
    if (answer.status != http_status::kOk || !answer.body.contains("waiting")) {
      throw StageFailure("the number of waiting jobs is not given");
    }
    const std::int64_t told = answer.body.at("waiting");
    stage->Log(fmt::format("waiting is given as {}; {} jobs have not begun", told, not_begun()));
    held = held && 2 * told >= std::min(before, not_begun());
    stage->RunFor(Duration(500));
  }
  if (trouble) {
    ExpectWithin(crashed_at, kDarkCrash);
  }
  return held;
}

/// The only worker with a label is cut off twice right after it has started a task. The run lapses
/// there; later the worker restarts behind the cut.
bool KeepsAttempts(Stage* stage, bool trouble) {
  for (int i = 0; i < 7; ++i) {
    stage->workers().Add(fmt::format("w{}", i), "cooppay", i == 0 ? "b" : "a");
  }
  const std::string job = "00000000000000f1";
  const std::string task = job + ".0.0.0";
  stage->workers().SetTask(job + ".0", {Duration(4'000), kTenant, 1'000, "", 0});
  stage->Configure(Config(1, json::array({Route("pay", "cooppay")}), {"cooppay"}, 0));
  stage->StartDaemons(kDaemonsOfStage);
  stage->RunFor(Duration(2'500));
  json step = Step(1, 1'000, 4'000);
  step["requires"] = "b";
  stage->Submit(0, "/pay/" + job, JobOf(json::array({step})));
  const auto runs = [&] { return !stage->workers().WorkersOf(task).empty(); };
  for (int i = 0; trouble && i < 2; ++i) {
    stage->Expect(runs, Duration(10'000), "the task does not run");
    stage->RunFor(Duration(100));
    StageWorker* worker = stage->workers().Find("w0");
    stage->Log("w0 is cut off, and runs on");
    const TimePoint cut_at = Clock::now();
    worker->cut = true;
    stage->Expect([&] { return !runs(); }, Duration(4'500), "the run does not lapse");
    stage->RunFor(Duration(800));
    stage->workers().RestartBehindCut(worker);
    stage->RunFor(Duration(500));
    ExpectWithin(cut_at, kNodeCut);
    stage->Log("the cut of w0 ends");
    worker->cut = false;
  }
  std::string state;
  stage->RunUntil(
      [&] {
        state = stage->Call(1, HttpMethod::kGet, "/pay/" + job).body.value("state", "");
        stage->RunFor(Duration(300));
        return state == "done" || state == "failed";
      },
      Duration(25'000));
  stage->Log(fmt::format("the job is shown as '{}'; no run of it has ended failed", state));
  return state != "failed";
}

struct StageCase {
  bool cloud = false;
  bool advice = false;
  std::function<bool(Stage*, bool)> run;
};

const std::map<std::string, StageCase>& Cases() {
  static const auto* const cases = new std::map<std::string, StageCase>{
      {"cap", {false, false, KeepsCap}},          {"twice", {false, false, RunsOnce}},
      {"lost", {false, true, RunsAccepted}},      {"wave", {true, false, KeepsWaveLimit}},
      {"waiting", {false, false, CountsWaiting}}, {"failed", {false, false, KeepsAttempts}},
  };
  return *cases;
}

int Play(const std::string& name, const std::string& root, const std::string& folder) {
  constexpr int kBroken = 1;
  constexpr int kCannotRun = 2;
  const auto found = Cases().find(name);
  if (found == Cases().end()) {
    fmt::print(stderr, "no such case: {}\n", name);
    return kCannotRun;
  }
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  try {
    Stage stage(root, folder, found->second.cloud, found->second.advice);
    stage.Log(fmt::format("case {}, trouble {}", name, trouble ? 1 : 0));
    const bool held = found->second.run(&stage, trouble);
    stage.Log(held ? "the rule held" : "the rule was broken");
    fmt::print("{}: {}\n", name, held ? "the rule held" : "the rule was broken");
    return held ? EXIT_SUCCESS : kBroken;
  } catch (const StageFailure& failure) {
    fmt::print("{}: the case could not run: {}\n", name, failure.what());
    return kCannotRun;
  }
}

}  // namespace

}  // namespace cranberryplank

int main(int count, char** words) {
  if (count != 4) {
    fmt::print(stderr, "usage: stage CASE REPOSITORY FOLDER\n");
    return 2;
  }
  return cranberryplank::Play(words[1], words[2], words[3]);
}
