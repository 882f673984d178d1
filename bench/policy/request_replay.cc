#include "request_replay.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>

#include "cranberryplank/policy/capacity_estimator.h"
#include "cranberryplank/policy/max_min_share_allocator.h"
#include "cranberryplank/policy/retry_budget.h"
#include "cranberryplank/policy/run_time_estimator.h"
#include "cranberryplank/policy/waiting_queue.h"

namespace cranberryplank::bench {

namespace {

constexpr double kTickSeconds = 0.005;
constexpr int kTicksPerSecond = 200;
// Ticks between two demand reports of a daemon.
constexpr int kTicksPerReport = 40;
constexpr double kWindowSeconds = 10.0;
// Time after which a run fails on a faulty worker.
constexpr double kFailureSeconds = 0.005;
constexpr double kCountedAfterFaultSeconds = 10.0;
// Seconds for the head changes and the worker check of a move, in addition to the drain.
constexpr double kMoveOverheadSeconds = 2.0;
constexpr int kPlacementAttempts = 3;

TimePoint At(double seconds) {
  return TimePoint(std::chrono::nanoseconds(std::llround(seconds * 1e9)));
}

Duration ToDuration(double seconds) { return Duration(std::llround(seconds * 1e3)); }

enum class Outcome { kOpen, kInTime, kLate, kRefused, kCancelled };

struct Worker {
  Vm vm;
  std::vector<int> running = std::vector<int>(kDaemons);
  bool fails = false;
  double serves_at = -1;  // Set during a move once the drain has finished.

  int Running() const {
    int sum = 0;
    for (const int count : running) {
      sum += count;
    }
    return sum;
  }
};

struct Finish {
  double time = 0;
  std::size_t request = 0;
  std::size_t daemon = 0;
  std::size_t worker = 0;
  bool failed = false;
  bool operator>(const Finish& other) const { return time > other.time; }
};

struct Counts {
  int running = 0;
  int waiting = 0;
};

struct SimDaemon {
  std::string name;
  std::string zone;
  std::unique_ptr<ShareAllocator> share;
  WaitingQueue waiting;
  WorkerHealth health;
  RunTimeEstimator estimator;
  RetryBudget retries;
  std::vector<std::vector<int>> running;    // By pool and team.
  std::vector<std::vector<Counts>> report;  // By pool and team, as last reported.
  std::vector<int> running_elsewhere;       // By worker: tasks of other daemons, as last reported.
  std::vector<double> idle_since;           // By pool; negative while no slot appears free.
};

struct Window {
  double elapsed = 0;
  std::vector<double> running;
  std::vector<double> fair;
};

class Replay {
 public:
  Replay(const Deployment& deployment, const std::vector<LoadRequest>& load,
         const ReplayPolicies& policies, const ReplayFaults& faults, std::uint64_t seed)
      : m_deployment(deployment),
        m_load(load),
        m_faults(faults),
        m_placement(policies.placement),
        m_planner(policies.moves()),
        m_random(seed),
        m_outcomes(load.size(), Outcome::kOpen),
        m_excluded(load.size()) {
    for (const auto& [name, pool] : deployment.fleet.pools) {
      m_pools.push_back(pool);
    }
    for (const QueueShape& shape : deployment.queues) {
      const auto pool = std::find_if(m_pools.begin(), m_pools.end(),
                                     [&](const Pool& p) { return p.name == shape.pool; });
      m_pool_of_queue.push_back(static_cast<std::size_t>(pool - m_pools.begin()));
    }
    for (const auto& [id, vm] : deployment.fleet.vms) {
      m_workers.push_back(Worker{vm});
    }
    m_queues_of_pool.resize(m_pools.size());
    for (std::size_t q = 0; q < m_pool_of_queue.size(); ++q) {
      m_queues_of_pool[m_pool_of_queue[q]].push_back(deployment.queues[q].queue);
    }
    m_lost.resize(m_pools.size());
    m_windows.resize(m_pools.size());
    m_running.resize(m_pools.size(), std::vector<int>(deployment.teams.size()));
    m_waiting = m_running;
    for (std::size_t d = 0; d < kDaemons; ++d) {
      SimDaemon& daemon = *m_daemons.emplace_back(std::make_unique<SimDaemon>());
      daemon.name = fmt::format("entry-{}", d + 1);
      daemon.zone = deployment.zones[d % deployment.zones.size()];
      daemon.share = policies.share(daemon.name);
      daemon.running = m_running;
      daemon.report.assign(m_pools.size(), std::vector<Counts>(deployment.teams.size()));
      daemon.running_elsewhere.resize(m_workers.size());
      daemon.idle_since.resize(m_pools.size(), -1);
    }
  }

