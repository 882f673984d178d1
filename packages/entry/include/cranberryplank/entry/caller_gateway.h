#ifndef CRANBERRYPLANK_ENTRY_CALLER_GATEWAY_H_
#define CRANBERRYPLANK_ENTRY_CALLER_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/entry/platform_format.h"
#include "cranberryplank/scheduler/scheduler.h"

namespace cranberryplank {

/// Why a caller's request is refused before it reaches the owner.
enum class AccessRefusal {
  kNone,
  kNoConfig,     ///< No configuration is known yet.
  kStaleConfig,  ///< The configuration is too old to tell whether the key or the route holds.
  kNoSuchQueue,
  kUnknownKey,
};

/// How well the configuration that a daemon holds is known to be the newest.
struct ConfigAge {
  Duration age{0};            ///< Since sending the newest call to the store that confirmed it.
  Duration max_age{0};        ///< A key may have been withdrawn in a configuration older than this.
  bool newer_exists = false;  ///< Another daemon has told of a newer version.

  bool stale() const { return age >= max_age; }
};

/// Decides on a caller's request by route and key alone. A daemon that knows of a newer
/// configuration does not tell callers that their queue or key is unknown.
AccessRefusal CheckAccess(const ClusterConfig* config, const QueueConfig* queue,
                          std::string_view key, const ConfigAge& age);

/// Answers callers: checks route and key, passes the call to the owner of the schedule, and
/// follows it through a change of owner.
class CallerGateway {
 public:
  using Callback = std::function<void(TimePoint now, const OwnerReply& reply)>;
  using CallOwner = std::function<void(const OwnerCall& call, Duration timeout, Callback done)>;

  CallerGateway(const PlatformFormat* format, Metrics* metrics, CallOwner call_owner);

  /// Answers a caller's request, now or later.
  /// @param config nullptr if none is known yet
  void Handle(Now now, const ClusterConfig* config, const ConfigAge& age,
              const std::shared_ptr<ApiExchange>& exchange);
  /// Repeats calls that found no owner. To be called regularly.
  void Tick(TimePoint now);
  std::size_t open_requests() const { return m_pending.size(); }
  /// Answers from now on ask callers to close their connections.
  void SetClosing() { m_closing = true; }

 private:
  struct Pending {
    std::shared_ptr<ApiExchange> exchange;
    OwnerCall call;
    TimePoint arrived{};
    TimePoint deadline{};  ///< The caller has to be answered by then.
    TimePoint give_up{};   ///< Without any sign of an owner the call is refused then.
    TimePoint retry_at{};
    bool in_flight = false;
    bool may_have_run = false;
    int attempts = 0;
  };

  void Send(TimePoint now, std::uint64_t id);
  void OnReply(TimePoint now, std::uint64_t id, const OwnerReply& reply);
  void GiveUp(TimePoint now, std::uint64_t id, std::string_view reason);
  void Finish(TimePoint now, std::uint64_t id, ApiResponse response, std::string_view reason);
  void Refuse(TimePoint now, const std::shared_ptr<ApiExchange>& exchange, int status,
              std::string_view reason);
  ApiResponse ResponseOf(const OwnerCall& call, const OwnerReply& reply) const;

  const PlatformFormat* m_format;
  Metrics* m_metrics;
  CallOwner m_call_owner;
  bool m_closing = false;
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, Pending> m_pending;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_CALLER_GATEWAY_H_
