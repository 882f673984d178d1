#include "cranberryplank/entry/client_limits.h"

#include <algorithm>
#include <initializer_list>

namespace cranberryplank {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16 << 10;
constexpr std::size_t kMaxCallerBodyBytes = 256 << 10;
constexpr std::size_t kMaxDaemonBodyBytes = std::size_t{1} << 20U;
constexpr Duration kCallerIdle{15'000};
constexpr Duration kDaemonIdle{60'000};

/// Part of the memory for open connections, with their queues in the kernel.
constexpr std::size_t kConnectionMemoryDivisor = 3;
/// Part of the memory for incomplete requests and unread responses.
constexpr std::size_t kBufferMemoryDivisor = 8;
/// Buffers take up to this many times the bytes that they hold.
constexpr std::size_t kBufferOverhead = 2;
/// A request that is being handled exists as text, as a decoded job and as a call to the owner.
constexpr std::size_t kCopiesOfBody = 3;
/// Memory of the process for one connection without buffered bytes.
constexpr std::size_t kConnectionBytes = 4 << 10;
/// Connections that the kernel has accepted and the process has not, as evhttp sets it.
constexpr std::size_t kAcceptQueue = 128;

constexpr std::size_t kReceiveQueueBytes = 16 << 10;
constexpr std::size_t kCallerSendQueueBytes = 8 << 10;
constexpr std::size_t kDaemonSendQueueBytes = 16 << 10;

/// The memory for connections is divided into this many parts.
constexpr std::size_t kConnectionParts = 16;

/// Part of one server in what is divided.
struct Part {
  std::size_t descriptor_divisor;  ///< The rest is for calls to the store, workers and daemons.
  std::size_t connection_parts;    ///< Of the memory for connections, of `kConnectionParts`.
  std::size_t buffer_divisor;      ///< Of the memory for buffers.
};

constexpr Part kCallers{2, 8, 2};
constexpr Part kDaemons{4, 6, 4};
constexpr Part kProbes{32, 1, 32};

std::size_t MemoryPerConnection(const ConnectionLimits& limits) {
  return limits.receive_queue_bytes + limits.send_queue_bytes + kConnectionBytes;
}

ApiLimits LimitsOf(const Part& part, std::size_t memory_bytes, std::size_t descriptors,
                   std::size_t max_body_bytes, std::size_t send_queue_bytes) {
  ConnectionLimits connections;
  connections.receive_queue_bytes = kReceiveQueueBytes;
  connections.send_queue_bytes = send_queue_bytes;
  const std::size_t connection_memory =
      memory_bytes / kConnectionMemoryDivisor * part.connection_parts / kConnectionParts;
  connections.connections = std::min(descriptors / part.descriptor_divisor,
                                     connection_memory / MemoryPerConnection(connections));
  connections.buffered_bytes = memory_bytes / kBufferMemoryDivisor / part.buffer_divisor;
  ApiLimits limits;
  limits.max_body_bytes = max_body_bytes;
  limits.max_header_bytes = kMaxHeaderBytes;
  limits.max_open_bytes = std::max(connections.buffered_bytes / kCopiesOfBody, max_body_bytes);
  limits.connections = connections;
  return limits;
}

std::size_t MostMemoryOf(const ApiLimits& limits) {
  const ConnectionLimits& connections = limits.connections;
  return connections.connections * MemoryPerConnection(connections) +
         kAcceptQueue * connections.receive_queue_bytes +
         connections.buffered_bytes * kBufferOverhead + limits.max_open_bytes * kCopiesOfBody;
}

}  // namespace

ClientLimits DivideAmongClients(std::size_t memory_bytes, std::size_t descriptors) {
  ClientLimits limits;
  limits.callers =
      LimitsOf(kCallers, memory_bytes, descriptors, kMaxCallerBodyBytes, kCallerSendQueueBytes);
  limits.callers.idle_timeout = kCallerIdle;
  limits.daemons =
      LimitsOf(kDaemons, memory_bytes, descriptors, kMaxDaemonBodyBytes, kDaemonSendQueueBytes);
  limits.daemons.idle_timeout = kDaemonIdle;
  limits.daemons.urgent = true;
  limits.ready =
      LimitsOf(kProbes, memory_bytes, descriptors, kMaxCallerBodyBytes, kCallerSendQueueBytes);
  limits.ready.idle_timeout = kDaemonIdle;
  limits.metrics = limits.ready;
  return limits;
}

std::size_t MostMemoryOfClients(const ClientLimits& limits) {
  std::size_t bytes = 0;
  for (const ApiLimits& server : {limits.callers, limits.daemons, limits.ready, limits.metrics}) {
    bytes += MostMemoryOf(server);
  }
  return bytes;
}

}  // namespace cranberryplank
