#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

namespace cranberryplank {

namespace {

using nlohmann::json;

std::string FormatValue(const json& value) {
  if (value.is_string()) {
    // Control characters in names must not reach the terminal.
    std::string text = value.get<std::string>();
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' '; }, '?');
    return text.empty() ? "-" : text;
  }
  if (value.is_array() || value.is_object()) {
    std::string text;
    for (const auto& [name, item] : value.items()) {
      text += text.empty() ? "" : value.is_array() ? "," : " ";
      text += value.is_array() ? FormatValue(item) : fmt::format("{}={}", name, FormatValue(item));
    }
    return text.empty() ? "-" : text;
  }
  return value.dump();
}

bool IsTable(const json& value) {
  return value.is_array() && !value.empty() && value.front().is_object();
}

std::string FormatTable(const json& rows) {
  std::vector<std::string> columns;
  for (const auto& [name, value] : rows.front().items()) {
    columns.push_back(name);
  }
  std::stable_partition(columns.begin(), columns.end(),
                        [](const auto& name) { return name == "id" || name == "name"; });
  std::vector<std::vector<std::string>> lines = {columns};
  for (const json& row : rows) {
    auto& line = lines.emplace_back();
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? FormatValue(row[column]) : "-");
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  std::string text;
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      text += fmt::format("{:<{}}", line[i], i + 1 < line.size() ? widths[i] + 2 : 0);
    }
    text += '\n';
  }
  return text;
}

std::string FormatList(std::string_view title, const std::vector<std::string>& commands) {
  std::string text = fmt::format("{} ({})\n", title, commands.size());
  for (const std::string& command : commands) {
    text += fmt::format("  {}\n", FormatValue(command));
  }
  return text;
}

}  // namespace

std::string FormatAnswer(const json& answer) {
  std::string text;
  std::string tables;
  for (const auto& [name, value] : answer.items()) {
    if (IsTable(value)) {
      tables += fmt::format("\n{}:\n{}", name, FormatTable(value));
    } else {
      text += fmt::format("{}: {}\n", name, FormatValue(value));
    }
  }
  return text + tables;
}

std::string FormatChange(const json& answer) {
  if (answer.contains("recorded") && answer["recorded"] == json(false)) {
    return fmt::format("refused on {} of {} daemons, not yet recorded\n",
                       answer.value("refused_on", 0), answer.value("daemons", 0));
  }
  const std::string revision = answer.at("revision").dump();
  if (answer.at("in_effect") == json(true)) {
    return fmt::format("revision {}: in effect\n", revision);
  }
  const json& pending = answer.at("pending");
  return pending.empty() ? fmt::format("revision {}: recorded, not yet in effect\n", revision)
                         : fmt::format("revision {}: recorded, pending on {}\n", revision,
                                       FormatValue(pending));
}

std::string FormatCoverage(const Coverage& coverage) {
  return FormatList("used by runbooks", coverage.used) + FormatList("mapped", coverage.mapped) +
         FormatList("retired", coverage.retired) + FormatList("unmapped", coverage.unmapped) +
         FormatList("unknown", coverage.unknown);
}

json CoverageToJson(const Coverage& coverage) {
  return json{{"used", coverage.used},
              {"mapped", coverage.mapped},
              {"retired", coverage.retired},
              {"unmapped", coverage.unmapped},
              {"unknown", coverage.unknown}};
}

}  // namespace cranberryplank
