#include "cranberryplank/model/digest.h"

#include <sodium.h>

#include <array>

namespace cranberryplank {

Digest Sha256(std::string_view data) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash;
  crypto_hash_sha256(hash.data(), reinterpret_cast<const unsigned char*>(data.data()), data.size());
  std::array<char, crypto_hash_sha256_BYTES * 2 + 1> hex;
  sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
  return Digest{hex.data()};
}

bool EqualConstantTime(const Digest& a, const Digest& b) {
  return a.hex.size() == b.hex.size() &&
         sodium_memcmp(a.hex.data(), b.hex.data(), a.hex.size()) == 0;
}

}  // namespace cranberryplank
