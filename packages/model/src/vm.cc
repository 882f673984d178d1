#include "cranberryplank/model/vm.h"

namespace cranberryplank {

std::string_view ToString(VmState state) {
  switch (state) {
    case VmState::kServing:
      return "serving";
    case VmState::kDraining:
      return "draining";
    case VmState::kEmpty:
      return "empty";
  }
  return "unknown";
}

}  // namespace cranberryplank
