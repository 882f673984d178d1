#include "fault_soak.h"

#include <fmt/format.h>

#include <array>
#include <csignal>

namespace cranberryplank {

namespace {

constexpr int kDaemons = 3;
constexpr int kWorkers = 8;
constexpr std::string_view kPool = "pool";
constexpr Duration kWarmUp{2'500};
constexpr Duration kTick{10};
constexpr Duration kJobInterval{90};
/// Time between two drains, and from a drain until the worker ends. Only one worker drains at a
/// time.
constexpr Duration kDrainInterval{9'000};
constexpr Duration kDrainedEnd{8'000};
/// Time between two versions of the configuration, which rename the queue.
constexpr Duration kVersionInterval{5'000};
/// All jobs must reach their final state within this time after the last fault. It covers lease
/// expiry, a change of the schedule's owner and the run times several times over.
constexpr Duration kRecoveryBound{30'000};
/// Time between the end of a daemon's process and its restart.
constexpr Duration kRestartDelay{700};

}  // namespace

FaultSoak::FaultSoak(const SoakSettings& settings)
    : m_settings(settings),
      m_random(settings.seed),
      m_load_random(settings.seed + 1),
      m_planned_random(settings.seed + 4),
      m_drain_random(settings.seed + 5),
      m_store_random(settings.seed + 2),
      m_workers(settings.seed + 3),
      m_store(m_loop.base(), &m_store_random),
      m_worker_servers(m_loop.base(), &m_workers, &m_store) {}

bool FaultSoak::Run() {
  StartAll();
  m_start_time = Clock::now();
  m_next_fault = m_next_job = m_next_planned = m_next_drain = m_start_time + kWarmUp;
  m_next_version = m_next_fault;
  const TimePoint faults_end = m_start_time + kWarmUp + m_settings.duration;
  const auto run_until = [this](const std::function<bool(TimePoint)>& condition) {
    while (!condition(Clock::now())) {
      m_loop.RunFor(kTick);
      Tick(Clock::now());
    }
  };
  run_until([&](TimePoint now) { return now >= faults_end; });
  m_faults_ended = true;
  m_load->StopCancelling();
  Log(Clock::now(), "faults ended; waiting for jobs to finish");
  run_until([&](TimePoint now) {
    const bool resolved = m_actions.empty() && m_load->UnresolvedJobs().empty();
    return resolved || now >= faults_end + kRecoveryBound;
  });
  return Report();
}

void FaultSoak::StartAll() {
  const TimePoint now = Clock::now();
  m_workers.Advance(now);
  EmulatedCallers::Configure(&m_store, ++m_version, std::string(kPool));
  for (int i = 0; i < kWorkers; ++i) {
    const std::string id = fmt::format("worker-{}", i);
    m_workers.AddWorker(id, std::string(kPool), {8'000, 16'000, 0});
    m_worker_servers.Listen(id, {"127.0.0.1", NextPort()});
  }
  std::vector<Endpoint> callers;
  for (int i = 0; i < kDaemons; ++i) {
    const Endpoint store{"127.0.0.1", NextPort()};
    m_store.Listen(store);
    m_daemons.push_back(
        std::make_unique<DaemonProcess>(m_settings.daemon, m_settings.folder, i, store));
    m_daemons.back()->Start();
    callers.push_back(m_daemons.back()->callers());
  }
  m_restart_at.resize(m_daemons.size());
  m_load = std::make_unique<JobLoad>(m_loop.base(), &m_workers, &m_load_random, callers);
}

void FaultSoak::Tick(TimePoint now) {
  m_worker_servers.Tick(now);
  m_store.Tick(now);
  while (!m_actions.empty() && m_actions.begin()->first <= now) {
    const auto action = m_actions.begin()->second;
    m_actions.erase(m_actions.begin());
    action();
  }
  RestartStoppedDaemons(now);
  if (!m_faults_ended && now >= m_next_job) {
    m_next_job = now + kJobInterval;
    m_load->Submit(now);
  }
  if (!m_faults_ended && now >= m_next_fault) {
    m_next_fault = now + Duration(300 + m_random.Below(1'800));
    InjectFault(now);
  }
  if (!m_faults_ended && now >= m_next_version) {
    m_next_version = now + kVersionInterval;
    Log(now, "the queue gets another name");
    EmulatedCallers::Configure(&m_store, ++m_version, std::string(kPool));
  }
  if (!m_faults_ended && now >= m_next_planned) {
    m_next_planned = now + Duration(1'000 + m_planned_random.Below(5'000));
    DoPlannedWork(now);
  }
  if (!m_faults_ended && now >= m_next_drain) {
    m_next_drain = now + kDrainInterval;
    DrainWorker(now);
  }
  m_load->Tick(now);
}

void FaultSoak::InjectFault(TimePoint now) {
  switch (m_random.Below(5)) {
    case 0:
    case 1:
      InjectDaemonFault(now, m_random.Below(m_daemons.size()));
      return;
    case 2:
    case 3:
      InjectStoreFault(now);
      return;
    default:
      InjectWorkerFault(now);
  }
}

void FaultSoak::InjectDaemonFault(TimePoint now, std::size_t number) {
  DaemonProcess* daemon = m_daemons[number].get();
  switch (m_random.Below(4)) {
    case 0:
      Log(now, fmt::format("kill daemon-{}", number));
      Disrupt(number, SIGKILL);
      return;
    case 1:
      Log(now, fmt::format("terminate daemon-{}", number));
      daemon->Signal(SIGTERM);
      return;
    case 2: {
      const Duration pause{500 + m_random.Below(11'000)};
      Log(now, fmt::format("pause daemon-{} for {} ms", number, pause.count()));
      Disrupt(number, SIGSTOP);
      ScheduleAction(now + pause, [this, number] { Disrupt(number, SIGCONT); });
      return;
    }
    default:
      Log(now, "kill all daemons");
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        Disrupt(i, SIGKILL);
      }
  }
}

void FaultSoak::Disrupt(std::size_t number, int signal) {
  m_load->RecordDisruption(number);
  m_daemons[number]->Signal(signal);
}

void FaultSoak::DoPlannedWork(TimePoint now) {
  const std::size_t first = m_planned_random.Below(m_daemons.size());
  const std::uint64_t kind = m_planned_random.Below(3);
  const Duration interval{kind == 0 ? 500 + m_planned_random.Below(2'500)
                                    : m_planned_random.Below(2'000)};
  if (kind == 2) {
    Log(now, fmt::format("reload settings of daemon-{}", first));
    m_daemons[first]->TouchSettings();
    m_daemons[first]->Signal(SIGHUP);
    return;
  }
  const std::size_t count = kind == 0 ? m_daemons.size() : 2;
  Log(now, fmt::format("terminate {} daemons from daemon-{} on, one each {} ms", count, first,
                       interval.count()));
  for (std::size_t i = 0; i < count; ++i) {
    const DaemonProcess* daemon = m_daemons[(first + i) % m_daemons.size()].get();
    ScheduleAction(now + static_cast<int>(i) * interval, [daemon] { daemon->Signal(SIGTERM); });
  }
}

void FaultSoak::InjectStoreFault(TimePoint now) {
  constexpr std::array kFaults{StoreFault::kDown, StoreFault::kSilent, StoreFault::kSlow,
                               StoreFault::kLoseAnswers, StoreFault::kLateWrites};
  const std::size_t kind = m_random.Below(kFaults.size() + 1);
  if (kind == kFaults.size()) {
    Log(now, "store compacts its history");
    m_store.CompactHistory();
    return;
  }
  const Duration time{300 + m_random.Below(4'000)};
  const bool all_daemons = m_random.Below(2) == 0;
  const int target_daemon = static_cast<int>(m_random.Below(kDaemons));
  Log(now,
      fmt::format("store fault {} for {}, duration {} ms", kind,
                  all_daemons ? "all" : fmt::format("daemon-{}", target_daemon), time.count()));
  for (int i = 0; i < kDaemons; ++i) {
    if (all_daemons || i == target_daemon) {
      m_store.SetFault(i, kFaults[kind]);
      ScheduleAction(now + time, [this, i] { m_store.SetFault(i, StoreFault::kNone); });
    }
  }
}

void FaultSoak::InjectWorkerFault(TimePoint now) {
  const std::string id = fmt::format("worker-{}", m_random.Below(kWorkers));
  switch (m_random.Below(3)) {
    case 0:
      Log(now, fmt::format("{} crashes", id));
      if (!m_worker_servers.Restart(id)) {
        Log(now, fmt::format("{} cannot listen again", id));
      }
      return;
    case 1: {
      const Duration time{300 + m_random.Below(7'000)};
      Log(now, fmt::format("{} is unreachable for {} ms", id, time.count()));
      m_workers.workers().at(id).reachable = false;
      ScheduleAction(now + time, [this, id] { m_workers.workers().at(id).reachable = true; });
      return;
    }
    default: {
      const Duration time{1'000 + m_random.Below(3'000)};
      Log(now,
          fmt::format("worker orders are lost, delayed or unanswered for {} ms", time.count()));
      m_workers.SetFaults({0.05, 0.05, 0.05});
      ScheduleAction(now + time, [this] { m_workers.SetFaults({}); });
    }
  }
}

void FaultSoak::DrainWorker(TimePoint now) {
  WriteOddRegistration(now);
  const bool all_connections = m_drains++ % 2 == 0;
  Log(now, all_connections ? "all connections to the store go silent"
                           : "the watches that wait get no answer");
  for (int i = 0; i < kDaemons; ++i) {
    if (all_connections) {
      m_store.SilenceConnections(i);
    } else {
      m_store.LoseWatches(i);
    }
  }
  const std::string id = fmt::format("worker-{}", m_drain_random.Below(kWorkers));
  ScheduleAction(now + Duration(m_drain_random.Below(1'500)), [this, id] {
    Log(Clock::now(), fmt::format("{} drains", id));
    m_worker_servers.Drain(Clock::now(), id);
  });
  ScheduleAction(now + kDrainedEnd, [this, id] {
    Log(Clock::now(), fmt::format("{} ends after it has drained", id));
    if (!m_worker_servers.Restart(id)) {
      Log(Clock::now(), fmt::format("{} cannot listen again", id));
    }
  });
}

void FaultSoak::WriteOddRegistration(TimePoint now) {
  constexpr std::size_t kDepth = 20'000;
  const std::string start = R"({"service":"pool","state":"ready","addr":"127.0.0.1:)";
  const std::array<std::string, 4> odd{std::string(kDepth, '[') + std::string(kDepth, ']'),
                                       start + R"(70000","capacity":{"cpu":1000,"memMb":1000}})",
                                       start + R"(9","capacity":{"cpu":1e30,"memMb":1000}})",
                                       "\xff\xfe"};
  const std::size_t kind = m_drain_random.Below(odd.size());
  Log(now, fmt::format("odd registration {}", kind));
  m_store.Put(fmt::format("servers/odd-{}", kind), odd.at(kind));
}

void FaultSoak::ScheduleAction(TimePoint when, std::function<void()> action) {
  m_actions.emplace(when, std::move(action));
}

void FaultSoak::Log(TimePoint now, const std::string& text) const {
  fmt::print("{:8.3f} {}\n", std::chrono::duration<double>(now - m_start_time).count(), text);
}

void FaultSoak::RestartStoppedDaemons(TimePoint now) {
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    if (m_daemons[i]->Running()) {
      m_restart_at[i] = {};
    } else if (m_restart_at[i] == TimePoint{}) {
      m_restart_at[i] = now + kRestartDelay;
    } else if (now >= m_restart_at[i]) {
      m_daemons[i]->Start();
      m_restart_at[i] = {};
    }
  }
}

bool FaultSoak::Report() const {
  std::vector<std::string> failures = m_workers.violations();
  for (const std::string& text : m_worker_servers.violations()) {
    failures.push_back(text);
  }
  for (const std::string& text : m_load->Violations()) {
    failures.push_back(text);
  }
  for (const std::string& job : m_load->UnresolvedJobs()) {
    failures.push_back("not resolved in time: " + job);
  }
  fmt::print("seed {}: {} jobs, {} accepted, {} starts, {} calls, {} promises broken\n",
             m_settings.seed, m_load->jobs(), m_load->accepted(), m_workers.starts(),
             m_load->calls(), failures.size());
  for (const std::string& text : failures) {
    fmt::print("broken: {}\n", text);
  }
  return failures.empty();
}

}  // namespace cranberryplank
