#include "cranberryplank/control/recorded_change.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "cranberryplank/model/digest.h"

namespace cranberryplank {

ChangeIdentity WithdrawalIdentity(std::string_view nonce, std::string_view key_digest) {
  return ChangeIdentity{std::string(nonce), Sha256(fmt::format("withdraw {}", key_digest)).hex};
}

std::optional<ChangeResult> FindRecorded(const Fleet& fleet, const ChangeIdentity& identity) {
  const auto change =
      std::find_if(fleet.changes.begin(), fleet.changes.end(),
                   [&](const ChangeRecord& recorded) { return recorded.nonce == identity.nonce; });
  if (identity.nonce.empty() || change == fleet.changes.end()) {
    return std::nullopt;
  }
  if (change->fingerprint != identity.fingerprint) {
    return ChangeResult{ChangeOutcome::kRejected, fleet.revision,
                        std::string(kNonceOfAnotherChange)};
  }
  return ChangeResult{ChangeOutcome::kRecorded, change->revision, ""};
}

HeadControl::FleetEdit RecordedEdit(const ChangeIdentity& identity, HeadControl::FleetEdit edit) {
  return [identity, edit = std::move(edit)](const Fleet& current,
                                            std::string* last_reason) -> std::optional<Fleet> {
    if (const auto recorded = FindRecorded(current, identity)) {
      *last_reason =
          recorded->outcome == ChangeOutcome::kRecorded ? "recorded before" : recorded->reason;
      return std::nullopt;
    }
    auto next = edit(current, last_reason);
    if (!next || identity.nonce.empty()) {
      return next;
    }
    next->changes.push_back(
        ChangeRecord{identity.nonce, identity.fingerprint, current.revision + 1});
    if (next->changes.size() > kRememberedChanges) {
      next->changes.erase(next->changes.begin());
    }
    return next;
  };
}

void SubmitRecorded(TimePoint now, HeadControl* head, std::string_view description,
                    const ChangeIdentity& identity, HeadControl::FleetEdit edit,
                    HeadControl::ChangeCallback done) {
  // The result only reports that the edit refused, so the edit stores the recorded change that it
  // found.
  const auto found = std::make_shared<std::optional<ChangeResult>>();
  const auto checking_edit = [identity, found, edit = RecordedEdit(identity, std::move(edit))](
                                 const Fleet& current, std::string* last_reason) {
    *found = FindRecorded(current, identity);
    return edit(current, last_reason);
  };
  head->Submit(now, description, checking_edit,
               [found, done = std::move(done)](TimePoint at, const ChangeResult& result) {
                 const bool refused = result.outcome == ChangeOutcome::kRejected ||
                                      result.outcome == ChangeOutcome::kConflict;
                 done(at, refused && *found ? **found : result);
               });
}

}  // namespace cranberryplank
