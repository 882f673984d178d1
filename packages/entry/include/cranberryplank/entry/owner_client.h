#ifndef CRANBERRYPLANK_ENTRY_OWNER_CLIENT_H_
#define CRANBERRYPLANK_ENTRY_OWNER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/http_client.h"

namespace cranberryplank {

/// Calls the owner of the schedule or another daemon, and tracks whether the owner answers.
class OwnerClient {
 public:
  using Callback = std::function<void(TimePoint now, const OwnerReply& reply)>;

  /// @param self address at which this daemon accepts calls
  /// @param cores processing power of this VM, in cores of standard speed
  OwnerClient(HttpClient* http, std::string self, double cores)
      : m_http(http), m_self(std::move(self)), m_cores(cores) {}

  /// HTTP path of calls between daemons.
  static constexpr const char* kPath = "/owner";

  /// Sets the owner's address and resets the state of the previous owner.
  void SetOwner(TimePoint now, const std::string& address);
  /// Pings the owner. Must be called regularly.
  /// @param config_version version of this daemon's configuration
  void Tick(TimePoint now, std::uint64_t config_version);
  void Call(const std::string& address, const OwnerCall& call, Duration timeout, Callback done);

  /// Returns whether at least two connections to the owner failed since it last answered.
  bool refused() const { return m_send_failures_since_answer >= 2; }
  /// Returns whether the daemon at the owner's address replied that it is not the owner.
  bool denies_ownership() const { return m_denies_ownership; }
  bool owner_store_unreachable() const { return m_owner_store_unreachable; }
  /// Processing power of the strongest VM that the last owner reported, in cores; 0 if unknown.
  double strongest_cores() const { return m_strongest_cores; }
  /// Returns the age of the oldest ping that the owner has not answered. 0 if it has answered all.
  Duration silence(TimePoint now) const;
  std::uint64_t owner_config_version() const { return m_config_version; }

 private:
  void Observe(const std::string& address, const OwnerReply& reply, bool answered,
               bool connection_failed);

  HttpClient* m_http;
  std::string m_self;
  double m_cores;
  double m_strongest_cores = 0;
  std::string m_address;
  std::optional<TimePoint> m_unanswered_since;
  Duration m_ping_interval{0};  ///< As the owner asks for.
  TimePoint m_next_ping{};
  bool m_ping_in_flight = false;
  int m_send_failures_since_answer = 0;
  bool m_denies_ownership = false;
  bool m_owner_store_unreachable = false;
  std::uint64_t m_config_version = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_OWNER_CLIENT_H_