  ReplayResult Run() {
    const double end = m_load.back().arrival + 1;
    for (std::int64_t tick = 0; static_cast<double>(tick) * kTickSeconds < end; ++tick) {
      m_seconds = static_cast<double>(tick) * kTickSeconds;
      m_now = At(m_seconds);
      if (!m_faulted && m_faults.at_seconds > 0 && m_seconds >= m_faults.at_seconds) {
        InjectFaults();
      }
      FinishRuns();
      Arrivals();
      for (std::size_t d = 0; d < kDaemons; ++d) {
        if (tick % kTicksPerReport == static_cast<std::int64_t>(d * kTicksPerReport / kDaemons)) {
          ExchangeDemand(d);
        }
        Expire(d);
      }
      if (tick % kTicksPerSecond == 0) {
        PlanMoves();
      }
      AdvanceMoves();
      Dispatch();
      MeasureShares();
    }
    return Summarise();
  }

 private:
  std::size_t PoolOf(std::size_t request) const { return m_pool_of_queue[m_load[request].queue]; }

  const std::string& TeamName(std::size_t team) const { return m_deployment.teams[team].team; }

  const std::string& QueueName(std::size_t request) const {
    return m_deployment.queues[m_load[request].queue].queue;
  }

  double Deadline(std::size_t request) const {
    return m_load[request].arrival +
           DeadlineSeconds(m_deployment.queues[m_load[request].queue], m_load[request].run);
  }

  double Estimate(const SimDaemon& daemon, std::size_t request) const {
    const LoadRequest& load = m_load[request];
    const double declared = m_faults.misdeclared_run_time ? load.misdeclared_run_time : load.run;
    const RunTimeEstimate estimate =
        daemon.estimator.Estimate(TeamName(load.team), QueueName(request), ToDuration(declared));
    return std::chrono::duration<double>(estimate.mean).count();
  }

  void Close(std::size_t request, Outcome outcome) {
    m_outcomes[request] = outcome;
    if (outcome == Outcome::kRefused || outcome == Outcome::kLate) {
      ++m_lost[PoolOf(request)];
    }
  }

  void Enqueue(std::size_t d, std::size_t request) {
    SimDaemon& daemon = *m_daemons[d];
    const LoadRequest& load = m_load[request];
    WaitingRequest waiting;
    waiting.task_id = std::to_string(request);
    waiting.queue = QueueName(request);
    waiting.team = TeamName(load.team);
    // Requests that cannot complete before their deadline are not started.
    waiting.deadline = At(Deadline(request) - Estimate(daemon, request));
    waiting.enqueued = At(load.arrival);
    const int bound = m_deployment.fleet.queues.at(waiting.queue).max_waiting;
    if (daemon.waiting.Push(m_now, std::move(waiting), bound) != PushResult::kQueued) {
      Close(request, Outcome::kRefused);
      return;
    }
    ++m_waiting[PoolOf(request)][load.team];
  }

  void LeaveQueue(std::size_t request) { --m_waiting[PoolOf(request)][m_load[request].team]; }

  int TeamRunning(std::size_t team) const {
    int sum = 0;
    for (const std::vector<int>& pool : m_running) {
      sum += pool[team];
    }
    return sum;
  }

  // The slot ledger is not part of the policies, so it is simulated as an exact count.
  bool HasLimitSlot(std::size_t team) const {
    return TeamRunning(team) < m_deployment.fleet.teams.at(TeamName(team)).contract.upper_limit;
  }

