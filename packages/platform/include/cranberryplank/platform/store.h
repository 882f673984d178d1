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
  kOk,        ///< The read was answered, or the write took effect.
  kConflict,  ///< The compare-and-swap lost: it had no effect and never will.
  kRefused,   ///< The write had no effect and never will.
  kUnknown,   ///< No whole answer: a write may have taken effect or may yet do so.
};

/// Answer to a read.
struct StoreReadReply {
  StoreStatus status = StoreStatus::kUnknown;
  bool found = false;
  std::string value;
  std::uint64_t index = 0;  ///< Version to name in a compare-and-swap; 0 if the key is absent.
  std::uint64_t watch_index = 0;  ///< Version to pass to the next watch.
  std::string reason;             ///< Set unless the status is kOk.
};

/// Answer to a write.
struct StoreWriteReply {
  StoreStatus status = StoreStatus::kUnknown;
  std::string reason;  ///< Set unless the status is kOk.
};

/// The platform's key-value service. Each callback runs exactly once, from the event loop and
/// never from inside the call itself; `now` is the time at which it runs.
class Store {
 public:
  using ReadCallback = std::function<void(TimePoint now, const StoreReadReply& reply)>;
  using WriteCallback = std::function<void(TimePoint now, const StoreWriteReply& reply)>;

  virtual ~Store() = default;

  /// Reads the newest value of `key` (a consistent read, never one from a lagging replica).
  virtual void Read(std::string_view key, ReadCallback done) = 0;

  /// Answers once `key` has changed since `watch_index`, or after `wait` with the same value.
  virtual void Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
                     ReadCallback done) = 0;

  /// Writes `value` if the key's version still is `index`; 0 means the key must be absent.
  virtual void CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                              WriteCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_STORE_H_
