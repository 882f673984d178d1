#ifndef CRANBERRYPLANK_PLATFORM_VM_DIRECTORY_H_
#define CRANBERRYPLANK_PLATFORM_VM_DIRECTORY_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// One entry of the platform's VM list, which lags behind the truth.
struct VmListing {
  std::string id;
  bool leaving = false;

  bool operator==(const VmListing&) const = default;
};

/// The platform's list of live and leaving VMs.
class VmDirectory {
 public:
  /// `listings` is empty, with `last_reason` set, if no whole list arrived.
  using ListCallback =
      std::function<void(TimePoint now, const std::optional<std::vector<VmListing>>& listings,
                         std::string_view last_reason)>;

  virtual ~VmDirectory() = default;

  /// Reads the list of `service`: "worker" for workers, "cranberryplankd" for entry VMs.
  virtual void List(std::string_view service, ListCallback done) = 0;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_VM_DIRECTORY_H_
