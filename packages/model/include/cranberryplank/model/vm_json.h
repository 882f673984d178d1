#ifndef CRANBERRYPLANK_MODEL_VM_JSON_H_
#define CRANBERRYPLANK_MODEL_VM_JSON_H_

#include <nlohmann/json_fwd.hpp>

#include "cranberryplank/model/vm.h"

namespace cranberryplank {

/// Returns a VM's record in the JSON form used by the store and the administration interface.
nlohmann::json EncodeVm(const Vm& vm);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_VM_JSON_H_
