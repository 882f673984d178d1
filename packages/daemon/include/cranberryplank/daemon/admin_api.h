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
  /// @return false if the path belongs to another interface
  bool Handle(TimePoint now, const std::shared_ptr<ApiExchange>& exchange);

  /// Sends the delayed replies that are due, and replies to changes that exceeded their time
  /// limit.
  void Tick(TimePoint now);

 private:
  using Exchange = std::shared_ptr<ApiExchange>;

  /// Reply that waits for a revision to be in effect or a key withdrawal to be recorded.
  struct DelayedReply {
    Exchange exchange;
    std::uint64_t revision = 0;
    TimePoint deadline;
    std::string denied_key;   ///< Digest of the key being withdrawn, if any.
    ChangeIdentity identity;  ///< Identity of the withdrawal.
  };

  /// Change whose outcome has not been reported to the caller.
  struct UnansweredChange {
    std::weak_ptr<ApiExchange> exchange;  ///< Expires when the reply is sent.
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

  /// Returns whether the nonce is known to belong to a change with different content. A store
  /// document can reject only the nonces that it contains, so this checks all documents that the
  /// daemon has read.
  bool NonceOfAnotherChange(const ChangeIdentity& identity) const;

  /// Submits `edit` under the request's nonce. If the nonce is already recorded, sends the recorded
  /// result and does not apply the edit again.
  void Submit(TimePoint now, const Exchange& exchange, std::string_view description,
              HeadControl::FleetEdit edit);
  void ReplyChange(TimePoint now, const Exchange& exchange, const ChangeResult& result) const;
  void ReplyRecorded(TimePoint now, const Exchange& exchange, std::uint64_t revision) const;

  /// Sends the reply if its condition is met or its deadline has passed.
  /// @return false if it has to wait longer
  bool TryReply(TimePoint now, const DelayedReply& delayed);
  void ReplyToTimedOutChanges(TimePoint now);
  HeadControl::ChangeCallback ChangeReply(const Exchange& exchange,
                                          std::string_view description) const;
  MaintenanceCoordinator::ResultCallback WaveReply(const Exchange& exchange) const;

  AdminParts m_parts;
  std::vector<DelayedReply> m_delayed_replies;
  std::vector<UnansweredChange> m_unanswered_changes;  ///< In order of their deadlines.
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_ADMIN_API_H_
