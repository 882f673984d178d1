#include "cranberryplank/bundle/signing_key.h"

#include <sodium.h>

#include <cstdlib>

namespace cranberryplank {

namespace {

static_assert(kPublicKeyBytes == crypto_sign_PUBLICKEYBYTES);
static_assert(kSecretKeyBytes == crypto_sign_SECRETKEYBYTES);

constexpr const char* kWhiteSpace = " \t\r\n";

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  std::string hex(size * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), bytes, size);
  hex.pop_back();
  return hex;
}

/// Decodes exactly `size` bytes.
bool FromHexDigits(std::string_view hex, unsigned char* bytes, std::size_t size,
                   const char* ignored) {
  std::size_t length = 0;
  const char* end = nullptr;
  return sodium_hex2bin(bytes, size, hex.data(), hex.size(), ignored, &length, &end) == 0 &&
         length == size && end == hex.data() + hex.size();
}

const unsigned char* Bytes(const std::string& text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::optional<PublicKey> PublicKey::FromHex(std::string_view hex) {
  PublicKey key;
  if (!FromHexDigits(hex, key.m_bytes.data(), key.m_bytes.size(), kWhiteSpace)) {
    return std::nullopt;
  }
  return key;
}

std::string PublicKey::Hex() const { return ToHex(m_bytes.data(), m_bytes.size()); }

bool PublicKey::Verify(const Digest& digest, std::string_view signature_hex) const {
  std::array<unsigned char, crypto_sign_BYTES> signature;
  return FromHexDigits(signature_hex, signature.data(), signature.size(), nullptr) &&
         crypto_sign_verify_detached(signature.data(), Bytes(digest.hex), digest.hex.size(),
                                     m_bytes.data()) == 0;
}

SigningKey SigningKey::Generate() {
  if (sodium_init() < 0) {
    std::abort();
  }
  SigningKey key;
  PublicKey ignored;
  crypto_sign_keypair(ignored.m_bytes.data(), key.m_bytes.data());
  return key;
}

std::optional<SigningKey> SigningKey::FromHex(std::string_view hex) {
  SigningKey key;
  if (!FromHexDigits(hex, key.m_bytes.data(), key.m_bytes.size(), kWhiteSpace)) {
    return std::nullopt;
  }
  return key;
}

SigningKey::~SigningKey() { sodium_memzero(m_bytes.data(), m_bytes.size()); }

std::string SigningKey::Hex() const { return ToHex(m_bytes.data(), m_bytes.size()); }

PublicKey SigningKey::Public() const {
  PublicKey key;
  crypto_sign_ed25519_sk_to_pk(key.m_bytes.data(), m_bytes.data());
  return key;
}

std::string SigningKey::Sign(const Digest& digest) const {
  std::array<unsigned char, crypto_sign_BYTES> signature;
  crypto_sign_detached(signature.data(), nullptr, Bytes(digest.hex), digest.hex.size(),
                       m_bytes.data());
  return ToHex(signature.data(), signature.size());
}

}  // namespace cranberryplank
