#ifndef CRANBERRYPLANK_MODEL_VERDICT_H_
#define CRANBERRYPLANK_MODEL_VERDICT_H_

#include <string_view>

namespace cranberryplank {

/// Whether a request may have run on a worker.
enum class Verdict {
  kNotRun,      ///< No worker has run it and none will.
  kMayHaveRun,  ///< A worker may have run it, may be running it or may still run it.
  kCompleted,   ///< A worker ran it and its complete answer was received.
};

/// Returns the name used in logs and in the API: `not_run`, `may_have_run` or `completed`.
std::string_view ToString(Verdict verdict);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_VERDICT_H_
