#ifndef CRANBERRYPLANK_ENTRY_CLAIM_RULES_H_
#define CRANBERRYPLANK_ENTRY_CLAIM_RULES_H_

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// State of the current owner as known to a daemon that decides whether to claim the schedule.
struct ClaimInput {
  bool owner_known = false;
  bool own_stale_record = false;         ///< See `ScheduleOwnership::is_own_stale_record`.
  bool denies_ownership = false;         ///< The daemon at the owner's address replied kNotOwner.
  bool refused = false;                  ///< The owner's address refuses connections.
  bool owner_store_unreachable = false;  ///< The owner reports that the store does not answer it.
  Duration silence{0};  ///< Age of the oldest ping that the owner has not answered.
  /// Time since the owner was last seen to have written to the store.
  Duration since_write = Duration::max();
  Duration known_for{0};  ///< Time since this daemon read the current record.
  Duration store_age{0};  ///< Time since sending the newest call that the store answered.
};

/// Returns whether to claim the schedule. A claim is always safe because each one gets its own
/// epoch. This check keeps daemons from taking over from a healthy owner.
bool ShouldClaim(const ClaimInput& input);

/// Returns a delay that lets daemons on stronger VMs claim first, because the owner does most of
/// the work.
/// @param cores processing power of the VM, in cores of standard speed
/// @param strongest_cores that of the strongest VM known; 0 if none is known
/// @param had_owner the schedule has had an owner
Duration ClaimDelay(double cores, double strongest_cores, bool had_owner);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_CLAIM_RULES_H_
