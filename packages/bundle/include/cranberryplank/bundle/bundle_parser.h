#ifndef CRANBERRYPLANK_BUNDLE_BUNDLE_PARSER_H_
#define CRANBERRYPLANK_BUNDLE_BUNDLE_PARSER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/bundle/bundle.h"

namespace cranberryplank {

/// Largest bundle, because the store accepts values of up to 1 MB.
inline constexpr std::size_t kMaxBundleBytes = 1'000'000;

/// Reads bundles. A document with unknown or missing fields is refused.
class BundleParser {
 public:
  /// Parses the document; BundleChecker checks its content.
  std::optional<Bundle> Parse(std::string_view text);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_BUNDLE_PARSER_H_
