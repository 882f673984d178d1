#ifndef CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_FLEET_H_
#define CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_FLEET_H_

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/platform/store.h"
#include "cranberryplank/platform/vm_directory.h"
#include "cranberryplank/platform/worker_client.h"
#include "cranberryplank/support/event_queue.h"
#include "cranberryplank/support/key_table.h"

namespace cranberryplank {

/// Thrown when a check of a simulated run fails.
struct Violation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Event queue that calls `after_event` after every event.
class SimulatedClock : public EventQueue {
 public:
  Duration Elapsed() const { return std::chrono::duration_cast<Duration>(Now() - TimePoint{}); }
  std::uint64_t events() const { return m_event_count; }

  void After(Duration delay, std::function<void()> action) {
    Schedule(Now() + delay, [this, action = std::move(action)](TimePoint) {
      ++m_event_count;
      action();
      if (after_event) {
        after_event();
      }
    });
  }

  std::function<void()> after_event;

 private:
  std::uint64_t m_event_count = 0;
};

/// A daemon's process and its network state. Answers to a paused process wait until it resumes;
/// those to a killed one are dropped.
struct DaemonProcess {
  std::string id;
  std::string incarnation;
  bool alive = true;
  bool paused = false;
  bool store_partitioned = false;  ///< Partitioned from the store.
  bool peers_partitioned = false;  ///< Partitioned from the other daemons.
  std::vector<std::function<void()>> deferred{};

  void Deliver(std::function<void()> action) {
    if (!alive) {
      return;
    }
    if (paused) {
      deferred.push_back(std::move(action));
      return;
    }
    action();
  }

  void Resume() {
    paused = false;
    for (const auto& action : std::exchange(deferred, {})) {
      Deliver(action);
    }
  }
};

/// The store's content and faults.
struct SimulatedStore {
  SimulatedClock* clock;
  RandomSource* random;
  KeyTable table{};
  bool down = false;
  Duration latency{4};
  int lost_percent = 0;     ///< Writes that take effect while the answer is lost.
  int late_percent = 0;     ///< Writes reported unknown that take effect seconds later, if at all.
  int replies_to_lose = 0;  ///< Number of next writes whose answers are lost.
  /// Called before each change is applied, with the time at which it was sent.
  std::function<void(std::string_view key, const std::string& before, const std::string& after,
                     TimePoint sent)>
      on_write{};

  Duration Delay() {
    return Duration(1 + static_cast<Duration::rep>(
                            random->Below(static_cast<std::uint64_t>(latency.count()) * 2)));
  }

  bool Apply(std::string_view key, std::string_view text, std::uint64_t index, TimePoint sent) {
    const KeyEntry entry = table.Get(key);
    if (entry.index == index && on_write) {
      on_write(key, entry.value, std::string(text), sent);
    }
    return table.CompareAndSwap(key, text, index);
  }
};

/// One process's access to the store.
class SimulatedStoreClient : public Store {
 public:
  SimulatedStoreClient(SimulatedStore* store, DaemonProcess* process)
      : m_store(store), m_process(process) {}

  void Read(std::string_view key, ReadCallback done) override {
    m_store->clock->After(m_store->Delay(), [this, key = std::string(key), done] {
      StoreReadReply reply;
      if (Reachable()) {
        const KeyEntry entry = m_store->table.Get(key);
        reply = {StoreStatus::kOk, entry.found, entry.value, entry.index, entry.watch_index, ""};
      }
      Answer([this, done, reply] { done(m_store->clock->Now(), reply); });
    });
  }

  void Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
             ReadCallback done) override {
    if (m_store->table.Get(key).watch_index != watch_index || wait <= kWatchStep || !Reachable()) {
      Read(key, std::move(done));
      return;
    }
    m_store->clock->After(kWatchStep, [this, key = std::string(key), watch_index, wait, done] {
      Watch(key, watch_index, wait - kWatchStep, done);
    });
  }

