#include "cranberryplank/entry/client_limits.h"

#include <catch2/catch.hpp>

namespace cranberryplank {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20U;
/// Memory and descriptors of the smallest VM.
constexpr std::size_t kSmallestMemory = 160 * kMegabyte;
constexpr std::size_t kSmallestDescriptors = 4'100;

// Guards against limits of which each is kept and whose sum exceeds the memory. What is left is for
// the owner's tables and the calls to the store and to workers.
TEST_CASE("what clients can make a daemon hold leaves a fifth of the memory") {
  const std::size_t memory = GENERATE(64, 160, 260, 512, 4'096) * kMegabyte;
  const std::size_t descriptors = GENERATE(1'024, 4'100, 8'192);
  CAPTURE(memory / kMegabyte, descriptors);
  CHECK(MostMemoryOfClients(DivideAmongClients(memory, descriptors)) < memory - memory / 5);
}

TEST_CASE("connections of clients leave descriptors for the daemon's own calls") {
  const std::size_t descriptors = GENERATE(256, 1'024, 4'100, 8'192);
  const ClientLimits limits = DivideAmongClients(4'096 * kMegabyte, descriptors);
  const std::size_t all =
      limits.callers.connections.connections + limits.daemons.connections.connections +
      limits.ready.connections.connections + limits.metrics.connections.connections;
  CHECK(all < descriptors - descriptors / 8);
}

// Guards against limits that a client inside the limits of the interface could meet.
TEST_CASE("the smallest VM accepts the largest call and hundreds of connections") {
  constexpr std::size_t kLargestJob = 256 << 10;
  constexpr std::size_t kConnections = 900;
  const ClientLimits limits = DivideAmongClients(kSmallestMemory, kSmallestDescriptors);
  CHECK(limits.callers.max_body_bytes >= kLargestJob);
  CHECK(limits.callers.max_open_bytes >= kLargestJob);
  CHECK(limits.callers.connections.buffered_bytes >= 2 * kLargestJob);
  CHECK(limits.callers.connections.connections >= kConnections);
}

}  // namespace
}  // namespace cranberryplank
