#include "cranberryplank/control/acting_daemon.h"

#include <string>

namespace cranberryplank {

std::uint32_t StableHash(std::string_view text) {
  // FNV-1a with a final mix. Without the mix, subjects that differ only in the last byte would rank
  // the daemons in the same order.
  std::uint32_t hash = 2166136261U;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * 16777619U;
  }
  hash = (hash ^ (hash >> 16)) * 0x85ebca6bU;
  hash = (hash ^ (hash >> 13)) * 0xc2b2ae35U;
  return hash ^ (hash >> 16);
}

const DaemonRecord* ActingDaemon(const Head& head, std::string_view subject) {
  const DaemonRecord* best = nullptr;
  std::uint32_t best_rank = 0;
  for (const DaemonRecord& daemon : head.daemons) {
    const std::uint32_t rank = StableHash(std::string(subject) + '/' + daemon.incarnation);
    if (best == nullptr || rank > best_rank ||
        (rank == best_rank && daemon.incarnation > best->incarnation)) {
      best = &daemon;
      best_rank = rank;
    }
  }
  return best;
}

}  // namespace cranberryplank
