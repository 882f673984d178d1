#ifndef CRANBERRYPLANK_DAEMON_WAITING_REQUEST_EXPIRER_H_
#define CRANBERRYPLANK_DAEMON_WAITING_REQUEST_EXPIRER_H_

#include <functional>
#include <optional>
#include <string>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/daemon/admission.h"
#include "cranberryplank/daemon/demand_table.h"
#include "cranberryplank/daemon/pending_requests.h"
#include "cranberryplank/policy/waiting_queue.h"

namespace cranberryplank {

/// A daemon that is not fresh for this long refuses what waits, so that callers can go elsewhere.
/// Refused callers are asked to stay away for as long.
inline constexpr Duration kStaleGracePeriod{1'000};

/// Refuses waiting requests that can no longer be served here, and answers those whose fate was
/// looked up in vain.
class WaitingRequestExpirer {
 public:
  /// Tells until when this daemon may dispatch, or nothing with a reason.
  using FreshnessCheck =
      std::function<std::optional<TimePoint>(TimePoint now, std::string* last_reason)>;

  /// All pointers must outlive the sweeper.
  WaitingRequestExpirer(const HeadControl* head, const AdmissionCheck* admission,
                        WaitingQueue* queue, PendingRequests* pending, DemandTable* demand,
                        FreshnessCheck fresh_until);

  /// Does what is due.
  void Tick(TimePoint now);

  /// Refuses requests whose deadline has passed.
  void RefuseExpired(TimePoint now);

  /// Refuses requests whose key or queue is no longer valid.
  void RefuseNotAdmitted(TimePoint now);

  /// Refuses all that wait.
  void RefuseAll(TimePoint now, std::string_view reason);

 private:
  void RefuseStale(TimePoint now);
  void AnswerUnresolved(TimePoint now);

  const HeadControl* m_head;
  const AdmissionCheck* m_admission;
  WaitingQueue* m_queue;
  PendingRequests* m_pending;
  DemandTable* m_demand;
  FreshnessCheck m_fresh_until;
  std::optional<TimePoint> m_stale_since;  ///< Since when this daemon has not been fresh.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_WAITING_REQUEST_EXPIRER_H_
