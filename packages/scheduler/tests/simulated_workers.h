#ifndef CRANBERRYPLANK_SCHEDULER_TESTS_SIMULATED_WORKERS_H_
#define CRANBERRYPLANK_SCHEDULER_TESTS_SIMULATED_WORKERS_H_

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryplank/model/random.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// Probabilities of faults in the delivery of orders.
struct LinkFaults {
  double lost = 0;         ///< Never executed, no reply.
  double answer_lost = 0;  ///< Executed, no reply.
  double late = 0;         ///< Executed seconds later, no reply.
};

/// Number of ended runs that a worker lists at a time.
constexpr std::size_t kListedEndsLimit = 500;
/// The same for random tests, in which few runs end at the same time.
constexpr std::size_t kFewListedEnds = 2;

/// Longest lease that a worker grants.
constexpr Duration kLongestLease{6'000};

/// Time after which a caller gives up an order, beyond the wait that the order asks for.
constexpr Duration kAnswerTimeout{450};

/// Simulated workers in memory that follow the platform's rules: fences, leases on the worker's own
/// clock, and numbered ended runs that are listed until they are acknowledged. Every violated
/// guarantee is recorded.
class SimulatedWorkers {
 public:
  struct Run {
    int run = 0;
    Resources need;
    TimePoint ends{};
    bool fails = false;
    TimePoint began{};
  };

  /// A crash of a worker under a run.
  struct RunCrash {
    std::string worker;
    int run = 0;
    Duration after_start{0};
    bool outlived = false;  ///< An owner had received a list that shows that it outlived the start.
  };

  struct SimulatedWorker {
    WorkerInfo info;
    bool refuses = false;  ///< Whether its VM refuses connections while it is not up.
    bool up = true;        ///< False from a crash until the worker is back.
    bool registered = true;
    bool reachable = true;
    std::uint64_t fence = 0;
    TimePoint started_at{};
    std::int64_t deadline_ms = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, int> finished;  ///< Highest run stopped or ended, by task.
    std::vector<EndedRun> ends;
    std::uint64_t last_ended_number = 0;
    std::int64_t heard_clock_ms = 0;  ///< Newest clock in a list that an owner received.
  };

  explicit SimulatedWorkers(std::uint64_t seed) : m_random(seed) {}

  void AddWorker(const std::string& id, const std::string& pool, const Resources& capacity,
                 const std::string& vm = {}) {
    SimulatedWorker worker;
    worker.info.vm = vm;
    worker.info.id = id;
    worker.info.pool = pool;
    worker.info.capacity = capacity;
    worker.info.started_unix_ms = ++m_incarnations;
    worker.started_at = m_now;
    m_workers.emplace(id, worker);
  }

  /// Sets the resources, duration and failure rate of the tasks of a job. Required for every job.
  void SetTask(const std::string& job, const Resources& need, Duration time, double fail_share) {
    m_tasks[job] = {need, time, fail_share};
  }

  /// Makes a task crash each worker that starts it, the given time after the start.
  void SetDeadly(const std::string& task, Duration after_start = Duration(10)) {
    m_deadly[task].after_start = after_start;
  }
  /// Returns how many workers have crashed while they ran the deadly task.
  int Crashes(const std::string& task) const { return m_deadly.at(task).crashes; }

  /// Returns the crashes of workers under all runs, by task.
  const std::map<std::string, std::vector<RunCrash>>& run_crashes() const { return m_run_crashes; }
  /// Returns how many workers have crashed.
  int crashes() const { return m_crashes; }
  /// Records that an owner received a list.
  void RecordHeard(const std::string& id, std::int64_t clock_ms) {
    m_workers.at(id).heard_clock_ms = std::max(m_workers.at(id).heard_clock_ms, clock_ms);
  }

  /// Sets the receiver of changed and removed registrations.
  void OnRegistration(std::function<void(const SimulatedWorker&)> report) {
    m_report_registration = std::move(report);
  }
  /// Sets the share of crashed workers that come back under a new id.
  void SetNewIdShare(double share) { m_new_id_share = share; }

  /// A start that was sent before a change of the capacity is held to the larger of both.
  void SetCapacity(const std::string& id, const Resources& capacity) {
    m_workers.at(id).info.capacity = capacity;
    m_report_registration(m_workers.at(id));
  }
  void SetDraining(const std::string& id) {
    m_workers.at(id).info.draining = true;
    m_report_registration(m_workers.at(id));
  }

  /// Sets the least time from a crash until the worker is back.
  void SetRestartTime(Duration time) { m_restart_time = time; }
  /// Sets whether replies to starts carry the worker's clock.
  void SetClockInStartReplies(bool given) { m_clock_in_start_replies = given; }

  /// Sets how many ended runs a worker lists at a time.
  void SetListedEndsLimit(std::size_t limit) { m_listed_ends_limit = limit; }
  /// Sets the progress that all runs report; long-running tasks are ready at 100.
  void SetListedPercent(int percent) { m_listed_percent = percent; }
  void SetFaults(const LinkFaults& faults) { m_faults = faults; }
  std::map<std::string, SimulatedWorker>& workers() { return m_workers; }
  const std::vector<std::string>& violations() const { return m_violations; }
  std::uint64_t starts() const { return m_starts; }
  const std::set<std::string>& started_jobs() const { return m_started_jobs; }
  RandomSource& random() { return m_random; }

  /// Simulates a crash of the worker and its immediate restart with the same id.
  void Restart(const std::string& id) {
    SimulatedWorker& worker = m_workers.at(id);
    worker.runs.clear();
    worker.finished.clear();
    worker.ends.clear();
    worker.last_ended_number = worker.fence = 0;
    worker.deadline_ms = worker.heard_clock_ms = 0;
    worker.started_at = m_now;
    worker.info.started_unix_ms = ++m_incarnations;
  }

  /// Simulates a crash of the worker, which is back on its VM after some seconds under its old id
  /// or a new one.
  void Crash(const std::string& id) {
    SimulatedWorker& worker = m_workers.at(id);
    ++m_crashes;
    for (const auto& [task, run] : worker.runs) {
      const Duration age = std::chrono::duration_cast<Duration>(m_now - run.began);
      const std::int64_t outlived_ms = ClockMs(worker) - age.count() + kCrashWindow.count();
      m_run_crashes[task].push_back({id, run.run, age, worker.heard_clock_ms >= outlived_ms});
      if (const auto deadly = m_deadly.find(task); deadly != m_deadly.end()) {
        ++deadly->second.crashes;
      }
    }
    worker.runs.clear();
    worker.up = false;
    worker.refuses = m_random.Below(2) == 0;
    const Duration back = m_restart_time + Duration(m_random.Below(500));
    if (m_random.Fraction() >= m_new_id_share) {
      At(m_now + back, [this, id] { ComeBack(id); });
      return;
    }
    At(m_now + back, [this, id] { ComeBackUnderNewId(id); });
    At(m_now + kRegistrationLifetime, [this, id] {
      m_workers.at(id).registered = false;
      m_report_registration(m_workers.at(id));
    });
  }

  /// Executes due deliveries and ends due tasks and expired leases.
  void Advance(TimePoint now) {
    m_now = now;
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
      const auto action = m_queue.begin()->second;
      m_queue.erase(m_queue.begin());
      action();
    }
    for (auto& [id, worker] : m_workers) {
      EndRuns(&worker);
    }
  }

  /// Delivers an order with the configured faults.
  /// @param execute executes the order and returns the delivery of the reply
  /// @param no_answer reports that there is no reply
  void Deliver(const std::string& id, const std::function<std::function<void()>()>& execute,
               const std::function<void()>& no_answer, Duration timeout) {
    // Orders that are late by seconds do not reach a later incarnation of the worker. Whether the
    // platform's workers refuse them is an open question; docs/platform-design.md.
    const std::int64_t started_at = m_workers.at(id).info.started_unix_ms;
    const auto same_incarnation = [this, id, started_at] {
      return m_workers.at(id).info.started_unix_ms == started_at;
    };
    const auto up = [this, id] { return m_workers.at(id).up; };
    const bool reachable = m_workers.at(id).reachable;
    const double draw = m_random.Fraction();
    const TimePoint sent = m_now;
    const Duration latency{1 + static_cast<Duration::rep>(m_random.Below(4))};
    const auto silence = [this, id, sent, latency, timeout] {
      const SimulatedWorker& worker = m_workers.at(id);
      return worker.reachable && !worker.up && worker.refuses ? m_now + latency : sent + timeout;
    };
    if (!reachable || !up() || draw < m_faults.lost) {
      At(silence(), no_answer);
      return;
    }
    if (draw < m_faults.lost + m_faults.answer_lost + m_faults.late) {
      const bool late = draw >= m_faults.lost + m_faults.answer_lost;
      const Duration delay{2'000 + static_cast<Duration::rep>(m_random.Below(10'000))};
      At(sent + (late ? delay : latency), [late, up, same_incarnation, execute] {
        if (up() && (!late || same_incarnation())) {
          execute();
        }
      });
      At(sent + timeout, no_answer);
      return;
    }
    At(sent + latency, [this, up, execute, no_answer, silence, latency] {
      if (up()) {
        At(m_now + latency, execute());
      } else {
        At(silence(), no_answer);
      }
    });
  }

  /// Loses an order on its way.
  void Lose(const std::function<void()>& no_answer, Duration timeout) {
    At(m_now + timeout, no_answer);
  }

  /// Lets replies to lease renewals wait for an end, as the orders ask. By default they do not
  /// wait.
  void EnableWaits() { m_waits = true; }
  /// Returns how long the reply to a lease renewal may be delayed.
  Duration LongestWait(const LeaseRenewalOrder& order) const {
    return m_waits ? order.wait : Duration(0);
  }

  /// Reports the list of runs once it has an ended run or the order's wait is over. If the worker
  /// restarts or becomes unreachable meanwhile, the renewal stays unanswered until it times out.
  /// @param first the reply when the order was executed
  void WaitForEnd(const std::string& id, LeaseRenewalOrder order, const LeaseRenewalReply& first,
                  const std::function<void(const LeaseRenewalReply*)>& report) {
    const Duration wait = LongestWait(order);
    if (first.outcome != CallOutcome::kOk || !first.ended.empty() || wait <= Duration(0)) {
      report(&first);
      return;
    }
    order.acknowledged = 0;  // The order has been applied; only the list is still awaited.
    order.lease_until_ms.reset();
    PollForEnd(id, order, m_now + wait, first.started_unix_ms, report);
  }

  std::int64_t ClockMs(const SimulatedWorker& worker) const {
    return 1'000 + std::chrono::duration_cast<Duration>(m_now - worker.started_at).count();
  }

  /// @param capacity the worker's capacity when the order was sent
  OrderReply Start(const std::string& id, const StartOrder& order, const Resources& capacity) {
    const CallOutcome outcome = Execute(id, order, capacity);
    return {outcome, m_clock_in_start_replies ? ClockMs(m_workers.at(id)) : 0};
  }

  CallOutcome Execute(const std::string& id, const StartOrder& order, const Resources& capacity) {
    SimulatedWorker& worker = m_workers.at(id);
    EndRuns(&worker);
    if (order.fence < worker.fence) {
      return CallOutcome::kFenced;
    }
    worker.fence = order.fence;
    const std::string name = order.task.Name();
    Extend(&worker, order.lease_until_ms);
    const auto present = worker.runs.find(name);
    if (present != worker.runs.end()) {
      return present->second.run == order.run ? CallOutcome::kOk : CallOutcome::kStaleRun;
    }
    const auto finished = worker.finished.find(name);
    if (finished != worker.finished.end() && order.run <= finished->second) {
      return CallOutcome::kStaleRun;
    }
    if (order.lease_until_ms <= ClockMs(worker)) {
      return CallOutcome::kLate;
    }
    Begin(&worker, order, capacity);
    return CallOutcome::kOk;
  }

  CallOutcome Stop(const std::string& id, const StopOrder& order) {
    SimulatedWorker& worker = m_workers.at(id);
    if (order.fence < worker.fence) {
      return CallOutcome::kFenced;
    }
    worker.fence = order.fence;
    const auto present = worker.runs.find(order.task.Name());
    int& finished = worker.finished[order.task.Name()];
    finished = std::max(finished, order.run);
    if (present != worker.runs.end() && present->second.run <= order.run) {
      End(&worker, order.task.Name(), RunEndKind::kStopped);
    }
    return CallOutcome::kOk;
  }

  LeaseRenewalReply RenewLease(const std::string& id, const LeaseRenewalOrder& order) {
    SimulatedWorker& worker = m_workers.at(id);
    EndRuns(&worker);
    LeaseRenewalReply reply;
    reply.call = order.call;
    if (order.fence < worker.fence) {
      reply.outcome = CallOutcome::kFenced;
      return reply;
    }
    worker.fence = order.fence;
    if (order.lease_until_ms) {
      Extend(&worker, *order.lease_until_ms);
    }
    std::erase_if(worker.ends, [&](const EndedRun& end) {
      if (end.number > order.acknowledged) {
        return false;
      }
      if (end.kind == RunEndKind::kDone) {
        m_acknowledged_done.insert(end.task);
      }
      return true;
    });
    reply.outcome = CallOutcome::kOk;
    reply.clock_ms = ClockMs(worker);
    reply.started_unix_ms = worker.info.started_unix_ms;
    for (const auto& [name, run] : worker.runs) {
      ListedRun listed;
      listed.task = name;
      listed.run = run.run;
      listed.percent = m_listed_percent;
      reply.running.push_back(listed);
    }
    const std::size_t listed = std::min(worker.ends.size(), m_listed_ends_limit);
    reply.ended.assign(worker.ends.begin(),
                       worker.ends.begin() + static_cast<std::ptrdiff_t>(listed));
    reply.more_ended = listed == m_listed_ends_limit;
    return reply;
  }

 private:
  struct TaskKind {
    Resources need;
    Duration time{0};
    double fail_share = 0;
  };

  struct DeadlyTask {
    Duration after_start{0};
    int crashes = 0;
    int starts_after_third_crash = 0;
  };

  /// A worker that lists its runs later than this after a start has outlived it.
  static constexpr Duration kCrashWindow{200};
  /// Time from a crash until the registration of the old id is removed.
  static constexpr Duration kRegistrationLifetime{4'500};

  /// A lease is shortened to the longest one. It never gets shorter by an order.
  void Extend(SimulatedWorker* worker, std::int64_t deadline_ms) const {
    const std::int64_t latest_ms = ClockMs(*worker) + kLongestLease.count();
    worker->deadline_ms = std::max(worker->deadline_ms, std::min(deadline_ms, latest_ms));
  }

  void PollForEnd(const std::string& id, const LeaseRenewalOrder& order, TimePoint until,
                  std::int64_t started_unix_ms,
                  const std::function<void(const LeaseRenewalReply*)>& report) {
    constexpr Duration kPollInterval{10};
    const SimulatedWorker& worker = m_workers.at(id);
    if (!worker.up || !worker.reachable || worker.info.started_unix_ms != started_unix_ms) {
      At(until + kAnswerTimeout, [report] { report(nullptr); });
      return;
    }
    const LeaseRenewalReply reply = RenewLease(id, order);
    if (reply.outcome != CallOutcome::kOk || !reply.ended.empty() || m_now >= until) {
      report(&reply);
      return;
    }
    At(m_now + kPollInterval, [this, id, order, until, started_unix_ms, report] {
      PollForEnd(id, order, until, started_unix_ms, report);
    });
  }

  void ComeBack(const std::string& id) {
    Restart(id);
    m_workers.at(id).up = true;
    m_workers.at(id).info.draining = false;
    m_report_registration(m_workers.at(id));
  }

  void ComeBackUnderNewId(const std::string& old_id) {
    const WorkerInfo old = m_workers.at(old_id).info;
    const std::string id = fmt::format("{}-{}", old.vm, m_incarnations);
    AddWorker(id, old.pool, old.capacity, old.vm);
    m_report_registration(m_workers.at(id));
  }

  /// Records the start of a deadly task and schedules the crash.
  void BeginDeadly(const SimulatedWorker& worker, const StartOrder& order, DeadlyTask* deadly) {
    const std::string task = order.task.Name();
    if (deadly->crashes >= 3 && ++deadly->starts_after_third_crash == 3) {
      Violate(fmt::format("{} was started three times more after three workers crashed under it",
                          task));
    }
    At(m_now + deadly->after_start, [this, id = worker.info.id, task, run = order.run] {
      const auto& runs = m_workers.at(id).runs;
      if (const auto present = runs.find(task);
          present != runs.end() && present->second.run == run) {
        Crash(id);
      }
    });
  }

  void At(TimePoint when, std::function<void()> action) {
    m_queue.emplace(when, std::move(action));
  }

  void Violate(const std::string& text) { m_violations.push_back(text); }

  void Begin(SimulatedWorker* worker, const StartOrder& order,
             const Resources& capacity_when_sent) {
    const std::string name = order.task.Name();
    const TaskKind& kind = m_tasks.at(order.task.job);
    ++m_starts;
    m_started_jobs.insert(order.task.job);
    CheckOrder(order.task);
    Resources used = kind.need;
    for (const auto& [task, run] : worker->runs) {
      used += run.need;
    }
    if (!used.FitsIn(worker->info.capacity) && !used.FitsIn(capacity_when_sent)) {
      Violate(fmt::format("capacity exceeded by {} on {}", name, worker->info.id));
    }
    for (const auto& [id, other] : m_workers) {
      if (other.up && other.runs.contains(name)) {
        Violate(fmt::format("second run of {} on {}, also on {}", name, worker->info.id, id));
      }
    }
    if (m_acknowledged_done.contains(name)) {
      Violate(fmt::format("start after an acknowledged end: {} run {} on {} fence {}", name,
                          order.run, worker->info.id, order.fence));
    }
    worker->runs[name] = {order.run, kind.need, m_now + kind.time,
                          m_random.Fraction() < kind.fail_share, m_now};
    if (const auto deadly = m_deadly.find(name); deadly != m_deadly.end()) {
      BeginDeadly(*worker, order, &deadly->second);
    }
  }

  /// A step starts only after all tasks of the steps before it have succeeded. The steps of the
  /// tests' jobs run one after the other.
  void CheckOrder(const TaskId& task) {
    for (const std::string& earlier : m_unfinished) {
      const auto other = TaskId::Parse(earlier);
      if (other && other->job == task.job && other->occurrence == task.occurrence &&
          other->step < task.step) {
        Violate(fmt::format("start of {} before the end of {}", task.Name(), earlier));
      }
    }
    if (!m_ended_well.contains(task.Name())) {
      m_unfinished.insert(task.Name());
    }
  }

  void End(SimulatedWorker* worker, const std::string& task, RunEndKind kind) {
    if (kind == RunEndKind::kDone) {
      m_unfinished.erase(task);
      m_ended_well.insert(task);
    }
    const int run = worker->runs.at(task).run;
    worker->runs.erase(task);
    int& finished = worker->finished[task];
    finished = std::max(finished, run);
    worker->ends.push_back({++worker->last_ended_number, task, run, kind, ""});
  }

  void EndRuns(SimulatedWorker* worker) {
    std::vector<std::pair<std::string, RunEndKind>> ended;
    const bool lease_expired = ClockMs(*worker) >= worker->deadline_ms;
    for (const auto& [task, run] : worker->runs) {
      if (run.ends <= m_now) {
        ended.emplace_back(task, run.fails ? RunEndKind::kFailed : RunEndKind::kDone);
      } else if (lease_expired) {
        ended.emplace_back(task, RunEndKind::kLeaseExpired);
      }
    }
    for (const auto& [task, kind] : ended) {
      End(worker, task, kind);
    }
  }

  SeededRandom m_random;
  TimePoint m_now{};
  std::int64_t m_incarnations = 1'000'000;
  int m_listed_percent = 0;
  std::size_t m_listed_ends_limit = kListedEndsLimit;
  LinkFaults m_faults;
  std::map<std::string, SimulatedWorker> m_workers;
  std::function<void(const SimulatedWorker&)> m_report_registration;
  double m_new_id_share = 0;
  Duration m_restart_time{3'000};
  bool m_clock_in_start_replies = true;
  bool m_waits = false;
  std::map<std::string, TaskKind> m_tasks;
  std::map<std::string, DeadlyTask> m_deadly;
  std::map<std::string, std::vector<RunCrash>> m_run_crashes;  ///< By task.
  int m_crashes = 0;
  std::multimap<TimePoint, std::function<void()>> m_queue;
  std::set<std::string> m_acknowledged_done;
  std::set<std::string> m_unfinished;  ///< Tasks that were started and have not succeeded.
  std::set<std::string> m_ended_well;
  std::set<std::string> m_started_jobs;
  std::vector<std::string> m_violations;
  std::uint64_t m_starts = 0;
};

/// Link of one scheduler to the simulated workers. Replies are delivered only while the link
/// exists.
class SimulatedLink : public WorkerLink {
 public:
  explicit SimulatedLink(SimulatedWorkers* workers) : m_workers(workers) {}

  /// @param now current time of the scheduler's caller, passed with each reply
  void Connect(WorkerEvents* events, const TimePoint* now) {
    m_receiver = std::make_shared<Receiver>();
    m_receiver->events = events;
    m_now = now;
  }
  void Disconnect() { m_receiver.reset(); }
  /// Sets the workers that the owner cannot reach. Replies that are on their way still arrive.
  void CutOff(std::set<std::string> ids) { m_cut_off = std::move(ids); }

  /// Keeps arriving replies until `Release`, as for an owner that does not run.
  void Hold() { m_receiver->held = true; }
  void Release() {
    m_receiver->held = false;
    for (const auto& reply : std::exchange(m_receiver->replies, {})) {
      reply();
    }
  }

  void RenewLease(const WorkerInfo& worker, const LeaseRenewalOrder& order) override {
    const std::string id = worker.id;
    const auto report = [receiver = std::weak_ptr<Receiver>(m_receiver), workers = m_workers,
                         now = m_now, id, order](const LeaseRenewalReply* reply) {
      LeaseRenewalReply lost;
      lost.call = order.call;
      if (const auto target = receiver.lock()) {
        target->Receive([events = target->events, workers, now, id, answered = reply != nullptr,
                         received = reply == nullptr ? lost : *reply] {
          if (answered) {
            workers->RecordHeard(id, received.clock_ms);
          }
          events->OnLeaseRenewal(*now, id, received);
        });
      }
    };
    DeliverUnlessCutOff(
        id,
        [workers = m_workers, id, order, report]() -> std::function<void()> {
          const LeaseRenewalReply reply = workers->RenewLease(id, order);
          return [workers, id, order, report, reply] {
            workers->WaitForEnd(id, order, reply, report);
          };
        },
        [report] { report(nullptr); }, m_workers->LongestWait(order) + kAnswerTimeout);
  }
  void Start(const WorkerInfo& worker, const StartOrder& order) override {
    const std::string id = worker.id;
    Send(
        id,
        [workers = m_workers, id, order, capacity = m_workers->workers().at(id).info.capacity] {
          return workers->Start(id, order, capacity);
        },
        [id, order](WorkerEvents* events, TimePoint now, const OrderReply* reply) {
          events->OnStart(now, id, order, reply ? *reply : OrderReply{});
        });
  }
  void Stop(const WorkerInfo& worker, const StopOrder& order) override {
    const std::string id = worker.id;
    Send(
        id, [workers = m_workers, id, order] { return workers->Stop(id, order); },
        [id, order](WorkerEvents* events, TimePoint now, const CallOutcome* outcome) {
          events->OnStop(now, id, order, {outcome ? *outcome : CallOutcome::kUnknown, 0});
        });
  }
  void Throttle(const WorkerInfo&, const ThrottleOrder&) override {}
  void Advise(const AdviceOrder&) override {}

 private:
  struct Receiver {
    WorkerEvents* events = nullptr;
    bool held = false;
    std::vector<std::function<void()>> replies;  ///< Arrived while held.

    void Receive(std::function<void()> reply) {
      if (held) {
        replies.push_back(std::move(reply));
      } else {
        reply();
      }
    }
  };

  void DeliverUnlessCutOff(const std::string& id,
                           const std::function<std::function<void()>()>& execute,
                           const std::function<void()>& no_answer, Duration timeout) {
    if (m_cut_off.contains(id)) {
      m_workers->Lose(no_answer, timeout);
    } else {
      m_workers->Deliver(id, execute, no_answer, timeout);
    }
  }

  template <typename Execute, typename Report>
  void Send(const std::string& id, Execute execute, Report report) {
    const std::weak_ptr<Receiver> receiver = m_receiver;
    const TimePoint* now = m_now;
    DeliverUnlessCutOff(
        id,
        [execute, report, receiver, now]() -> std::function<void()> {
          const auto result = execute();
          return [result, report, receiver, now] {
            if (const auto target = receiver.lock()) {
              target->Receive([result, report, events = target->events, now] {
                report(events, *now, &result);
              });
            }
          };
        },
        [report, receiver, now] {
          if (const auto target = receiver.lock()) {
            target->Receive(
                [report, events = target->events, now] { report(events, *now, nullptr); });
          }
        },
        kAnswerTimeout);
  }

  SimulatedWorkers* m_workers;
  std::shared_ptr<Receiver> m_receiver;
  const TimePoint* m_now = nullptr;
  std::set<std::string> m_cut_off;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_TESTS_SIMULATED_WORKERS_H_
