#ifndef CRANBERRYPLANK_DAEMON_ADMIN_EDITS_H_
#define CRANBERRYPLANK_DAEMON_ADMIN_EDITS_H_

#include <functional>
#include <string>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/bundle/bundle_verifier.h"
#include "cranberryplank/control/head_control.h"
#include "cranberryplank/model/fleet.h"

namespace cranberryplank {

/// Configuration changes that operators request. Each function returns an edit that fails, with a
/// reason, if it conflicts with the newest configuration.

HeadControl::FleetEdit GrantKeyEdit(const KeyGrant& grant);
HeadControl::FleetEdit SetTeamEdit(const Team& team);
HeadControl::FleetEdit AddVmEdit(const Vm& vm);

/// @param is_missing returns whether the VM is missing from the platform's list, in which case its
///   worker cannot be asked whether it is empty
HeadControl::FleetEdit RemoveVmEdit(const std::string& id, std::function<bool()> is_missing);

/// Verifies a bundle and makes it the active one.
HeadControl::FleetEdit SubmitBundleEdit(const Bundle& bundle, const ApproverKeys& approvers,
                                        int approvals_required);

/// Records a bundle, whose text is in the store, as the candidate for the next active bundle.
/// @param apply edit that activates the bundle; the candidate is rejected if this edit fails
HeadControl::FleetEdit RecordCandidateEdit(const Bundle& bundle, HeadControl::FleetEdit apply);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_ADMIN_EDITS_H_
