#ifndef CRANBERRYPLANK_SUPPORT_FAULT_PLAN_H_
#define CRANBERRYPLANK_SUPPORT_FAULT_PLAN_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Fault that a fake server injects.
struct Fault {
  explicit Fault(std::string fault_name, int fault_count = 1, Duration fault_time = Duration(0),
                 std::string only_method = "")
      : name(std::move(fault_name)),
        count(fault_count),
        time(fault_time),
        method(std::move(only_method)) {}

  std::string name;
  int count;  ///< Number of requests it applies to; 0 or less for all until cleared.
  Duration time;
  std::string method;       ///< Only requests of this method; empty for all.
  std::string path_prefix;  ///< Only requests whose path starts with it.
};

/// Decodes a fault from JSON `{"fault": NAME, "count": N, "ms": N, "method": M, "path": PREFIX}`,
/// in which only `fault` is required. On failure returns std::nullopt and sets `last_reason`.
std::optional<Fault> DecodeFault(std::string_view text, std::string* last_reason);

/// Pending faults of a fake server.
class FaultPlan {
 public:
  void Add(Fault fault) { m_faults.push_back(std::move(fault)); }
  void Clear() { m_faults.clear(); }

  /// Consumes one use of the first fault `name` that matches the request, if any.
  std::optional<Fault> Take(std::string_view name, std::string_view method, std::string_view path);

 private:
  std::vector<Fault> m_faults;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_FAULT_PLAN_H_
