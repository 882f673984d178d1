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

/// Time without a confirmed configuration after which a daemon refuses its waiting requests, so
/// that callers can try another daemon. Also the retry delay sent to refused callers.
inline constexpr Duration kStaleGracePeriod{1'000};

/// Refuses waiting requests that can no longer be served here, and answers requests whose outcome
/// could not be determined in time.
class WaitingRequestExpirer {
 public:
  /// Returns the time until which this daemon may dispatch, or `std::nullopt` with the reason set.
  using FreshnessCheck =
      std::function<std::optional<TimePoint>(TimePoint now, std::string* last_reason)>;

  /// All pointers must outlive this object.
  WaitingRequestExpirer(const HeadControl* head, const AdmissionCheck* admission,
                        WaitingQueue* queue, PendingRequests* pending, DemandTable* demand,
                        FreshnessCheck fresh_until);

  /// Refuses or answers all requests that are due.
  void Tick(TimePoint now);

  /// Refuses waiting requests whose deadline has passed.
  void RefuseExpired(TimePoint now);

  /// Refuses waiting requests whose key or queue is no longer valid.
  void RefuseNotAdmitted(TimePoint now);

  /// Refuses all waiting requests.
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
  std::optional<TimePoint> m_stale_since;  ///< When the configuration ceased to be confirmed.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_WAITING_REQUEST_EXPIRER_H_
