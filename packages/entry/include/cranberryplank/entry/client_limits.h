#ifndef CRANBERRYPLANK_ENTRY_CLIENT_LIMITS_H_
#define CRANBERRYPLANK_ENTRY_CLIENT_LIMITS_H_

#include <cstddef>

#include "cranberryplank/daemon/api_server.h"

namespace cranberryplank {

/// Limits of the servers of one daemon.
struct ClientLimits {
  ApiLimits callers;
  ApiLimits daemons;
  ApiLimits ready;
  ApiLimits metrics;
};

/// Divides what the process may use among what clients can make it, and the kernel, hold.
/// docs/design/client-limits.md has the whole budget.
/// @param memory_bytes memory of the VM that the process may use
/// @param descriptors number of descriptors that the process may open
ClientLimits DivideAmongClients(std::size_t memory_bytes, std::size_t descriptors);

/// Returns the most memory that clients within these limits can make the process and the kernel
/// hold, in bytes.
std::size_t MostMemoryOfClients(const ClientLimits& limits);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_CLIENT_LIMITS_H_
