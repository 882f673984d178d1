#include "cranberryplank/model/random.h"

#include <fmt/format.h>
#include <sodium.h>

#include <cstdlib>

namespace cranberryplank {

std::uint64_t RandomSource::Below(std::uint64_t bound) {
  // Rejects values that would bias the remainder.
  const std::uint64_t limit = UINT64_MAX - UINT64_MAX % bound;
  std::uint64_t value = Next();
  while (value >= limit) {
    value = Next();
  }
  return value % bound;
}

double RandomSource::Fraction() {
  constexpr int kMantissaBits = 53;
  return static_cast<double>(Next() >> (64 - kMantissaBits)) * 0x1.0p-53;
}

std::string RandomSource::Nonce() { return fmt::format("{:016x}{:016x}", Next(), Next()); }

SystemRandom::SystemRandom() {
  if (sodium_init() < 0) {
    std::abort();
  }
}

std::uint64_t SystemRandom::Next() {
  std::uint64_t value = 0;
  randombytes_buf(&value, sizeof value);
  return value;
}

}  // namespace cranberryplank
