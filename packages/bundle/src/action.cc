#include "cranberryplank/bundle/action.h"

#include <algorithm>
#include <array>

namespace cranberryplank {

bool Action::AcceptsParameter(std::string_view parameter) const {
  return std::find(required.begin(), required.end(), parameter) != required.end() ||
         std::find(optional.begin(), optional.end(), parameter) != optional.end();
}

std::span<const Action> Actions() {
  static const std::array<Action, 15> actions = {
      Action{"status", true, {}, {}},
      Action{"team-list", true, {}, {}},
      Action{"team-set", false, {"team", "share_weight", "upper_limit"}, {}},
      Action{"pool-list", true, {}, {}},
      Action{"vm-list", true, {}, {"pool"}},
      Action{"vm-move", false, {"vm", "pool"}, {}},
      Action{"vm-drain", false, {"vm"}, {}},
      Action{"vm-cancel", false, {"vm"}, {}},
      Action{"vm-add",
             false,
             {"vm", "host", "port", "zone", "rack", "pool", "slots", "cores", "memory_gb",
              "accelerators"},
             {}},
      Action{"vm-remove", false, {"vm"}, {}},
      Action{"key-grant", false, {"digest", "team"}, {}},
      Action{"key-withdraw", false, {"digest"}, {}},
      Action{"maintenance-start", false, {"pool"}, {"vms"}},
      Action{"maintenance-status", true, {}, {}},
      Action{"maintenance-stop", false, {"pool"}, {}},
  };
  return actions;
}

const Action* FindAction(std::string_view name) {
  const auto actions = Actions();
  const auto found = std::find_if(actions.begin(), actions.end(),
                                  [&](const Action& action) { return action.name == name; });
  return found == actions.end() ? nullptr : &*found;
}

}  // namespace cranberryplank
