#ifndef CRANBERRYPLANK_ENTRY_OWNER_CLIENT_H_
#define CRANBERRYPLANK_ENTRY_OWNER_CLIENT_H_

#include <functional>
#include <string>
#include <utility>

#include "cranberryplank/entry/owner_messages.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/platform/http_client.h"

namespace cranberryplank {

/// Calls the owner of the schedule, or another daemon, and watches whether it answers.
class OwnerClient {
 public:
  using Callback = std::function<void(TimePoint now, const OwnerReply& reply)>;

  /// @param self address at which this daemon takes calls
  /// @param cores processor of this VM
  OwnerClient(HttpClient* http, std::string self, double cores)
      : m_http(http), m_self(std::move(self)), m_cores(cores) {}

  /// Path of calls between daemons.
  static constexpr const char* kPath = "/owner";

  /// Follows the owner at `address`; what was known of an earlier one is forgotten.
  void SetOwner(TimePoint now, const std::string& address);
  /// To be called regularly: pings the owner. @param config_version of this daemon
  void Tick(TimePoint now, std::uint64_t config_version);
  void Call(const std::string& address, const OwnerCall& call, Duration timeout, Callback done);

  /// The owner refused the connection since it last answered.
  bool refused() const { return m_refusals >= 2; }
  /// The daemon at the owner's address says that it is not the owner.
  bool denies_ownership() const { return m_denies_ownership; }
  bool owner_store_unreachable() const { return m_owner_store_unreachable; }
  /// Processor of the strongest VM that the last owner knew; 0 if not known.
  double strongest_cores() const { return m_strongest_cores; }
  TimePoint last_answer() const { return m_last_answer; }
  std::uint64_t owner_config_version() const { return m_config_version; }

 private:
  void Observe(TimePoint now, const std::string& address, const OwnerReply& reply, bool answered,
               bool not_sent);

  HttpClient* m_http;
  std::string m_self;
  double m_cores;
  double m_strongest_cores = 0;
  std::string m_address;
  TimePoint m_last_answer{};
  TimePoint m_next_ping{};
  bool m_ping_in_flight = false;
  int m_refusals = 0;
  bool m_denies_ownership = false;
  bool m_owner_store_unreachable = false;
  std::uint64_t m_config_version = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_OWNER_CLIENT_H_
