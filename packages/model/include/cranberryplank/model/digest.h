#ifndef CRANBERRYPLANK_MODEL_DIGEST_H_
#define CRANBERRYPLANK_MODEL_DIGEST_H_

#include <compare>
#include <string>
#include <string_view>

namespace cranberryplank {

/// SHA-256 digest in lower-case hexadecimal.
struct Digest {
  std::string hex;

  auto operator<=>(const Digest&) const = default;
};

/// Returns the SHA-256 digest of `data`.
Digest Sha256(std::string_view data);

/// Compares two digests in constant time.
bool EqualConstantTime(const Digest& a, const Digest& b);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_DIGEST_H_
