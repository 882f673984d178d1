#ifndef CRANBERRYPLANK_BUNDLE_ACTION_H_
#define CRANBERRYPLANK_BUNDLE_ACTION_H_

#include <span>
#include <string_view>
#include <vector>

namespace cranberryplank {

/// Action of this system that a command of the old system can be mapped to. docs/API.md lists
/// the request behind each.
struct Action {
  std::string_view name;
  bool read = false;  ///< Makes no change.
  std::vector<std::string_view> required;
  std::vector<std::string_view> optional;

  bool AcceptsParameter(std::string_view parameter) const;
};

/// Returns all actions.
std::span<const Action> Actions();

/// Returns the action called `name`, or nullptr.
const Action* FindAction(std::string_view name);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_ACTION_H_
