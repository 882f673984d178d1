#ifndef CRANBERRYPLANK_DAEMON_ADMIN_API_H_
#define CRANBERRYPLANK_DAEMON_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/maintenance_coordinator.h"
#include "cranberryplank/daemon/admin_parts.h"
#include "cranberryplank/daemon/api_server.h"

namespace cranberryplank {

/// HTTP interface for operators under `/v1/admin/`, described in docs/API.md.
class AdminApi {
 public:
  explicit AdminApi(const AdminParts& parts) : m_parts(parts) {}

  /// Handles a request if its path belongs to this interface.
  /// @return false if it does not
  bool Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);

  /// Answers those who wait for a revision to be in effect, and those whose change takes too long.
  void Tick(TimePoint now);

 private:
  using Exchange = std::shared_ptr<ApiExchange>;

  struct DelayedReply {
    Exchange exchange;
    std::uint64_t revision = 0;
    TimePoint deadline;
    std::string denied_key;   ///< Digest whose withdrawal is to be recorded; else empty.
    ChangeIdentity identity;  ///< Of the withdrawal.
  };

  /// Change that is to be answered by some time.
  struct UnansweredChange {
    std::weak_ptr<ApiExchange> exchange;  ///< Expires with the answer.
    TimePoint deadline;
  };

  bool Authorized(const ApiRequest& request) const;
  void Read(TimePoint now, const Exchange& exchange, std::string_view path);
  void Change(TimePoint now, const Exchange& exchange, std::string_view path);
  void ReadRevision(TimePoint now, const Exchange& exchange, std::string_view number);

  void SubmitBundle(TimePoint now, const Exchange& exchange);
  void GrantKey(TimePoint now, const Exchange& exchange);
  void WithdrawKey(TimePoint now, const Exchange& exchange, const std::string& digest);
  void SetTeam(TimePoint now, const Exchange& exchange, const std::string& name);
  void AddVm(TimePoint now, const Exchange& exchange);
  void RemoveVm(TimePoint now, const Exchange& exchange, const std::string& id);
  void DrainVm(TimePoint now, const Exchange& exchange, const std::string& id);
  void MoveVm(TimePoint now, const Exchange& exchange, const std::string& id);
  void CancelMove(TimePoint now, const Exchange& exchange, const std::string& id);
  void StartWave(TimePoint now, const Exchange& exchange, const std::string& pool);
  void StopWave(TimePoint now, const Exchange& exchange, const std::string& pool);

  /// Tells whether the nonce is known to belong to a change with another content. A document can
  /// refuse only nonces that it holds itself, so this looks at all that the daemon has read.
  bool NonceOfAnotherChange(const ChangeIdentity& identity) const;

  /// Submits `edit` under the request's nonce: a nonce that is recorded already is answered as
  /// before and not carried out again.
  void Submit(TimePoint now, const Exchange& exchange, std::string_view description,
              HeadControl::FleetEdit edit);
  void ReplyChange(TimePoint now, const Exchange& exchange, const ChangeResult& result) const;
  void ReplyRecorded(TimePoint now, const Exchange& exchange, std::uint64_t revision) const;
  bool TryReply(TimePoint now, const DelayedReply& delayed);
  void ReplyToTimedOutChanges(TimePoint now);
  HeadControl::ChangeCallback ChangeReply(const Exchange& exchange,
                                          std::string_view description) const;
  MaintenanceCoordinator::ResultCallback WaveReply(const Exchange& exchange) const;

  AdminParts m_parts;
  std::vector<DelayedReply> m_delayed_replies;
  std::vector<UnansweredChange> m_unanswered_changes;  ///< In order of their limits.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_ADMIN_API_H_
