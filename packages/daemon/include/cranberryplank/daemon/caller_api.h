#ifndef CRANBERRYPLANK_DAEMON_CALLER_API_H_
#define CRANBERRYPLANK_DAEMON_CALLER_API_H_

#include <memory>
#include <string>

#include "cranberryplank/daemon/api_server.h"
#include "cranberryplank/daemon/metrics.h"
#include "cranberryplank/daemon/request_router.h"
#include "cranberryplank/daemon/settings.h"

namespace cranberryplank {

/// HTTP interface for callers, with requests, tickets and cancellations.
class CallerApi {
 public:
  /// All arguments must outlive this object.
  CallerApi(const Settings* settings, RequestRouter* router, Metrics* metrics);

  /// Handles a request if its path belongs to this interface.
  /// @return false if it does not
  bool Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);

 private:
  void Submit(TimePoint now, const std::shared_ptr<ApiExchange>& exchange, std::string queue);
  void IssueTickets(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);

  /// Refuses a request that does not reach the router, and counts the reply in the metrics.
  void Refuse(const std::shared_ptr<ApiExchange>& exchange, int status, Verdict verdict,
              std::string_view reason) const;

  const Settings* m_settings;
  RequestRouter* m_router;
  Metrics* m_metrics;
};

/// Returns the SHA-256 digest of the key in an `Authorization: Bearer` header, or an empty string.
std::string KeyDigestOf(const ApiRequest& request);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_CALLER_API_H_
