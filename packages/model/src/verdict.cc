#include "cranberryplank/model/verdict.h"

namespace cranberryplank {

std::string_view ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kCompleted:
      return "completed";
  }
  return "unknown";
}

}  // namespace cranberryplank
