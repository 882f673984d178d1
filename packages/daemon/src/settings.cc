#include "cranberryplank/daemon/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <sstream>

#include "cranberryplank/daemon/settings_table.h"

namespace cranberryplank {

namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::size_t kDigestHexLength = 64;
constexpr unsigned char kLastAscii = 0x7f;
constexpr std::array<std::string_view, 5> kTables{"daemon", "listen", "platform", "requests",
                                                  "operators"};

bool IsIpAddress(const std::string& host) {
  in6_addr address;
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) {
    return std::nullopt;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  const std::string port = text.substr(colon + 1);
  if (port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  const int number = std::stoi(port);
  if (!IsIpAddress(host) || number < 1 || number > kMaxPort) {
    return std::nullopt;
  }
  return Endpoint{host, static_cast<std::uint16_t>(number)};
}

std::optional<std::string> ParseHexDigest(const toml::node& node) {
  const auto* text = node.as_string();
  if (text == nullptr || text->get().size() != kDigestHexLength ||
      text->get().find_first_not_of("0123456789abcdef") != std::string::npos) {
    return std::nullopt;
  }
  return text->get();
}

namespace {

void ReadDaemon(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "daemon", problems);
  table.Text("id", true, &settings->id);
  table.Text("zone", true, &settings->zone);
  table.LogSeverity("log_level", &settings->log_level);
  table.Flag("abort_on_invariant_violation", &settings->abort_on_invariant_violation);
  table.Flag("automatic_moves", &settings->automatic_moves);
  table.Milliseconds("shutdown_grace_ms", 100, kDayMs, &settings->shutdown_grace);
  table.ReportUnknownKeys();
}

void ReadListen(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "listen", problems);
  table.Address("api", &settings->api_listen);
  table.Address("peers", &settings->peer_listen);
  table.AddressList("first_peers", &settings->first_peers);
  // A body is forwarded to another daemon in one frame of at most 1 MiB.
  table.Number("max_body_bytes", 1, 1'000'000, &settings->max_body_bytes);
  table.Number("max_header_bytes", 1'024, 1 << 20, &settings->max_header_bytes);
  table.Milliseconds("caller_idle_timeout_ms", 1'000, kDayMs, &settings->caller_idle_timeout);
  table.ReportUnknownKeys();
}

void ReadPlatform(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "platform", problems);
  table.Address("store", &settings->store);
  table.Address("vm_list", &settings->vm_list);
  table.Milliseconds("vm_list_poll_ms", 100, 60'000, &settings->vm_list_poll);
  table.ReportUnknownKeys();
}

void ReadRequests(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "requests", problems);
  table.Milliseconds("default_deadline_ms", 100, kDayMs, &settings->default_deadline);
  table.Milliseconds("max_deadline_ms", 100, kDayMs, &settings->max_deadline);
  table.Number("max_ticket_batch", 1, 100'000, &settings->max_ticket_batch);
  table.Milliseconds("ticket_lifetime_ms", 1'000, 7 * kDayMs, &settings->ticket_lifetime);
  table.ReportUnknownKeys();
}

void ReadOperators(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "operators", problems);
  table.DigestList("token_sha256", &settings->operator_token_sha256);
  table.PublicKeys("approvers", &settings->approvers);
  table.Number("approvals_required", 1, 16, &settings->approvals_required);
  table.ReportUnknownKeys();
  const bool too_few =
      static_cast<std::size_t>(settings->approvals_required) > settings->approvers.size();
  if (too_few && !settings->approvers.empty()) {
    problems->Add(1, "operators.approvals_required", "expected at most the number of approvers");
  }
}

/// Returns the line of the first non-ASCII character, or nothing. Fuzzing showed that the TOML
/// library has undefined behaviour on some of these characters outside of strings.
std::optional<std::size_t> LineOfFirstNonAscii(std::string_view text) {
  const auto found = std::find_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) > kLastAscii; });
  if (found == text.end()) {
    return std::nullopt;
  }
  return 1 + static_cast<std::size_t>(std::count(text.begin(), found, '\n'));
}

}  // namespace

void ReportUnknownTables(const toml::table& root, std::span<const std::string_view> known,
                         ProblemList* problems) {
  for (const auto& [key, node] : root) {
    if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
      problems->Add(node.source().begin.line, key.str(), "unknown key");
    }
  }
}

std::optional<toml::table> ParseSettings(std::string_view text, std::string_view path,
                                         std::string* reason) {
  if (const auto line = LineOfFirstNonAscii(text)) {
    *reason = fmt::format("{}:{}: expected ASCII characters only\n", path, *line);
    return std::nullopt;
  }
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    *reason = fmt::format("{}:{}: {}\n", path, error.source().begin.line, error.description());
    return std::nullopt;
  }
}

std::optional<Settings> SettingsReader::ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    m_last_reason = fmt::format("{}: cannot be read\n", path);
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ReadText(text.str(), path);
}

std::optional<Settings> SettingsReader::ReadText(std::string_view text, std::string_view path) {
  m_last_reason.clear();
  const auto root = ParseSettings(text, path, &m_last_reason);
  if (!root) {
    return std::nullopt;
  }
  ProblemList problems(path);
  Settings settings;
  ReportUnknownTables(*root, kTables, &problems);
  ReadDaemon(*root, &problems, &settings);
  ReadListen(*root, &problems, &settings);
  ReadPlatform(*root, &problems, &settings);
  ReadRequests(*root, &problems, &settings);
  ReadOperators(*root, &problems, &settings);
  if (!problems.text().empty()) {
    m_last_reason = problems.text();
    return std::nullopt;
  }
  return settings;
}

}  // namespace cranberryplank
