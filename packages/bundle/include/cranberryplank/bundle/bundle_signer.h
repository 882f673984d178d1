#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_SIGNER_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_SIGNER_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/bundle/signing_key.h"
#include "cranberryplank/model/digest.h"

namespace cranberryplank {

/// Digest that an approval of `bundle` signs.
Digest ApprovalDigest(const Bundle& bundle);

/// Digest that the retirement of a command signs.
Digest RetirementDigest(std::string_view command, std::string_view reason);

/// Adds signatures to bundle documents.
class BundleSigner {
 public:
  /// Returns the document with `approver`'s approval added, or replaced if there is one already.
  std::optional<std::string> Approve(std::string_view text, std::string_view approver,
                                     const SigningKey& key);

  /// Returns the document with `command` retired. Removes the approvals, because
  /// they are no longer valid.
  std::optional<std::string> Retire(std::string_view text, std::string_view command,
                                    std::string_view reason, std::string_view approver,
                                    const SigningKey& key);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_SIGNER_H_
