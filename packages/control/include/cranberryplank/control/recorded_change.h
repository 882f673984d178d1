#ifndef CRANBERRYPLANK_CONTROL_RECORDED_CHANGE_H_
#define CRANBERRYPLANK_CONTROL_RECORDED_CHANGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Nonce and content fingerprint of an operator's change, which identify a repeated submission.
/// Both are empty for a change that no operator submitted, which is never recognised as repeated.
struct ChangeIdentity {
  std::string nonce;
  std::string fingerprint;

  bool operator==(const ChangeIdentity&) const = default;
};

/// Reason for refusing a nonce that belongs to a change with different content.
inline constexpr std::string_view kNonceOfAnotherChange = "the nonce was used for another change";

/// Identity of the withdrawal of a key. Every daemon can compute it, since a daemon other than the
/// one that accepted the withdrawal may have to record it.
ChangeIdentity WithdrawalIdentity(std::string_view nonce, std::string_view key_digest);

/// Returns the result of a change that `fleet` records under the same nonce: recorded, or rejected
/// if its content differs. Returns nothing if there is none.
std::optional<ChangeResult> FindRecorded(const Fleet& fleet, const ChangeIdentity& identity);

/// Returns an edit that adds the change's record to the result of `edit` and refuses if the nonce
/// is already recorded.
HeadControl::FleetEdit RecordedEdit(const ChangeIdentity& identity, HeadControl::FleetEdit edit);

/// Submits a change with its record. A change that is already recorded is not applied again; `done`
/// receives the result of the first one.
void SubmitRecorded(TimePoint now, HeadControl* head, std::string_view description,
                    const ChangeIdentity& identity, HeadControl::FleetEdit edit,
                    HeadControl::ChangeCallback done);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_RECORDED_CHANGE_H_
