#include "cranberryplank/bundle/bundle_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <initializer_list>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "bundle_json.h"
#include "cranberryplank/model/fleet.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

// A valid document nests 6 levels. Serialising is recursive, so the depth must be bounded.
constexpr int kMaxDepth = 16;

/// Refuses an object with missing or unknown fields, so that a misspelt field is not ignored.
void CheckFields(const json& value, std::string_view what,
                 std::initializer_list<std::string_view> required,
                 std::initializer_list<std::string_view> optional = {}) {
  if (!value.is_object()) {
    throw std::invalid_argument(fmt::format("{} is not an object", what));
  }
  for (const std::string_view field : required) {
    if (!value.contains(field)) {
      throw std::invalid_argument(fmt::format("{} lacks '{}'", what, field));
    }
  }
  for (const auto& [field, ignored] : value.items()) {
    const auto is_field = [&name = field](std::string_view known) { return known == name; };
    if (std::none_of(required.begin(), required.end(), is_field) &&
        std::none_of(optional.begin(), optional.end(), is_field)) {
      throw std::invalid_argument(fmt::format("{} has the unknown field '{}'", what, field));
    }
  }
}

void CheckList(const json& value, std::string_view what) {
  if (!value.is_array()) {
    throw std::invalid_argument(fmt::format("{} is not a list", what));
  }
}

/// Reads one list of the configuration with the decoder of the fleet's parts.
template <typename Map>
void ReadPart(const json& list, std::string_view part, Map Fleet::*member, Map* out,
              std::initializer_list<std::string_view> fields) {
  CheckList(list, part);
  for (const json& entry : list) {
    CheckFields(entry, fmt::format("entry of {}", part), fields);
  }
  Fleet fleet;
  std::string reason;
  if (!DecodePart(part, list.dump(), &fleet, &reason)) {
    throw std::invalid_argument(reason);
  }
  if ((fleet.*member).size() != list.size()) {
    throw std::invalid_argument(fmt::format("a name is listed twice in {}", part));
  }
  *out = std::move(fleet.*member);
}

Parameters ReadParameters(const json& value) { return value.get<Parameters>(); }

Runbook ReadRunbook(const json& value) {
  CheckFields(value, "runbook", {"name", "steps"});
  Runbook runbook;
  value.at("name").get_to(runbook.name);
  CheckList(value.at("steps"), fmt::format("steps of runbook {}", runbook.name));
  for (const json& step : value.at("steps")) {
    CheckFields(step, fmt::format("step of runbook {}", runbook.name), {"command"}, {"parameters"});
    runbook.steps.push_back(RunbookStep{step.at("command").get<std::string>(),
                                        ReadParameters(step.value("parameters", json::object()))});
  }
  return runbook;
}

CommandMapping ReadMapping(const json& value) {
  CheckFields(value, "mapping", {"command"}, {"action", "parameters", "retired"});
  CommandMapping mapping;
  value.at("command").get_to(mapping.command);
  if (value.contains("action") == value.contains("retired")) {
    throw std::invalid_argument(
        fmt::format("command {} must be either mapped or retired", mapping.command));
  }
  if (value.contains("action")) {
    value.at("action").get_to(mapping.action);
    mapping.parameters = ReadParameters(value.value("parameters", json::object()));
    return mapping;
  }
  const json& retired = value.at("retired");
  CheckFields(retired, fmt::format("retirement of {}", mapping.command),
              {"reason", "approver", "signature"});
  mapping.retirement =
      Retirement{retired.at("reason").get<std::string>(), retired.at("approver").get<std::string>(),
                 retired.at("signature").get<std::string>()};
  return mapping;
}

void ReadConfiguration(const json& value, Bundle* bundle) {
  CheckFields(value, "configuration", {"teams", "pools", "queues"});
  ReadPart(value.at("teams"), kTeamsPart, &Fleet::teams, &bundle->teams,
           {"name", "share_weight", "upper_limit"});
  ReadPart(value.at("pools"), kPoolsPart, &Fleet::pools, &bundle->pools,
           {"name", "spare", "budget_per_pool", "budget_per_rack", "budget_per_zone"});
  ReadPart(value.at("queues"), kQueuesPart, &Fleet::queues, &bundle->queues,
           {"name", "pool", "teams", "open_to_all", "open_team", "max_run_ms", "max_waiting"});
}

void ReadCommands(const json& document, Bundle* bundle) {
  CheckList(document.at("runbooks"), "runbooks");
  for (const json& value : document.at("runbooks")) {
    Runbook runbook = ReadRunbook(value);
    const std::string name = runbook.name;
    if (!bundle->runbooks.emplace(name, std::move(runbook)).second) {
      throw std::invalid_argument(fmt::format("runbook {} is listed twice", name));
    }
  }
  document.at("inventory").get_to(bundle->inventory);
  CheckList(document.at("mappings"), "mappings");
  for (const json& value : document.at("mappings")) {
    CommandMapping mapping = ReadMapping(value);
    const std::string command = mapping.command;
    if (!bundle->mappings.emplace(command, std::move(mapping)).second) {
      throw std::invalid_argument(fmt::format("command {} is mapped twice", command));
    }
  }
}

Bundle ReadBundle(std::string_view text) {
  const json document = ParseLimitedJson(text);
  CheckFields(document, "bundle", {"version", "configuration", "runbooks", "inventory", "mappings"},
              {"approvals"});
  Bundle bundle;
  if (!document.at("version").is_number_unsigned()) {
    throw std::invalid_argument("version is not a positive whole number");
  }
  document.at("version").get_to(bundle.version);
  ReadConfiguration(document.at("configuration"), &bundle);
  ReadCommands(document, &bundle);
  const json approvals = document.value("approvals", json::array());
  CheckList(approvals, "approvals");
  for (const json& approval : approvals) {
    CheckFields(approval, "approval", {"approver", "signature"});
    bundle.approvals.push_back(Approval{approval.at("approver").get<std::string>(),
                                        approval.at("signature").get<std::string>()});
  }
  bundle.canonical = CanonicalEncoding(document);
  bundle.text = text;
  return bundle;
}

}  // namespace

json ParseLimitedJson(std::string_view text) {
  if (text.size() > kMaxBundleBytes) {
    throw std::invalid_argument(
        fmt::format("{} bytes exceed the limit of {}", text.size(), kMaxBundleBytes));
  }
  // Duplicate keys are refused, because the parser keeps the last one while an approver may have
  // read the first.
  std::vector<std::set<std::string>> keys;
  return json::parse(text, [&keys](int depth, json::parse_event_t event, const json& parsed) {
    if (depth > kMaxDepth) {
      throw std::invalid_argument("nested too deeply");
    }
    if (event == json::parse_event_t::object_start) {
      keys.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      keys.pop_back();
    } else if (event == json::parse_event_t::key &&
               !keys.back().insert(parsed.get<std::string>()).second) {
      throw std::invalid_argument(
          fmt::format("field '{}' is given twice", parsed.get<std::string>()));
    }
    return true;
  });
}

std::string CanonicalEncoding(const json& document) {
  json content = document;
  content.erase("approvals");
  return content.dump();
}

std::optional<Bundle> BundleParser::Parse(std::string_view text) {
  try {
    return ReadBundle(text);
  } catch (const std::exception& error) {
    m_last_reason = fmt::format("bundle is not valid: {}", error.what());
    return std::nullopt;
  }
}

}  // namespace cranberryplank