  std::vector<WorkerView> WorkerViews(std::size_t d, std::size_t pool) const {
    std::vector<WorkerView> views;
    for (std::size_t w = 0; w < m_workers.size(); ++w) {
      const Worker& worker = m_workers[w];
      if (worker.vm.pool == m_pools[pool].name) {
        views.push_back(
            WorkerView{&worker.vm, worker.running[d] + m_daemons[d]->running_elsewhere[w], false});
      }
    }
    return views;
  }

  FreeCapacity FreeCapacityOf(std::size_t d, std::size_t pool,
                              const std::vector<WorkerView>& views) {
    SimDaemon& daemon = *m_daemons[d];
    FreeCapacity free;
    free.slots = CapacityEstimator::Estimate(m_now, m_pools[pool].name, views, daemon.health).free;
    double& since = daemon.idle_since[pool];
    if (free.slots <= 0) {
      since = -1;
    } else if (since < 0) {
      since = m_seconds;
    }
    free.idle_for = ToDuration(since < 0 ? 0 : m_seconds - since);
    return free;
  }

  LocalTeam LocalTeamOf(std::size_t d, std::size_t pool, std::size_t team) const {
    const SimDaemon& daemon = *m_daemons[d];
    const std::vector<std::string>& queues = m_queues_of_pool[pool];
    LocalTeam local;
    local.team = TeamName(team);
    local.running = daemon.running[pool][team];
    local.waiting = daemon.waiting.Waiting(queues, local.team);
    local.may_start = HasLimitSlot(team);
    local.oldest = daemon.waiting.Oldest(queues, local.team).value_or(m_now);
    return local;
  }

  void Arrivals() {
    for (; m_next < m_load.size() && m_load[m_next].arrival <= m_seconds; ++m_next) {
      const LoadRequest& load = m_load[m_next];
      const std::size_t pool = PoolOf(m_next);
      SimDaemon& daemon = *m_daemons[load.daemon];
      daemon.retries.RecordFirstAttempt(TeamName(load.team));
      const RouteChoice route = daemon.share->Route(
          m_now, m_pools[pool].name, LocalTeamOf(load.daemon, pool, load.team),
          FreeCapacityOf(load.daemon, pool, WorkerViews(load.daemon, pool)), {});
      std::size_t target = load.daemon;
      if (route.forward) {
        ++m_result.forwarded;
        for (std::size_t d = 0; d < kDaemons; ++d) {
          target = m_daemons[d]->name == route.daemon ? d : target;
        }
      }
      Enqueue(target, m_next);
    }
  }

