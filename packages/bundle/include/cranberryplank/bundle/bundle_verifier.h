#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_VERIFIER_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_VERIFIER_H_

#include <cstdint>
#include <map>
#include <string>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/bundle/signing_key.h"

namespace cranberryplank {

/// Public keys of approvers by name.
using ApproverKeys = std::map<std::string, PublicKey, std::less<>>;

/// Decides whether a bundle may replace the active one.
class BundleVerifier {
 public:
  /// @param required number of different approvers that must have signed, at least 1
  BundleVerifier(ApproverKeys approvers, int required);

  /// Checks the content, the version, every retirement and the approvals.
  /// @param active_version 0 if there is none
  /// @return false, with `last_reason()` set, if the bundle is refused
  bool Verify(const Bundle& bundle, std::uint64_t active_version);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  bool Refuse(std::string reason);
  bool CheckApprovers();
  bool CheckRetirements(const Bundle& bundle);
  bool CheckApprovals(const Bundle& bundle);

  ApproverKeys m_approvers;
  int m_required;
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_VERIFIER_H_
