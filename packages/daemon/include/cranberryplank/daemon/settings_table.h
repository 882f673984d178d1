#ifndef CRANBERRYPLANK_DAEMON_SETTINGS_TABLE_H_
#define CRANBERRYPLANK_DAEMON_SETTINGS_TABLE_H_

#include <fmt/format.h>
#include <toml++/toml.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/daemon/settings.h"

namespace cranberryplank {

/// Parses "IP-ADDRESS:PORT", where an IPv6 address is enclosed in brackets.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

/// Returns the node's value if it is a string of 64 lower-case hexadecimal digits.
std::optional<std::string> ParseHexDigest(const toml::node& node);

/// Collects errors with their position in the file.
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

/// Parses the text of a settings file.
/// @param path file name for `reason`
/// @return nothing, with `reason` set, if it is not valid TOML in ASCII characters
std::optional<toml::table> ParseSettings(std::string_view text, std::string_view path,
                                         std::string* reason);

/// Reports each table, and each key outside of tables, that is not in `known`.
void ReportUnknownTables(const toml::table& root, std::span<const std::string_view> known,
                         ProblemList* problems);

/// Reads the keys of one table and records which keys were requested.
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

  /// Reads an integer or floating-point number.
  void Real(std::string_view key, double lowest, double highest, double* value) {
    const toml::node* node = Find(key, false, "a number");
    if (node == nullptr) {
      return;
    }
    const std::optional<double> number = node->value<double>();
    if (!number || *number < lowest || *number > highest) {
      Problem(*node, key, fmt::format("expected a number from {} to {}", lowest, highest));
      return;
    }
    *value = *number;
  }

  /// Reads a number of seconds as an integer or floating-point number.
  void Seconds(std::string_view key, double lowest, double highest, Duration* value) {
    constexpr double kMillisecondsPerSecond = 1'000;
    double seconds = static_cast<double>(value->count()) / kMillisecondsPerSecond;
    Real(key, lowest, highest, &seconds);
    *value = Duration(static_cast<Duration::rep>(seconds * kMillisecondsPerSecond));
  }

  /// Returns whether the table has the key.
  bool Has(std::string_view key) const { return m_table != nullptr && m_table->contains(key); }

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
      if (const auto digest = ParseHexDigest(item)) {
        values->push_back(*digest);
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
      if (const auto digest = ParseHexDigest(item)) {
        values->emplace(name.str(), *digest);
      } else {
        Problem(item, key, "expected 64 lower-case hexadecimal digits");
      }
    }
  }

  void LogSeverity(std::string_view key, LogLevel* value) {
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

  /// Reports each key of the table that was never requested.
  void ReportUnknownKeys() {
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

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_SETTINGS_TABLE_H_