  void ExchangeDemand(std::size_t d) {
    SimDaemon& daemon = *m_daemons[d];
    const auto rotation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Duration>(m_now.time_since_epoch()) / kRotationPeriod);
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
      for (std::size_t team = 0; team < m_deployment.teams.size(); ++team) {
        const LocalTeam local = LocalTeamOf(d, pool, team);
        daemon.report[pool][team] = Counts{local.running, local.waiting};
      }
    }
    for (const auto& other : m_daemons) {
      if (other.get() != &daemon) {
        for (const std::string& vm : daemon.health.SuspectVms(m_now)) {
          other->health.RecordPeerSuspicion(m_now, vm);
        }
      }
    }
    for (std::size_t w = 0; w < m_workers.size(); ++w) {
      daemon.running_elsewhere[w] = m_workers[w].Running() - m_workers[w].running[d];
    }
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
      daemon.share->Update(m_now, rotation, m_pools[pool].name, DemandOf(d, pool));
    }
  }

  PoolDemand DemandOf(std::size_t d, std::size_t pool) const {
    PoolDemand demand;
    demand.capacity = CapacityEstimator::Estimate(m_now, m_pools[pool].name, WorkerViews(d, pool),
                                                  m_daemons[d]->health)
                          .usable;
    for (std::size_t team = 0; team < m_deployment.teams.size(); ++team) {
      const Contract& contract = m_deployment.fleet.teams.at(TeamName(team)).contract;
      const int elsewhere = TeamRunning(team) - m_running[pool][team];
      demand.teams.push_back(TeamShare{TeamName(team), contract.share_weight,
                                       std::max(0, contract.upper_limit - elsewhere)});
      for (const auto& daemon : m_daemons) {
        const Counts& counts = daemon->report[pool][team];
        demand.demand.push_back(
            DaemonDemand{daemon->name, TeamName(team), counts.running, counts.waiting});
      }
    }
    for (const auto& daemon : m_daemons) {
      demand.daemons.push_back(daemon->name);
    }
    return demand;
  }

  void Expire(std::size_t d) {
    for (const WaitingRequest& expired : m_daemons[d]->waiting.TakeExpired(m_now)) {
      const std::size_t request = std::stoul(expired.task_id);
      LeaveQueue(request);
      Close(request, Outcome::kRefused);
    }
  }

  // Daemons take turns in random order, one start each, until none can start a request.
  void Dispatch() {
    std::vector<std::size_t> order(kDaemons);
    for (std::size_t d = 0; d < kDaemons; ++d) {
      order[d] = d;
    }
    for (std::size_t i = kDaemons; i > 1; --i) {
      std::swap(order[i - 1], order[m_random.Below(i)]);
    }
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
      bool started = true;
      while (started) {
        started = false;
        for (const std::size_t d : order) {
          started = StartOne(d, pool) || started;
        }
      }
    }
  }

  bool StartOne(std::size_t d, std::size_t pool) {
    SimDaemon& daemon = *m_daemons[d];
    const std::vector<std::string>& queues = m_queues_of_pool[pool];
    if (std::all_of(queues.begin(), queues.end(),
                    [&](const std::string& queue) { return daemon.waiting.Waiting(queue) == 0; })) {
      daemon.idle_since[pool] = -1;
      return false;
    }
    const std::vector<WorkerView> views = WorkerViews(d, pool);
    const FreeCapacity free = FreeCapacityOf(d, pool, views);
    std::vector<LocalTeam> teams;
    for (std::size_t team = 0; team < m_deployment.teams.size(); ++team) {
      teams.push_back(LocalTeamOf(d, pool, team));
    }
    const auto choice = daemon.share->NextTeam(m_now, m_pools[pool].name, free, teams);
    if (!choice) {
      return false;
    }
    const WaitingRequest* next = daemon.waiting.Peek(m_now, queues, choice->team);
    if (next == nullptr) {
      return false;
    }
    const std::size_t request = std::stoul(next->task_id);
    const std::optional<std::size_t> worker = Place(d, pool, request, views);
    if (!worker) {
      return false;
    }
    daemon.waiting.Take(next->task_id);
    LeaveQueue(request);
    Start(d, pool, request, *worker);
    return true;
  }

  std::optional<std::size_t> Place(std::size_t d, std::size_t pool, std::size_t request,
                                   std::vector<WorkerView> views) {
    SimDaemon& daemon = *m_daemons[d];
    std::vector<std::string> excluded = m_excluded[request];
    for (int attempt = 0; attempt < kPlacementAttempts; ++attempt) {
      PlacementRequest placement;
      placement.pool = m_pools[pool].name;
      placement.zone = daemon.zone;
      placement.may_probe =
          m_load[request].idempotent && daemon.retries.CanTake(TeamName(m_load[request].team));
      placement.excluded = excluded;
      const auto choice = m_placement->Choose(m_now, placement, views, daemon.health, m_random);
      if (!choice) {
        return std::nullopt;
      }
      const auto found = std::find_if(m_workers.begin(), m_workers.end(),
                                      [&](const Worker& w) { return w.vm.id == choice->vm; });
      const auto index = static_cast<std::size_t>(found - m_workers.begin());
      if (found->Running() < found->vm.slots) {
        if (choice->probe) {
          daemon.health.BeginProbe(m_now, choice->vm);
        }
        return index;
      }
      // The worker refuses the task as busy, and the daemon updates its view from the refusal.
      daemon.running_elsewhere[index] = found->Running() - found->running[d];
      excluded.push_back(choice->vm);
    }
    return std::nullopt;
  }

  void Start(std::size_t d, std::size_t pool, std::size_t request, std::size_t worker) {
    const LoadRequest& load = m_load[request];
    const bool fails = m_workers[worker].fails;
    ++m_workers[worker].running[d];
    ++m_daemons[d]->running[pool][load.team];
    ++m_running[pool][load.team];
    m_finishes.push(
        Finish{m_seconds + (fails ? kFailureSeconds : load.run), request, d, worker, fails});
  }

  void FinishRuns() {
    while (!m_finishes.empty() && m_finishes.top().time <= m_seconds) {
      const Finish finish = m_finishes.top();
      m_finishes.pop();
      SimDaemon& daemon = *m_daemons[finish.daemon];
      Worker& worker = m_workers[finish.worker];
      const LoadRequest& load = m_load[finish.request];
      const std::size_t pool = PoolOf(finish.request);
      --worker.running[finish.daemon];
      --daemon.running[pool][load.team];
      --m_running[pool][load.team];
      const JobRun run{worker.vm.id, worker.vm.rack, std::to_string(finish.request),
                       QueueName(finish.request) + "/" + TeamName(load.team)};
      if (finish.failed) {
        Fail(finish, run);
        continue;
      }
      daemon.health.RecordSuccess(m_now, run);
      daemon.estimator.Record(TeamName(load.team), QueueName(finish.request), ToDuration(load.run));
      const bool late = finish.time > Deadline(finish.request);
      Close(finish.request, late ? Outcome::kLate : Outcome::kInTime);
    }
  }

  void Fail(const Finish& finish, const JobRun& run) {
    SimDaemon& daemon = *m_daemons[finish.daemon];
    const LoadRequest& load = m_load[finish.request];
    const FailureEffect effect =
        daemon.health.RecordFailure(m_now, run, ToDuration(Estimate(daemon, finish.request)));
    m_excluded[finish.request].push_back(run.vm);
    if (effect == FailureEffect::kFaultyJob || !load.idempotent ||
        !daemon.retries.TryTake(TeamName(load.team))) {
      Close(finish.request, Outcome::kRefused);
      return;
    }
    Enqueue(finish.daemon, finish.request);
  }

  void InjectFaults() {
    m_faulted = true;
    const auto failing = static_cast<std::size_t>(
        std::ceil(m_faults.failing_workers * static_cast<double>(m_workers.size())));
    for (std::size_t i = 0; i < failing; ++i) {
      // Spreads the faulty workers over racks and pools.
      m_workers[(i * m_workers.size() / failing + i) % m_workers.size()].fails = true;
    }
    for (std::size_t request = 0; request < m_next; ++request) {
      if (m_outcomes[request] != Outcome::kOpen || m_random.Fraction() >= m_faults.cancelled) {
        continue;
      }
      for (const auto& daemon : m_daemons) {
        if (daemon->waiting.Take(std::to_string(request))) {
          LeaveQueue(request);
          Close(request, Outcome::kCancelled);
        }
      }
    }
  }

  // A worker is out of service if at least one daemon quarantines it and a majority suspects it,
  // having seen no success since its failures. Requiring a majority of quarantines would keep
  // counting the worker as capacity in a pool with little load.
  bool OutOfService(const Worker& worker) const {
    std::size_t quarantines = 0;
    std::size_t suspicions = 0;
    for (const auto& daemon : m_daemons) {
      quarantines += daemon->health.Quarantined(worker.vm.id) ? 1 : 0;
      suspicions += daemon->health.Suspect(m_now, worker.vm.id) ? 1 : 0;
    }
    return quarantines > 0 && 2 * suspicions > kDaemons;
  }

  void PlanMoves() {
    std::vector<PoolLoad> loads;
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
      PoolLoad load;
      load.pool = m_pools[pool];
      for (std::size_t team = 0; team < m_deployment.teams.size(); ++team) {
        load.running += m_running[pool][team];
        load.waiting += m_waiting[pool][team];
      }
      load.lost = m_lost[pool];
      for (std::size_t q = 0; q < m_pool_of_queue.size(); ++q) {
        if (m_pool_of_queue[q] == pool) {
          const QueueShape& shape = m_deployment.queues[q];
          load.run_time = ToDuration(shape.run_seconds);
          load.allowed_wait = ToDuration(shape.wait_seconds);
        }
      }
      for (const Worker& worker : m_workers) {
        if (worker.vm.pool == m_pools[pool].name) {
          load.vms.push_back(MovableVm{
              worker.vm.id, worker.vm.zone, worker.vm.rack, worker.vm.slots, worker.Running(),
              worker.vm.state == VmState::kServing && !OutOfService(worker),
              worker.vm.target_pool});
        }
      }
      loads.push_back(std::move(load));
    }
    for (const PlannedMove& move : m_planner->Plan(m_now, loads)) {
      for (Worker& worker : m_workers) {
        if (worker.vm.id == move.vm) {
          worker.vm.state = VmState::kDraining;
          worker.vm.target_pool = move.to;
          worker.serves_at = -1;
          ++m_result.moves;
        }
      }
    }
  }

  void AdvanceMoves() {
    for (Worker& worker : m_workers) {
      if (worker.vm.state == VmState::kDraining && worker.Running() == 0) {
        worker.vm.state = VmState::kEmpty;
        worker.serves_at = m_seconds + kMoveOverheadSeconds;
      }
      if (worker.vm.state == VmState::kEmpty && m_seconds >= worker.serves_at) {
        worker.vm.state = VmState::kServing;
        worker.vm.pool = worker.vm.target_pool;
        worker.vm.target_pool.clear();
      }
    }
  }

  void MeasureShares() {
    for (std::size_t pool = 0; pool < m_pools.size(); ++pool) {
      int capacity = 0;
      for (const Worker& worker : m_workers) {
        if (worker.vm.pool == m_pools[pool].name && worker.vm.state == VmState::kServing) {
          capacity += worker.vm.slots;
        }
      }
      std::vector<TeamShare> shares;
      std::vector<double> demand;
      double usable = 0;
      for (std::size_t team = 0; team < m_deployment.teams.size(); ++team) {
        const Contract& contract = m_deployment.fleet.teams.at(TeamName(team)).contract;
        const int elsewhere = TeamRunning(team) - m_running[pool][team];
        shares.push_back(TeamShare{TeamName(team), contract.share_weight,
                                   std::max(0, contract.upper_limit - elsewhere)});
        demand.push_back(m_running[pool][team] + m_waiting[pool][team]);
        usable += std::min<double>(demand.back(), shares.back().limit);
      }
      Window& window = m_windows[pool];
      if (capacity == 0 || usable < capacity) {
        window = Window{};
        continue;
      }
      AccumulateWindow(pool, capacity, WeightedMaxMin(capacity, shares, demand), &window);
    }
  }

  void AccumulateWindow(std::size_t pool, int capacity, const std::vector<double>& fair,
                        Window* window) {
    window->running.resize(fair.size());
    window->fair.resize(fair.size());
    for (std::size_t team = 0; team < fair.size(); ++team) {
      window->running[team] += m_running[pool][team] * kTickSeconds / capacity;
      window->fair[team] += fair[team] * kTickSeconds / capacity;
    }
    window->elapsed += kTickSeconds;
    if (window->elapsed < kWindowSeconds - kTickSeconds / 2) {
      return;
    }
    for (std::size_t team = 0; team < fair.size(); ++team) {
      m_result.share_deviation +=
          std::abs(window->running[team] - window->fair[team]) / kWindowSeconds;
      m_result.busy += window->running[team] / kWindowSeconds;
    }
    ++m_result.windows;
    *window = Window{};
  }

  ReplayResult Summarise() {
    if (m_result.windows > 0) {
      m_result.share_deviation /= m_result.windows;
      m_result.busy /= m_result.windows;
    }
    for (std::size_t request = 0; request < m_next; ++request) {
      const Outcome outcome = m_outcomes[request];
      m_result.in_time += outcome == Outcome::kInTime ? 1 : 0;
      if (outcome == Outcome::kOpen ||
          m_load[request].arrival < m_faults.at_seconds + kCountedAfterFaultSeconds) {
        continue;
      }
      ++m_result.counted;
      m_result.refused_or_late += outcome == Outcome::kRefused || outcome == Outcome::kLate ? 1 : 0;
    }
    for (const Worker& worker : m_workers) {
      m_result.quarantined += OutOfService(worker) ? 1 : 0;
    }
    return m_result;
  }

  const Deployment& m_deployment;
  const std::vector<LoadRequest>& m_load;
  ReplayFaults m_faults;
  std::shared_ptr<PlacementPolicy> m_placement;
  std::unique_ptr<MovePlanner> m_planner;
  SeededRandom m_random;
  std::vector<Pool> m_pools;
  std::vector<std::size_t> m_pool_of_queue;
  std::vector<std::vector<std::string>> m_queues_of_pool;
  std::vector<Worker> m_workers;
  std::vector<std::unique_ptr<SimDaemon>> m_daemons;
  std::priority_queue<Finish, std::vector<Finish>, std::greater<>> m_finishes;
  std::vector<Outcome> m_outcomes;
  std::vector<std::vector<std::string>> m_excluded;  // By request: workers on which it failed.
  std::vector<std::vector<int>> m_running;           // By pool and team.
  std::vector<std::vector<int>> m_waiting;
  std::vector<std::uint64_t> m_lost;  // By pool.
  std::vector<Window> m_windows;      // By pool.
  ReplayResult m_result;
  std::size_t m_next = 0;
  double m_seconds = 0;
  TimePoint m_now;
  bool m_faulted = false;
};

}  // namespace

