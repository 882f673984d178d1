#ifndef CRANBERRYPLANK_SCHEDULER_WORKER_LINK_H_
#define CRANBERRYPLANK_SCHEDULER_WORKER_LINK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/jobs/job.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// A start that is sent may reach the worker this much later.
constexpr Duration kStartDelivery{600};

/// Registration of a worker.
struct WorkerInfo {
  std::string id;
  std::string pool;
  std::string host;
  std::uint16_t port = 0;
  std::string zone;
  std::string vm;                   ///< VM that the worker runs on; empty if it reports none.
  std::string rack;                 ///< Empty if the worker reports none.
  std::vector<std::string> labels;  ///< The worker's kind and its rack.
  Resources capacity;
  bool draining = false;
  std::int64_t remaining_ms = -1;    ///< While draining: the least time left; -1 if not given.
  std::int64_t started_unix_ms = 0;  ///< Start of this incarnation of the worker.
};

/// Outcome of a call to a worker.
enum class CallOutcome {
  kOk,
  kFenced,     ///< The worker has received a higher fence.
  kStaleRun,   ///< A run with the same or a higher number was stopped or has ended there.
  kLate,       ///< The deadline had passed on the worker's clock.
  kNoRoom,     ///< The worker checks its capacity, and the task did not fit.
  kBadTicket,  ///< The ticket is missing or has expired.
  kUnhealthy,  ///< The worker is unhealthy and did not execute the order.
  kBadRequest,
  kWrongWorker,  ///< Another incarnation of the worker answered.
  kNotSent,      ///< No byte of the order was written.
  kUnknown,      ///< No complete reply; the order may have been executed or may still be.
};

/// Returns whether the order certainly had no effect and never will have any.
bool HadNoEffect(CallOutcome outcome);

std::string_view ToString(CallOutcome outcome);

/// A task that a worker lists as present.
struct ListedRun {
  std::string task;
  int run = 0;
  std::string saved;
  int percent = 0;         ///< Progress; a long-running task is ready at 100.
  std::int64_t usage = 0;  ///< Tail latency in ms if the task serves, else thousandths of a core.
};

enum class RunEndKind {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,    ///< The lease expired.
  kGangBroken,      ///< Another member of the gang ended.
  kGangIncomplete,  ///< The other members of the gang did not start in time.
};

std::string_view ToString(RunEndKind kind);

/// An ended run, which the worker lists until it is acknowledged.
struct EndedRun {
  std::uint64_t number = 0;
  std::string task;
  int run = 0;
  RunEndKind kind = RunEndKind::kFailed;
  std::string saved;
};

/// Renews the lease of all runs on a worker and requests the list of its runs.
struct LeaseRenewalOrder {
  std::uint64_t call = 0;  ///< Identifies the call in the reply.
  std::uint64_t fence = 0;
  std::optional<std::int64_t> lease_until_ms;  ///< On the worker's clock.
  std::uint64_t acknowledged = 0;  ///< The worker may drop ended runs up to this number.
  Duration wait{0};                ///< The worker may delay its reply this long until a run ends.
  TimePoint not_after{};           ///< The sender's authority ends then; not sent later.
};

struct LeaseRenewalReply {
  std::uint64_t call = 0;
  CallOutcome outcome = CallOutcome::kUnknown;
  std::int64_t clock_ms = 0;         ///< The worker's steady clock.
  std::int64_t started_unix_ms = 0;  ///< 0 if not given.
  std::vector<ListedRun> running;    ///< All runs that are present.
  std::vector<EndedRun> ended;       ///< Those that are not acknowledged, lowest numbers first.
  /// `ended` may leave out further ended runs. The worker lists them once those in `ended` are
  /// acknowledged.
  bool more_ended = false;
};

/// Starts one run of a task.
struct StartOrder {
  TaskId task;
  int run = 0;
  std::string payload;
  std::int64_t lease_until_ms = 0;  ///< On the worker's clock.
  std::uint64_t fence = 0;
  std::string saved;
  std::string ticket;
  TimePoint not_after{};  ///< Not sent later: the sender's authority ends, or what it knows is old.
};

struct StopOrder {
  TaskId task;
  int run = 0;
  std::uint64_t fence = 0;
  TimePoint not_after{};  ///< The sender's authority ends then; not sent later.
};

/// Limits a run to a share of its full speed.
struct ThrottleOrder {
  TaskId task;
  int run = 0;
  int percent = 100;
  std::uint64_t fence = 0;
  TimePoint not_after{};  ///< The sender's authority ends then; not sent later.
};

/// Reply to a start, stop or throttle order.
struct OrderReply {
  CallOutcome outcome = CallOutcome::kUnknown;
  std::int64_t clock_ms = 0;  ///< 0 if not given.
};

/// Queries which workers may run a step.
struct AdviceOrder {
  TaskId step;  ///< The index is not used.
  std::vector<std::string> workers;
  Duration timeout{0};
};

struct AdviceTicket {
  std::string worker;
  std::string ticket;
};

struct AdviceReply {
  bool answered = false;
  std::vector<AdviceTicket> tickets;
  Duration lifetime{0};  ///< 0 if not given.
};

/// Receives the replies to the orders of a WorkerLink.
class WorkerEvents {
 public:
  virtual ~WorkerEvents() = default;
  virtual void OnLeaseRenewal(TimePoint now, const std::string& worker,
                              const LeaseRenewalReply& reply) = 0;
  virtual void OnStart(TimePoint now, const std::string& worker, const StartOrder& order,
                       const OrderReply& reply) = 0;
  virtual void OnStop(TimePoint now, const std::string& worker, const StopOrder& order,
                      const OrderReply& reply) = 0;
  virtual void OnThrottle(TimePoint now, const std::string& worker, const ThrottleOrder& order,
                          const OrderReply& reply) = 0;
  virtual void OnAdvice(TimePoint now, const AdviceOrder& order, const AdviceReply& reply) = 0;
};

/// Sends orders to workers. Each reply is reported exactly once, from the event loop and never from
/// inside the call.
class WorkerLink {
 public:
  virtual ~WorkerLink() = default;
  virtual void RenewLease(const WorkerInfo& worker, const LeaseRenewalOrder& order) = 0;
  virtual void Start(const WorkerInfo& worker, const StartOrder& order) = 0;
  virtual void Stop(const WorkerInfo& worker, const StopOrder& order) = 0;
  virtual void Throttle(const WorkerInfo& worker, const ThrottleOrder& order) = 0;
  virtual void Advise(const AdviceOrder& order) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SCHEDULER_WORKER_LINK_H_
