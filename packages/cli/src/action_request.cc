#include "cranberryplank/cli/action_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <stdexcept>
#include <string_view>

#include "cranberryplank/bundle/action.h"
#include "cranberryplank/bundle/bundle_checker.h"

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::size_t kDigestLength = 64;

template <typename Number>
Number ToNumber(std::string_view name, std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw std::invalid_argument(fmt::format("{} '{}' is not a number", name, text));
  }
  return number;
}

/// Typed access to an action's parameters. Throws std::invalid_argument if a value is not valid.
class ParameterReader {
 public:
  explicit ParameterReader(const Parameters& parameters) : m_parameters(parameters) {}

  const std::string& Text(const char* name) const { return m_parameters.at(name); }

  std::string Name(const char* name) const {
    const std::string& value = Text(name);
    if (!IsValidName(value)) {
      throw std::invalid_argument(fmt::format("'{}' is not a valid {} name", value, name));
    }
    return value;
  }

  std::string Digest(const char* name) const {
    const std::string& value = Text(name);
    if (value.size() != kDigestLength ||
        value.find_first_not_of("0123456789abcdef") != std::string::npos) {
      throw std::invalid_argument(
          fmt::format("{} must be {} lower-case hexadecimal digits", name, kDigestLength));
    }
    return value;
  }

  int Integer(const char* name) const { return ToNumber<int>(name, Text(name)); }

  double Decimal(const char* name) const {
    const auto value = ToNumber<double>(name, Text(name));
    if (!std::isfinite(value)) {
      throw std::invalid_argument(fmt::format("{} must be finite", name));
    }
    return value;
  }

  bool Has(const char* name) const { return m_parameters.contains(name); }

 private:
  const Parameters& m_parameters;
};

AdminRequest BuildTeamSet(const ParameterReader& read) {
  return {"PUT", "teams/" + read.Name("team"),
          json{{"share_weight", read.Decimal("share_weight")},
               {"upper_limit", read.Integer("upper_limit")}}
              .dump()};
}

AdminRequest BuildVmAdd(const ParameterReader& read) {
  return {"POST", "vms",
          json{{"id", read.Name("vm")},
               {"host", read.Text("host")},
               {"port", read.Integer("port")},
               {"zone", read.Text("zone")},
               {"rack", read.Text("rack")},
               {"pool", read.Name("pool")},
               {"slots", read.Integer("slots")},
               {"cores", read.Integer("cores")},
               {"memory_gb", read.Integer("memory_gb")},
               {"accelerators", read.Integer("accelerators")}}
              .dump()};
}

AdminRequest BuildMaintenanceStart(const ParameterReader& read) {
  json vms = json::array();
  std::string_view rest;
  if (read.Has("vms")) {
    rest = read.Text("vms");
  }
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    if (!IsValidName(rest.substr(0, end))) {
      throw std::invalid_argument(fmt::format("'{}' is not a valid VM id", rest.substr(0, end)));
    }
    vms.push_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {"POST", "maintenance/" + read.Name("pool"), json{{"vms", vms}}.dump()};
}

AdminRequest BuildVmList(const ParameterReader& read) {
  return {"GET", read.Has("pool") ? "vms?pool=" + read.Name("pool") : "vms", ""};
}

AdminRequest BuildVmMove(const ParameterReader& read) {
  return {"POST", fmt::format("vms/{}/move", read.Name("vm")),
          json{{"pool", read.Name("pool")}}.dump()};
}

AdminRequest BuildKeyGrant(const ParameterReader& read) {
  return {"POST", "keys",
          json{{"digest", read.Digest("digest")}, {"team", read.Name("team")}}.dump()};
}

using BuildFunction = AdminRequest (*)(const ParameterReader&);

const std::map<std::string_view, BuildFunction>& Builders() {
  static const std::map<std::string_view, BuildFunction> builders = {
      {"status",
       [](const ParameterReader&) {
         return AdminRequest{"GET", "status", ""};
       }},
      {"team-list",
       [](const ParameterReader&) {
         return AdminRequest{"GET", "teams", ""};
       }},
      {"team-set", BuildTeamSet},
      {"pool-list",
       [](const ParameterReader&) {
         return AdminRequest{"GET", "pools", ""};
       }},
      {"vm-list", BuildVmList},
      {"vm-move", BuildVmMove},
      {"vm-drain",
       [](const ParameterReader& read) {
         return AdminRequest{"POST", fmt::format("vms/{}/drain", read.Name("vm")), ""};
       }},
      {"vm-cancel",
       [](const ParameterReader& read) {
         return AdminRequest{"DELETE", fmt::format("vms/{}/move", read.Name("vm")), ""};
       }},
      {"vm-add", BuildVmAdd},
      {"vm-remove",
       [](const ParameterReader& read) {
         return AdminRequest{"DELETE", "vms/" + read.Name("vm"), ""};
       }},
      {"key-grant", BuildKeyGrant},
      {"key-withdraw",
       [](const ParameterReader& read) {
         return AdminRequest{"DELETE", "keys/" + read.Digest("digest"), ""};
       }},
      {"maintenance-start", BuildMaintenanceStart},
      {"maintenance-status",
       [](const ParameterReader&) {
         return AdminRequest{"GET", "maintenance", ""};
       }},
      {"maintenance-stop",
       [](const ParameterReader& read) {
         return AdminRequest{"DELETE", "maintenance/" + read.Name("pool"), ""};
       }},
  };
  return builders;
}

}  // namespace

std::optional<AdminRequest> ActionRequestBuilder::Build(const std::string& action,
                                                        const Parameters& parameters) {
  const Action* known = FindAction(action);
  const auto builder = Builders().find(action);
  if (known == nullptr || builder == Builders().end()) {
    m_last_reason = fmt::format("unknown action '{}'", action);
    return std::nullopt;
  }
  for (const std::string_view required : known->required) {
    if (!parameters.contains(required)) {
      m_last_reason = fmt::format("'{}' is missing", required);
      return std::nullopt;
    }
  }
  for (const auto& [name, value] : parameters) {
    if (!known->AcceptsParameter(name)) {
      m_last_reason = fmt::format("'{}' is not a parameter of this action", name);
      return std::nullopt;
    }
  }
  try {
    return builder->second(ParameterReader(parameters));
  } catch (const std::exception& error) {
    m_last_reason = error.what();
    return std::nullopt;
  }
}

}  // namespace cranberryplank
