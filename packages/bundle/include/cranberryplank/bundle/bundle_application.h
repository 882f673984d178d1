#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_APPLICATION_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_APPLICATION_H_

#include <optional>
#include <string>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/model/fleet.h"

namespace cranberryplank {

/// Applies a bundle's configuration.
class BundleApplication {
 public:
  /// Returns `fleet` with teams, pools, queues and bundle text replaced. Refuses a configuration
  /// that BundleChecker refuses, a removed pool that still has VMs or that a VM moves to, and a
  /// removed team that still has keys.
  std::optional<Fleet> Apply(const Bundle& bundle, const Fleet& fleet);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_APPLICATION_H_
