#include "cranberryplank/daemon/settings.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

namespace cranberryplank {

namespace {

constexpr std::int64_t kMaxPort = 65'535;
constexpr std::int64_t kDayMs = 86'400'000;
constexpr std::size_t kDigestHexLength = 64;
constexpr unsigned char kLastAscii = 0x7f;

/// Collects problems with their place in the file.
class ProblemList {
 public:
  explicit ProblemList(std::string_view path) : m_path(path) {}

  void Add(std::size_t line, std::string_view key, std::string_view expected) {
    m_text += fmt::format("{}:{}: {}: {}\n", m_path, line, key, expected);
  }

  const std::string& text() const { return m_text; }

 private:
  std::string m_path;
  std::string m_text;
};

bool IsIpAddress(const std::string& host) {
  in6_addr address;
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

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

std::optional<std::string> HexDigits(const toml::node& node) {
  const auto* text = node.as_string();
  if (text == nullptr || text->get().size() != kDigestHexLength ||
      text->get().find_first_not_of("0123456789abcdef") != std::string::npos) {
    return std::nullopt;
  }
  return text->get();
}

/// Reads the keys of one table and remembers which were asked for.
class TableReader {
 public:
  TableReader(const toml::table& root, std::string_view name, ProblemList* problems)
      : m_name(name), m_problems(problems) {
    const toml::node* node = root.get(name);
    if (node == nullptr) {
      return;
    }
    m_line = node->source().begin.line;
    m_table = node->as_table();
    if (m_table == nullptr) {
      m_problems->Add(m_line, m_name, "expected a table");
    }
  }

  void Text(std::string_view key, bool required, std::string* value) {
    const toml::node* node = Find(key, required, "a string");
    if (node == nullptr) {
      return;
    }
    const auto* text = node->as_string();
    if (text == nullptr || text->get().empty()) {
      Problem(*node, key, "expected a string that is not empty");
      return;
    }
    *value = text->get();
  }

  void Address(std::string_view key, Endpoint* value) {
    std::string text;
    Text(key, true, &text);
    if (text.empty()) {
      return;
    }
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      Problem(*m_table->get(key), key, "expected \"IP-ADDRESS:PORT\" with a port from 1 to 65535");
      return;
    }
    *value = *endpoint;
  }

  void AddressList(std::string_view key, std::vector<Endpoint>* values) {
    const toml::node* node = Find(key, false, "a list of addresses");
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr) {
      Problem(*node, key, "expected a list of \"IP-ADDRESS:PORT\"");
      return;
    }
    for (const toml::node& item : *list) {
      const auto* text = item.as_string();
      const auto endpoint = text == nullptr ? std::nullopt : ParseEndpoint(text->get());
      if (!endpoint) {
        Problem(item, key, "expected \"IP-ADDRESS:PORT\" with a port from 1 to 65535");
        continue;
      }
      values->push_back(*endpoint);
    }
  }

  void Flag(std::string_view key, bool* value) {
    const toml::node* node = Find(key, false, "true or false");
    if (node == nullptr) {
      return;
    }
    if (!node->is_boolean()) {
      Problem(*node, key, "expected true or false");
      return;
    }
    *value = node->as_boolean()->get();
  }

  template <typename T>
  void Number(std::string_view key, std::int64_t lowest, std::int64_t highest, T* value) {
    const toml::node* node = Find(key, false, "an integer");
    if (node == nullptr) {
      return;
    }
    const auto* number = node->as_integer();
    if (number == nullptr || number->get() < lowest || number->get() > highest) {
      Problem(*node, key, fmt::format("expected an integer from {} to {}", lowest, highest));
      return;
    }
    *value = static_cast<T>(number->get());
  }

  void Milliseconds(std::string_view key, std::int64_t lowest, std::int64_t highest,
                    Duration* value) {
    std::int64_t count = value->count();
    Number(key, lowest, highest, &count);
    *value = Duration(count);
  }

  /// Reads a list of SHA-256 digests.
  void DigestList(std::string_view key, std::vector<std::string>* values) {
    const toml::node* node = Find(key, true, "a list of strings");
    if (node == nullptr) {
      return;
    }
    const toml::array* list = node->as_array();
    if (list == nullptr || list->empty()) {
      Problem(*node, key, "expected a list of strings that is not empty");
      return;
    }
    for (const toml::node& item : *list) {
      if (const auto digits = HexDigits(item)) {
        values->push_back(*digits);
      } else {
        Problem(item, key, "expected 64 lower-case hexadecimal digits");
      }
    }
  }

  /// Reads a table of Ed25519 public keys by name.
  void PublicKeys(std::string_view key, std::map<std::string, std::string>* values) {
    const toml::node* node = Find(key, false, "a table of public keys");
    if (node == nullptr) {
      return;
    }
    const toml::table* table = node->as_table();
    if (table == nullptr) {
      Problem(*node, key, "expected a table of names and public keys");
      return;
    }
    for (const auto& [name, item] : *table) {
      if (const auto digits = HexDigits(item)) {
        values->emplace(name.str(), *digits);
      } else {
        Problem(item, key, "expected 64 lower-case hexadecimal digits");
      }
    }
  }

  void LevelOfLog(std::string_view key, LogLevel* value) {
    std::string name;
    Text(key, false, &name);
    if (name.empty()) {
      return;
    }
    const auto level = ParseLogLevel(name);
    if (!level) {
      Problem(*m_table->get(key), key, "expected debug, info, warning or error");
      return;
    }
    *value = *level;
  }

