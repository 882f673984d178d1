#ifndef CRANBERRYPLANK_BUNDLE_SIGNING_KEY_H_
#define CRANBERRYPLANK_BUNDLE_SIGNING_KEY_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/model/digest.h"

namespace cranberryplank {

inline constexpr std::size_t kPublicKeyBytes = 32;
inline constexpr std::size_t kSecretKeyBytes = 64;

/// Ed25519 public key of an approver.
class PublicKey {
 public:
  /// Reads a key from hexadecimal digits; surrounding white space is allowed.
  static std::optional<PublicKey> FromHex(std::string_view hex);

  std::string Hex() const;

  /// Checks a signature in hexadecimal over a digest.
  bool Verify(const Digest& digest, std::string_view signature_hex) const;

  bool operator==(const PublicKey&) const = default;

 private:
  friend class SigningKey;
  std::array<unsigned char, kPublicKeyBytes> m_bytes{};
};

/// Ed25519 secret key of an approver. Its memory is cleared when it is destroyed.
class SigningKey {
 public:
  static SigningKey Generate();
  static std::optional<SigningKey> FromHex(std::string_view hex);

  ~SigningKey();
  SigningKey(const SigningKey&) = default;
  SigningKey& operator=(const SigningKey&) = default;

  std::string Hex() const;
  PublicKey Public() const;

  /// Returns the signature over a digest in hexadecimal.
  std::string Sign(const Digest& digest) const;

 private:
  SigningKey() = default;
  std::array<unsigned char, kSecretKeyBytes> m_bytes{};
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_BUNDLE_SIGNING_KEY_H_
