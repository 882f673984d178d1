#ifndef CRANBERRYPLANK_ENTRY_CALLER_GATEWAY_H_
#define CRANBERRYPLANK_ENTRY_CALLER_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// Reason why a caller's request is refused before it reaches the owner.
enum class AccessRefusal {
  kNone,
  kNoConfig,     ///< No configuration is known yet.
  kStaleConfig,  ///< The configuration may be out of date in this key or route.
  kNoSuchQueue,
  kUnknownKey,
};

/// Age of a daemon's configuration, and whether a newer version is known to exist.
struct ConfigAge {
  Duration age{0};      ///< Time since sending the newest call to the store that confirmed it.
  Duration max_age{0};  ///< From this age on, a key may have been withdrawn.
  bool newer_exists = false;  ///< Another daemon has reported a newer version.

  bool stale() const { return age >= max_age; }
};

/// How long ago a request was sent that is read now.
enum class RequestAge {
  kRecent,
  kUnknown,  ///< The process did not run for a long time; see `PauseMonitor`.
};

/// Checks the route and the key of a caller's request. While a newer configuration exists, an
/// unknown queue or key yields kStaleConfig, because the newer configuration may contain it.
AccessRefusal CheckAccess(const ClusterConfig* config, const QueueConfig* queue,
                          std::string_view key, const ConfigAge& age);

/// Handles callers' requests: checks route and key, forwards the call to the owner of the schedule
/// and retries it across a change of owner.
class CallerGateway {
 public:
  using Callback = std::function<void(TimePoint now, const OwnerReply& reply)>;
  using CallOwner = std::function<void(const OwnerCall& call, Duration timeout, Callback done)>;

  CallerGateway(const PlatformFormat* format, Metrics* metrics, CallOwner call_owner);

  /// Handles a caller's request. The reply may be sent later.
  /// @param config nullptr if none is known yet
  /// @param request_age submissions of unknown age are refused
  void Handle(Now now, const ClusterConfig* config, const ConfigAge& age,
              const std::shared_ptr<ApiExchange>& exchange,
              RequestAge request_age = RequestAge::kRecent);
  /// Retries calls that reached no owner. Must be called regularly.
  void Tick(TimePoint now);
  /// Repeats the calls that are under way, because the schedule has another owner: the earlier one
  /// may never answer them. Each has the same effect if it is carried out twice.
  void RepeatCallsInFlight(TimePoint now);
  std::size_t open_requests() const { return m_pending.size(); }
  /// Begins to close: all further replies ask callers to close their connections, and requests that
  /// have no answer by `answer_by` are given up then, or refused at once if they arrive later.
  void Close(TimePoint answer_by);

 private:
  struct Pending {
    std::shared_ptr<ApiExchange> exchange;
    OwnerCall call;
    TimePoint arrived{};
    TimePoint deadline{};  ///< Latest time to reply to the caller.
    TimePoint give_up{};   ///< The call is refused at this time unless an attempt may have run.
    TimePoint retry_at{};
    bool in_flight = false;
    bool may_have_run = false;
    int attempts = 0;
    int superseded = 0;  ///< Attempts up to this one were sent to an earlier owner.
  };

  void Send(TimePoint now, std::uint64_t id);
  void OnReply(TimePoint now, std::uint64_t id, int attempt, const OwnerReply& reply);
  void GiveUp(TimePoint now, std::uint64_t id, std::string_view reason);
  void Finish(TimePoint now, std::uint64_t id, ApiResponse response, std::string_view reason);
  void Refuse(TimePoint now, const std::shared_ptr<ApiExchange>& exchange, int status,
              std::string_view reason);
  ApiResponse ResponseOf(const OwnerCall& call, const OwnerReply& reply) const;

  const PlatformFormat* m_format;
  Metrics* m_metrics;
  CallOwner m_call_owner;
  std::optional<TimePoint> m_answer_by;  ///< Set while the daemon stops.
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, Pending> m_pending;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_CALLER_GATEWAY_H_
