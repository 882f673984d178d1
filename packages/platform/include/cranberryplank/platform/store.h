#ifndef CRANBERRYPLANK_PLATFORM_STORE_H_
#define CRANBERRYPLANK_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Outcome of a call to the store.
enum class StoreStatus {
  kOk,        ///< The read returned an answer, or the write took effect.
  kConflict,  ///< The compare-and-swap failed; it had no effect and never will.
  kRefused,   ///< The write had no effect and never will.
  kUnknown,   ///< No complete answer; a write may have taken effect or may still do so.
};

/// Reply to a read.
struct StoreReadReply {
  StoreStatus status = StoreStatus::kUnknown;
  bool found = false;
  std::string value;
  std::uint64_t index = 0;        ///< Version for a compare-and-swap; 0 if the key is absent.
  std::uint64_t watch_index = 0;  ///< Version to pass to the next watch.
  std::string reason;             ///< Set unless the status is kOk.
};

/// Reply to a write.
struct StoreWriteReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::string reason;  ///< Set unless the status is kOk.
};

/// Interface to the platform's key-value store. Each callback runs exactly once, from the event
/// loop and never from within the call; `now` is the time at which it runs.
class Store {
 public:
  using ReadCallback = std::function<void(TimePoint now, const StoreReadReply& reply)>;
  using WriteCallback = std::function<void(TimePoint now, const StoreWriteReply& reply)>;

  virtual ~Store() = default;

  /// Reads the current value of `key` (a consistent read, never one from a lagging replica).
  virtual void Read(std::string_view key, ReadCallback done) = 0;

  /// Calls `done` once `key` has changed since `watch_index`, or after `wait` with the same value.
  virtual void Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
                     ReadCallback done) = 0;

  /// Writes `value` if the key's version is still `index`; 0 means that the key must be absent.
  virtual void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                              WriteCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_STORE_H_
