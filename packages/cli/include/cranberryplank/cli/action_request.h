#ifndef CRANBERRYPLANK_CLI_ACTION_REQUEST_H_
#define CRANBERRYPLANK_CLI_ACTION_REQUEST_H_

#include <optional>
#include <string>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/cli/admin_client.h"

namespace cranberryplank {

/// Builds admin API requests for actions.
class ActionRequestBuilder {
 public:
  /// Returns std::nullopt, with `last_reason()` set, if the action is unknown or a parameter is
  /// missing, not accepted by the action, or not valid.
  std::optional<AdminRequest> Build(const std::string& action, const Parameters& parameters);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_ACTION_REQUEST_H_