  /// Reports each key of the table that was never asked for.
  void RefuseUnknownKeys() {
    if (m_table == nullptr) {
      return;
    }
    for (const auto& [key, node] : *m_table) {
      if (!m_known.contains(key.str())) {
        Problem(node, key.str(), "unknown key");
      }
    }
  }

 private:
  const toml::node* Find(std::string_view key, bool required, std::string_view expected) {
    m_known.insert(std::string(key));
    const toml::node* node = m_table == nullptr ? nullptr : m_table->get(key);
    if (node == nullptr && required) {
      m_problems->Add(m_line, fmt::format("{}.{}", m_name, key),
                      fmt::format("missing; expected {}", expected));
    }
    return node;
  }

  void Problem(const toml::node& node, std::string_view key, std::string_view expected) {
    m_problems->Add(node.source().begin.line, fmt::format("{}.{}", m_name, key), expected);
  }

  std::string m_name;
  ProblemList* m_problems;
  const toml::table* m_table = nullptr;
  std::size_t m_line = 1;
  std::set<std::string, std::less<>> m_known;
};

void ReadDaemon(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "daemon", problems);
  table.Text("id", true, &settings->id);
  table.Text("zone", true, &settings->zone);
  table.LevelOfLog("log_level", &settings->log_level);
  table.Flag("abort_on_invariant_violation", &settings->abort_on_invariant_violation);
  table.Flag("automatic_moves", &settings->automatic_moves);
  table.Milliseconds("shutdown_grace_ms", 100, kDayMs, &settings->shutdown_grace);
  table.RefuseUnknownKeys();
}

void ReadListen(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "listen", problems);
  table.Address("api", &settings->api_listen);
  table.Address("peers", &settings->peer_listen);
  table.AddressList("first_peers", &settings->first_peers);
  // A body travels to another daemon in one frame of at most 1 MiB.
  table.Number("max_body_bytes", 1, 1'000'000, &settings->max_body_bytes);
  table.Number("max_header_bytes", 1'024, 1 << 20, &settings->max_header_bytes);
  table.Milliseconds("caller_idle_timeout_ms", 1'000, kDayMs, &settings->caller_idle_timeout);
  table.RefuseUnknownKeys();
}

void ReadPlatform(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "platform", problems);
  table.Address("store", &settings->store);
  table.Address("vm_list", &settings->vm_list);
  table.Milliseconds("vm_list_poll_ms", 100, 60'000, &settings->vm_list_poll);
  table.RefuseUnknownKeys();
}

void ReadRequests(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "requests", problems);
  table.Milliseconds("default_deadline_ms", 100, kDayMs, &settings->default_deadline);
  table.Milliseconds("max_deadline_ms", 100, kDayMs, &settings->max_deadline);
  table.Number("max_ticket_batch", 1, 100'000, &settings->max_ticket_batch);
  table.Milliseconds("ticket_lifetime_ms", 1'000, 7 * kDayMs, &settings->ticket_lifetime);
  table.RefuseUnknownKeys();
}

void ReadOperators(const toml::table& root, ProblemList* problems, Settings* settings) {
  TableReader table(root, "operators", problems);
  table.DigestList("token_sha256", &settings->operator_token_sha256);
  table.PublicKeys("approvers", &settings->approvers);
  table.Number("approvals_required", 1, 16, &settings->approvals_required);
  table.RefuseUnknownKeys();
  const bool too_few =
      static_cast<std::size_t>(settings->approvals_required) > settings->approvers.size();
  if (too_few && !settings->approvers.empty()) {
    problems->Add(1, "operators.approvals_required", "expected at most the number of approvers");
  }
}

void RefuseUnknownTables(const toml::table& root, ProblemList* problems) {
  static const std::set<std::string_view> known{"daemon", "listen", "platform", "requests",
                                                "operators"};
  for (const auto& [key, node] : root) {
    if (!known.contains(key.str())) {
      problems->Add(node.source().begin.line, key.str(), "unknown key");
    }
  }
}

/// Returns the line of the first character that is not ASCII, or nothing. The TOML library has
/// undefined behaviour on some of them outside of strings, which a fuzz run found.
std::optional<std::size_t> LineOfFirstNonAscii(std::string_view text) {
  const auto found = std::find_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) > kLastAscii; });
  if (found == text.end()) {
    return std::nullopt;
  }
  return 1 + static_cast<std::size_t>(std::count(text.begin(), found, '\n'));
}

}  // namespace

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
  if (const auto line = LineOfFirstNonAscii(text)) {
    m_last_reason = fmt::format("{}:{}: expected ASCII characters only\n", path, *line);
    return std::nullopt;
  }
  toml::table root;
  try {
    root = toml::parse(text, path);
  } catch (const toml::parse_error& error) {
    m_last_reason =
        fmt::format("{}:{}: {}\n", path, error.source().begin.line, error.description());
    return std::nullopt;
  }
  ProblemList problems(path);
  Settings settings;
  RefuseUnknownTables(root, &problems);
  ReadDaemon(root, &problems, &settings);
  ReadListen(root, &problems, &settings);
  ReadPlatform(root, &problems, &settings);
  ReadRequests(root, &problems, &settings);
  ReadOperators(root, &problems, &settings);
  if (!problems.text().empty()) {
    m_last_reason = problems.text();
    return std::nullopt;
  }
  return settings;
}

}  // namespace cranberryplank
