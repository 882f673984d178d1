#ifndef CRANBERRYPLANK_PLATFORM_VM_DIRECTORY_H_
#define CRANBERRYPLANK_PLATFORM_VM_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Entry of the platform's VM list. The list lags behind the actual state.
struct VmListing {
  std::string id;
  bool leaving = false;

  bool operator==(const VmListing&) const = default;
};

/// Complete list of VMs. The index changes with the list; 0 means that the platform returned no
/// index, so that changes cannot be watched.
struct VmList {
  std::vector<VmListing> listings;
  std::uint64_t index = 0;
};

/// Interface to the platform's list of live and leaving VMs. Each callback runs exactly once, from
/// the event loop and never from within the call.
class VmDirectory {
 public:
  /// `list` is empty, with `last_reason` set, if no complete list was received.
  using ListCallback = std::function<void(TimePoint now, const std::optional<VmList>& list,
                                          std::string_view last_reason)>;
  /// `index` is empty, with `last_reason` set, if no valid answer was received.
  using IndexCallback = std::function<void(TimePoint now, std::optional<std::uint64_t> index,
                                           std::string_view last_reason)>;

  virtual ~VmDirectory() = default;

  /// Reads the list of `service`: "worker" for workers, "cranberryplankd" for entry VMs.
  virtual void List(std::string_view service, ListCallback done) = 0;

  /// Returns the index of the list once it differs from `index`, or after `wait`; immediately if
  /// `index` is 0. The list itself is not read.
  virtual void WatchIndex(std::string_view service, std::uint64_t index, Duration wait,
                          IndexCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_VM_DIRECTORY_H_
