#ifndef CRANBERRYPLANK_MODEL_RANDOM_H_
#define CRANBERRYPLANK_MODEL_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>

namespace cranberryplank {

/// Source of random numbers; abstract so that tests can reproduce a run from its seed.
class RandomSource {
 public:
  virtual ~RandomSource() = default;

  /// Returns 64 uniformly distributed bits.
  virtual std::uint64_t Next() = 0;

  /// Returns a uniformly distributed number in [0, bound). `bound` must be above 0.
  std::uint64_t Below(std::uint64_t bound);

  /// Returns a uniformly distributed number in [0, 1).
  double Fraction();

  /// Returns 128 random bits in hexadecimal, for nonces and ids.
  std::string Nonce();
};

/// Random numbers from the operating system.
class SystemRandom : public RandomSource {
 public:
  SystemRandom();
  std::uint64_t Next() override;
};

/// Reproducible random numbers for tests and benchmarks.
class SeededRandom : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : m_engine(seed) {}
  std::uint64_t Next() override { return m_engine(); }

 private:
  std::mt19937_64 m_engine;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_RANDOM_H_
