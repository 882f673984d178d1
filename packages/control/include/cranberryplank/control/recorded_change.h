#ifndef CRANBERRYPLANK_CONTROL_RECORDED_CHANGE_H_
#define CRANBERRYPLANK_CONTROL_RECORDED_CHANGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Nonce and content of an operator's change. Both are empty for a change that no operator asked
/// for, which is never recognised as repeated.
struct ChangeIdentity {
  std::string nonce;
  std::string fingerprint;

  bool operator==(const ChangeIdentity&) const = default;
};

/// Reason for refusing a nonce that belongs to a change with another content.
inline constexpr std::string_view kNonceOfAnotherChange = "the nonce was used for another change";

/// Identity of the withdrawal of a key. Every daemon can work it out, since another daemon than
/// the one asked may have to record the withdrawal.
ChangeIdentity WithdrawalIdentity(std::string_view nonce, std::string_view key_digest);

/// Returns the result of a change that `fleet` records under the same nonce: recorded, or rejected
/// if its content is another. Returns nothing if there is none.
std::optional<ChangeResult> FindRecorded(const Fleet& fleet, const ChangeIdentity& identity);

/// Returns an edit that adds the change's record to what `edit` makes, and that refuses if the
/// nonce is recorded already.
HeadControl::FleetEdit RecordedEdit(const ChangeIdentity& identity, HeadControl::FleetEdit edit);

/// Submits a change with its record. A change that is recorded already is not made again; `done`
/// gets the result of the first one.
void SubmitRecorded(TimePoint now, HeadControl* head, std::string_view description,
                    const ChangeIdentity& identity, HeadControl::FleetEdit edit,
                    HeadControl::ChangeCallback done);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_RECORDED_CHANGE_H_
