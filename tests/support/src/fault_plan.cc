#include "cranberryplank/support/fault_plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cranberryplank {

std::optional<Fault> DecodeFault(std::string_view text, std::string* last_reason) {
  try {
    const nlohmann::json value = nlohmann::json::parse(text);
    Fault fault(value.at("fault").get<std::string>());
    fault.count = value.value("count", fault.count);
    fault.time = Duration(value.value("ms", Duration::rep{0}));
    fault.method = value.value("method", "");
    fault.path_prefix = value.value("path", "");
    return fault;
  } catch (const nlohmann::json::exception& error) {
    *last_reason = error.what();
    return std::nullopt;
  }
}

std::optional<Fault> FaultPlan::Take(std::string_view name, std::string_view method,
                                     std::string_view path) {
  const auto it = std::find_if(m_faults.begin(), m_faults.end(), [&](const Fault& fault) {
    return fault.name == name && (fault.method.empty() || fault.method == method) &&
           path.starts_with(fault.path_prefix);
  });
  if (it == m_faults.end()) {
    return std::nullopt;
  }
  Fault taken = *it;
  if (it->count > 0 && --it->count == 0) {
    m_faults.erase(it);
  }
  return taken;
}

}  // namespace cranberryplank
