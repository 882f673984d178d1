#ifndef CRANBERRYPLANK_DAEMON_ADMISSION_H_
#define CRANBERRYPLANK_DAEMON_ADMISSION_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/daemon/caller_request.h"
#include "cranberryplank/model/digest.h"
#include "cranberryplank/model/fleet.h"

namespace cranberryplank {

/// Reason for which a request is not admitted, with the corresponding HTTP status.
struct Refusal {
  int status = 0;
  std::string reason;
};

/// Decides whether a request may use a queue with the key that it carries. The check is repeated
/// right before dispatch, so that a queued request does not run after its key was withdrawn.
class AdmissionCheck {
 public:
  /// Returns whether a key is refused although the fleet still lists it.
  using DeniedKeyCheck = std::function<bool(const Digest& key)>;

  explicit AdmissionCheck(DeniedKeyCheck is_denied) : m_is_denied(std::move(is_denied)) {}

  /// Sets `*team` to the team for which the request runs.
  /// @return the refusal, or `std::nullopt` if the request is admitted
  std::optional<Refusal> Check(const Fleet& fleet, std::string_view queue,
                               std::string_view key_digest, std::string* team) const;

  /// Returns the team of a key, or `std::nullopt` with `*refusal` set if the key is not valid.
  std::optional<std::string> TeamOfKey(const Fleet& fleet, std::string_view key_digest,
                                       Refusal* refusal) const;

 private:
  DeniedKeyCheck m_is_denied;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_ADMISSION_H_
