#ifndef CRANBERRYPLANK_DAEMON_SETTINGS_H_
#define CRANBERRYPLANK_DAEMON_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/log.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// IP address and TCP port.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

/// Settings of one daemon, read once at startup.
struct Settings {
  std::string id;    ///< Name of the entry VM; unique in the fleet.
  std::string zone;  ///< Availability zone of the entry VM.
  LogLevel log_level = LogLevel::kInfo;
  bool abort_on_invariant_violation = false;

  Endpoint api_listen;
  Endpoint peer_listen;
  std::vector<Endpoint> first_peers;  ///< Queried for the head if the store is unavailable.
  std::size_t max_body_bytes = 1'000'000;
  std::size_t max_header_bytes = 16 << 10;
  Duration caller_idle_timeout{60'000};  ///< Connections idle for longer are closed.

  Endpoint store;
  Endpoint vm_list;
  Duration vm_list_poll{1'000};

  Duration default_deadline{30'000};  ///< For requests without a deadline.
  Duration max_deadline{600'000};
  int max_ticket_batch = 1'000;
  Duration ticket_lifetime{3'600'000};  ///< Time that outcomes are kept for retries.

  std::vector<std::string> operator_token_sha256;
  std::map<std::string, std::string> approvers;  ///< Ed25519 public keys in hexadecimal by name.
  int approvals_required = 1;

  bool automatic_moves = true;  ///< Move VMs between pools on a sustained shortage.

  Duration shutdown_grace{30'000};  ///< Time limit for running tasks at shutdown.

  bool operator==(const Settings&) const = default;
};

/// Reads settings from TOML. Every error is reported with file, line, key and expected value.
class SettingsReader {
 public:
  /// Reads the file at `path`. Returns nothing if it has any error.
  std::optional<Settings> ReadFile(const std::string& path);

  /// Reads `text`. Messages refer to it as `path`.
  std::optional<Settings> ReadText(std::string_view text, std::string_view path);

  /// Returns all errors of the last read, one per line.
  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_SETTINGS_H_