std::vector<LoadRequest> DrawLoad(const Deployment& deployment, double seconds,
                                  std::uint64_t seed) {
  const PeakSchedule schedule(deployment, seconds, kDaySeconds, seed);
  SeededRandom random(seed + 1);
  // Callers reuse connections, so each team's requests are spread unevenly over the daemons.
  std::vector<std::vector<double>> affinity;
  for (std::size_t team = 0; team < deployment.teams.size(); ++team) {
    std::vector<double>& weights = affinity.emplace_back();
    for (std::size_t d = 0; d < kDaemons; ++d) {
      weights.push_back(0.3 + 1.4 * random.Fraction());
    }
  }
  const auto pick = [&](const auto& items, auto weight_of) {
    double sum = 0;
    for (const auto& item : items) {
      sum += weight_of(item);
    }
    double left = random.Fraction() * sum;
    std::size_t index = 0;
    while (index + 1 < items.size() && left >= weight_of(items[index])) {
      left -= weight_of(items[index++]);
    }
    return index;
  };
  constexpr double kIdempotentFraction = 0.7;
  std::vector<LoadRequest> requests;
  for (std::size_t queue = 0; queue < deployment.queues.size(); ++queue) {
    const double run = deployment.queues[queue].run_seconds;
    // Thins a Poisson process whose rate exceeds the schedule's maximum.
    constexpr double kMaxSlots = 400;
    double at = 0;
    while ((at += DrawExponential(run / kMaxSlots, random)) < seconds) {
      if (random.Fraction() * kMaxSlots >= schedule.Load(queue, at)) {
        continue;
      }
      LoadRequest request;
      request.queue = queue;
      request.team = pick(deployment.teams, [](const TeamShape& team) { return team.traffic; });
      request.daemon = pick(affinity[request.team], [](double weight) { return weight; });
      request.arrival = at;
      request.run = DrawRunSeconds(run, random);
      request.misdeclared_run_time = request.run * std::pow(10.0, 2 * random.Fraction() - 1);
      request.idempotent = random.Fraction() < kIdempotentFraction;
      requests.push_back(request);
    }
  }
  std::sort(requests.begin(), requests.end(),
            [](const LoadRequest& a, const LoadRequest& b) { return a.arrival < b.arrival; });
  return requests;
}

ReplayResult ReplayRequests(const Deployment& deployment, const std::vector<LoadRequest>& load,
                            const ReplayPolicies& policies, const ReplayFaults& faults,
                            std::uint64_t seed) {
  return Replay(deployment, load, policies, faults, seed).Run();
}

}  // namespace cranberryplank::bench
