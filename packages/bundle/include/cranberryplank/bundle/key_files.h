#ifndef CRANBERRYPLANK_BUNDLE_KEY_FILES_H_
#define CRANBERRYPLANK_BUNDLE_KEY_FILES_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/bundle/signing_key.h"

namespace cranberryplank {

/// Key pairs of approvers as files: NAME.key, readable by its owner only, and NAME.pub, each with
/// the key in hexadecimal.
class KeyFiles {
 public:
  /// Writes a new pair to `path`.key and `path`.pub. Existing files are never replaced.
  bool Create(const std::string& path);

  std::optional<SigningKey> ReadSecret(const std::string& path);
  std::optional<PublicKey> ReadPublic(const std::string& path);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  bool Write(const std::string& path, std::string_view text, int mode);
  std::optional<std::string> Read(const std::string& path);

  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_KEY_FILES_H_