  void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                      WriteCallback done) override {
    const TimePoint sent = m_store->clock->Now();
    m_store->clock->After(m_store->Delay(), [this, key = std::string(key),
                                             value = std::string(value), index, done, sent] {
      StoreWriteReply reply;
      const auto draw = static_cast<int>(m_store->random->Below(100));
      const bool late = draw < m_store->late_percent;
      const bool lost = !late && (draw < m_store->late_percent + m_store->lost_percent ||
                                  m_store->replies_to_lose > 0);
      if (Reachable() && late) {
        m_store->clock->After(
            Duration(m_store->random->Below(8'000)),
            [this, key, value, index, sent] { m_store->Apply(key, value, index, sent); });
      } else if (Reachable()) {
        reply.status =
            m_store->Apply(key, value, index, sent) ? StoreStatus::kOk : StoreStatus::kConflict;
        if (lost) {
          m_store->replies_to_lose = std::max(0, m_store->replies_to_lose - 1);
          reply.status = StoreStatus::kUnknown;
        }
      }
      Answer([this, done, reply] { done(m_store->clock->Now(), reply); });
    });
  }

 private:
  static constexpr Duration kWatchStep{100};

  bool Reachable() const { return !m_store->down && !m_process->store_partitioned; }
  void Answer(std::function<void()> action) {
    m_store->clock->After(m_store->Delay(),
                          [this, action = std::move(action)] { m_process->Deliver(action); });
  }

  SimulatedStore* m_store;
  DaemonProcess* m_process;
};

/// The newest head, its history and the revisions that each process has applied. Stands in for the
/// membership and configuration classes, with the same rules for freshness and for changes in
/// effect.
struct SimulatedHead {
  static constexpr Duration kFresh{2'000};
  static constexpr Duration kMargin{500};

  struct Revision {
    Head head;
    Fleet fleet;
    std::set<std::string> acknowledged;
    /// First time at which at least half of the daemons had acknowledged the revision. Half
    /// suffices, because a daemon confirms an older head only with more than half of the daemons.
    std::optional<TimePoint> majority_at;
  };

  SimulatedClock* clock;
  SimulatedStore* store;
  std::vector<Revision> revisions{Revision{}};  ///< Index is the revision.
  std::function<void(const Fleet& before, const Fleet& after)> on_change{};

  std::set<std::string> missing{};  ///< Incarnations that the VM list reports as missing.

  Revision& newest() { return revisions.back(); }
  const Revision& newest() const { return revisions.back(); }

  /// Records a change; the edit may change the fleet and the registered daemons.
  std::uint64_t Record(const std::function<void(Revision*)>& edit) {
    Revision next{newest().head, newest().fleet, {}, {}};
    edit(&next);
    next.head.revision = next.fleet.revision = revisions.size();
    if (next.head.daemons != newest().head.daemons) {
      next.head.registration_revision = next.head.revision;
    }
    if (on_change) {
      on_change(newest().fleet, next.fleet);
    }
    revisions.push_back(std::move(next));
    return revisions.size() - 1;
  }

  void Acknowledge(std::uint64_t revision, const std::string& incarnation) {
    for (std::uint64_t i = revision; i > 0; --i) {
      if (!revisions[i].acknowledged.insert(incarnation).second) {
        break;
      }
      CheckMajority(i);
    }
  }

  void ReportMissing(const std::string& incarnation) {
    missing.insert(incarnation);
    for (std::uint64_t i = 1; i < revisions.size(); ++i) {
      CheckMajority(i);
    }
  }

  /// Sets `majority_at` once half of the daemons have acknowledged `revision`.
  void CheckMajority(std::uint64_t revision) {
    const auto enough = [&](std::uint64_t set) {
      const int size = static_cast<int>(revisions[set].head.daemons.size());
      return CountAcknowledged(revision, set) * 2 >= size;
    };
    if (!revisions[revision].majority_at && enough(revision) && enough(revision - 1)) {
      revisions[revision].majority_at = clock->Now();
    }
  }

  /// Counts the daemons that acknowledged `revision` or are missing.
  /// @param set revision of the head whose registered daemons are counted
  int CountAcknowledged(std::uint64_t revision, std::uint64_t set) const {
    const auto& daemons = revisions[set].head.daemons;
    return static_cast<int>(std::count_if(daemons.begin(), daemons.end(), [&](const auto& item) {
      return revisions[revision].acknowledged.contains(item.incarnation) ||
             missing.contains(item.incarnation);
    }));
  }

  bool InEffect(std::uint64_t revision, TimePoint now) const {
    if (revision == 0) {
      return true;
    }
    const Revision& entry = revisions[revision];
    // Daemons that have not applied the last registration change still use the previous set of
    // daemons.
    const std::uint64_t registration = entry.head.registration_revision;
    if (!entry.majority_at || (registration < revision && !InEffect(registration, now))) {
      return false;
    }
    const auto all = [&](std::uint64_t set) {
      return CountAcknowledged(revision, set) ==
             static_cast<int>(revisions[set].head.daemons.size());
    };
    return now - *entry.majority_at >= kFresh + kMargin || (all(revision) && all(revision - 1));
  }
};

/// One process's view of the head.
class SimulatedHeadControl : public HeadControl {
 public:
  SimulatedHeadControl(SimulatedHead* shared, DaemonProcess* process)
      : m_shared(shared), m_process(process) {}

  const Head& head() const override { return m_shared->revisions[m_applied].head; }
  const Fleet& fleet() const override { return m_shared->revisions[m_applied].fleet; }
  std::string_view incarnation() const override { return m_process->incarnation; }
  std::uint64_t applied() const { return m_applied; }

  std::optional<TimePoint> FreshUntil(TimePoint now, std::string* last_reason) const override {
    if (head().FindIncarnation(m_process->incarnation) == nullptr || !m_confirmed ||
        *m_confirmed + SimulatedHead::kFresh < now) {
      *last_reason = "not fresh";
      return std::nullopt;
    }
    return *m_confirmed + SimulatedHead::kFresh;
  }

  void Submit(TimePoint, std::string_view, FleetEdit edit, ChangeCallback done) override {
    SimulatedStore* store = m_shared->store;
    store->clock->After(store->Delay(), [this, store, edit, done] {
      ChangeResult result;
      result.reason = "store unavailable";
      if (!store->down && !m_process->store_partitioned && m_process->alive) {
        const std::optional<Fleet> fleet = edit(m_shared->newest().fleet, &result.reason);
        result.outcome = fleet ? ChangeOutcome::kRecorded : ChangeOutcome::kRejected;
        if (fleet) {
          result.revision = m_shared->Record([&](auto* next) { next->fleet = *fleet; });
        }
      }
      // HeadWriter must first find out the outcome of such a write; simulated by a delay.
      const bool lost = store->replies_to_lose > 0 && result.outcome == ChangeOutcome::kRecorded;
      store->replies_to_lose -= lost ? 1 : 0;
      store->clock->After(store->Delay() + Duration(lost ? 2'000 : 0), [this, done, result] {
        m_process->Deliver([this, done, result] { done(m_shared->clock->Now(), result); });
      });
    });
  }

  EffectStatus StatusOf(std::uint64_t revision, TimePoint now) const override {
    return EffectStatus{m_shared->InEffect(revision, now), {}};
  }

  bool MayStillDispatch(std::string_view other, TimePoint now) const override {
    if (head().FindIncarnation(other) != nullptr) {
      return true;
    }
    for (std::uint64_t i = m_applied; i > 0; --i) {
      if (m_shared->revisions[i - 1].head.FindIncarnation(other) != nullptr) {
        return !m_shared->InEffect(i, now);
      }
    }
    return false;
  }

  /// Applies `revision` as confirmed to be the newest at `now`.
  void Confirm(TimePoint now, std::uint64_t revision) {
    m_confirmed = now;
    if (revision > m_applied) {
      m_applied = revision;
      m_shared->Acknowledge(revision, m_process->incarnation);
      m_changed.emit(now);
    }
  }

 private:
  SimulatedHead* m_shared;
  DaemonProcess* m_process;
  std::uint64_t m_applied = 0;
  std::optional<TimePoint> m_confirmed;
};

/// Workers and the VM list.
struct SimulatedWorkers {
  struct Task {
    std::string team;
    std::string pool;
    std::uint64_t number = 0;
  };
  struct Worker {
    std::string vm;
    int boot = 1;
    bool up = true;
    bool draining = false;
    bool lost = false;  ///< Taken down by a fault, not by a reboot.
    std::optional<TimePoint> down_since;
    std::map<std::uint64_t, Task> tasks;

    std::string BootId() const { return fmt::format("{}-boot-{}", vm, boot); }
  };

  SimulatedClock* clock;
  RandomSource* random;
  std::map<std::string, Worker, std::less<>> workers{};  ///< By host, which is the VM's id here.
  std::optional<std::vector<VmListing>> stale_list{};    ///< Set while the VM list is frozen.
  std::vector<VmListing> last_listings{};
  std::uint64_t list_index = 1;
  Duration reboot_time{5'000};
  std::uint64_t next_task = 0;
  std::function<void(const Worker&)> on_drain{};
  std::function<void(const Worker&)> on_reboot{};
  std::function<void(const Worker&, const Task&)> on_start{};

  Duration Delay() { return Duration(1 + static_cast<Duration::rep>(random->Below(20))); }

  std::vector<VmListing> Listings() const {
    std::vector<VmListing> listings;
    for (const auto& [id, worker] : workers) {
      if (worker.up) {
        listings.push_back(VmListing{id, false});
      }
    }
    return listings;
  }

  /// Returns an index that increases when `listings` differ from those of the previous call.
  std::uint64_t ListIndex(const std::vector<VmListing>& listings) {
    if (listings != last_listings) {
      last_listings = listings;
      ++list_index;
    }
    return list_index;
  }

  void TakeDown(Worker* worker, bool lost) {
    worker->up = false;
    worker->lost = lost;
    worker->draining = false;
    worker->down_since = worker->down_since.value_or(clock->Now());
    worker->tasks.clear();
  }

  void BringUp(Worker* worker) {
    ++worker->boot;
    worker->up = true;
    worker->lost = false;
    worker->down_since.reset();
  }

  /// Starts a task unless the worker refuses. `ended` runs when it ends, is refused or its worker
  /// is found to be down. `certain` is false if the worker was down or went down, so the
  /// outcome is unknown.
  void Start(const std::string& host, const Task& task, std::string_view boot_id,
             TimePoint start_by, Duration run, const std::function<void(bool certain)>& ended) {
    clock->After(Delay(), [=, this, boot = std::string(boot_id)] {
      Worker& worker = workers[host];
      if (!worker.up) {
        ended(false);
        return;
      }
      if (worker.draining || worker.BootId() != boot || clock->Now() > start_by) {
        ended(true);
        return;
      }
      const std::uint64_t number = ++next_task;
      worker.tasks[number] = task;
      if (on_start) {
        on_start(worker, task);
      }
      clock->After(run, [=, this] {
        const bool finished = workers[host].tasks.erase(number) > 0;
        ended(finished);
      });
    });
  }
};

/// One process's access to the workers and to the VM list.
class SimulatedWorkerClient : public WorkerClient, public VmDirectory {
 public:
  SimulatedWorkerClient(SimulatedWorkers* shared, DaemonProcess* process)
      : m_shared(shared), m_process(process) {}

  void GetStatus(const WorkerAddress& address, StatusCallback done) override {
    Call(address, [this, done](SimulatedWorkers::Worker* worker) -> std::function<void()> {
      std::optional<WorkerStatus> status;
      if (worker != nullptr) {
        status = WorkerStatus{worker->BootId(), m_shared->clock->Elapsed(), 4,
                              static_cast<int>(worker->tasks.size()), worker->draining};
      }
      return [this, done, status] { done(m_shared->clock->Now(), status, "no answer"); };
    });
  }

  void Start(const WorkerAddress&, const TaskStart&, Duration, TaskCallback) override {}
  void GetTask(const WorkerAddress&, std::string_view, ReportCallback) override {}
  void Checkpoint(const WorkerAddress&, std::string_view, DoneCallback) override {}

  void SetDraining(const WorkerAddress& address, bool drain, DoneCallback done) override {
    Call(address, [this, drain, done](SimulatedWorkers::Worker* worker) {
      if (worker != nullptr) {
        worker->draining = drain;
        if (drain && m_shared->on_drain) {
          m_shared->on_drain(*worker);
        }
      }
      return Done(done, worker != nullptr);
    });
  }

  void Reboot(const WorkerAddress& address, std::string_view boot_id, DoneCallback done) override {
    Call(address, [this, boot = std::string(boot_id), done](SimulatedWorkers::Worker* worker) {
      const bool ok = worker != nullptr && worker->tasks.empty() && worker->BootId() == boot;
      if (ok) {
        if (m_shared->on_reboot) {
          m_shared->on_reboot(*worker);
        }
        m_shared->TakeDown(worker, false);
        m_shared->clock->After(m_shared->reboot_time, [this, worker] {
          if (!worker->up && !worker->lost) {
            m_shared->BringUp(worker);
          }
        });
      }
      return Done(done, ok);
    });
  }

  void List(std::string_view, ListCallback done) override {
    m_shared->clock->After(m_shared->Delay(), [this, done] {
      const std::vector<VmListing> listings =
          m_shared->stale_list ? *m_shared->stale_list : m_shared->Listings();
      m_process->Deliver([this, done, list = VmList{listings, m_shared->ListIndex(listings)}] {
        done(m_shared->clock->Now(), list, "");
      });
    });
  }

  /// Returns the current index without waiting, since no reader is ticked in this simulation.
  void WatchIndex(std::string_view, std::uint64_t, Duration, IndexCallback done) override {
    m_shared->clock->After(m_shared->Delay(), [this, done] {
      const std::uint64_t index =
          m_shared->ListIndex(m_shared->stale_list ? *m_shared->stale_list : m_shared->Listings());
      m_process->Deliver([this, done, index] { done(m_shared->clock->Now(), index, ""); });
    });
  }

 private:
  using Action = std::function<std::function<void()>(SimulatedWorkers::Worker*)>;

  /// Runs `action` at the worker, or with nullptr if it is down, and delivers what it returns.
  void Call(const WorkerAddress& address, const Action& action) {
    m_shared->clock->After(m_shared->Delay(), [this, host = address.host, action] {
      SimulatedWorkers::Worker& worker = m_shared->workers[host];
      std::function<void()> answer = action(worker.up ? &worker : nullptr);
      m_shared->clock->After(m_shared->Delay(),
                             [this, answer = std::move(answer)] { m_process->Deliver(answer); });
    });
  }

  std::function<void()> Done(const DoneCallback& done, bool ok) {
    return [this, done, ok] { done(m_shared->clock->Now(), ok, ok ? "" : "failed"); };
  }

  SimulatedWorkers* m_shared;
  DaemonProcess* m_process;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_TESTS_SIMULATED_FLEET_H_
