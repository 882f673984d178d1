#ifndef CRANBERRYPLANK_CONTROL_HEAD_REPLICA_H_
#define CRANBERRYPLANK_CONTROL_HEAD_REPLICA_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/control/head_control.h"
#include "cranberryplank/model/head.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"
#include "cranberryplank/peers/peer_links.h"
#include "cranberryplank/platform/store.h"
#include "cranberryplank/platform/vm_directory.h"

namespace cranberryplank {

/// Time for which a confirmation of the newest head allows dispatching.
inline constexpr Duration kFreshness{2'000};

/// Added to `kFreshness` before a change counts as in effect; covers clocks that run at slightly
/// different rates.
inline constexpr Duration kEffectMargin{500};

/// Rules that the randomised test weakens to show that it detects the faults they prevent. Programs
/// use the defaults.
struct MembershipRules {
  bool count_from_swap = false;  ///< Count `kFreshness` from the swap, not from the majority.
  bool wait_for_acknowledgements = true;
  bool one_registration_at_a_time = true;
};

/// Progress of the denial of a key.
struct DenialStatus {
  int refused_on = 0;                     ///< Registered daemons known to refuse the key.
  int registered = 0;                     ///< Registered daemons.
  std::optional<std::uint64_t> revision;  ///< Set once the withdrawal is recorded.

  /// Returns for example "refused on 3 of 7 daemons, not yet recorded".
  std::string ToString() const;
};

class DeniedKeys;
class EffectTracker;
class FreshnessTracker;
class HeadReader;
class HeadWriter;
class Registrar;
class VmPresence;

/// Maintains this daemon's copy of the head, its registration and its heartbeats. A passive state
/// machine that acts only in `Tick` and in the callbacks of the objects passed to it.
class HeadReplica : public HeadControl, public sigc::trackable {
 public:
  /// Fills in demand, free slots and leaving VMs; the replica sets every other field.
  using HeartbeatContent = std::function<void(TimePoint now, Heartbeat* heartbeat)>;
  using HeartbeatSignal = sigc::signal<void, TimePoint /*now*/, const Heartbeat& /*beat*/>;
  using DecisionSignal = sigc::signal<void, TimePoint /*now*/, const std::string& /*line*/>;
  using RemovedSignal = sigc::signal<void, TimePoint /*now*/>;
  using DeregisteredCallback = std::function<void(TimePoint now)>;

  /// Longest useful interval between calls of `Tick`.
  static constexpr Duration kTickInterval{50};

  /// @param self this daemon's record, with an incarnation that is unique to this process.
  /// @param first_peers daemons to ask for the head until one is known. An empty incarnation stands
  ///     for whichever daemon answers at the address.
  /// The references must outlive the replica.
  HeadReplica(DaemonRecord self, std::vector<DaemonRecord> first_peers, Store& store,
              VmDirectory& directory, PeerLinks& links, RandomSource& random,
              MembershipRules rules = {});
  ~HeadReplica() override;
  HeadReplica(const HeadReplica&) = delete;
  HeadReplica& operator=(const HeadReplica&) = delete;

  /// Runs the actions that are due. Must be called at least every `kTickInterval`.
  void Tick(TimePoint now);

  const Head& head() const override;
  const Fleet& fleet() const override;
  std::string_view incarnation() const override;
  std::optional<TimePoint> FreshUntil(TimePoint now, std::string* last_reason) const override;
  void Submit(TimePoint now, std::string_view description, FleetEdit edit,
              ChangeCallback done) override;
  EffectStatus StatusOf(std::uint64_t revision, TimePoint now) const override;
  bool MayStillDispatch(std::string_view incarnation, TimePoint now) const override;

  /// Newest revision that this daemon knows to be in effect; 0 before the first.
  std::uint64_t effective_revision() const;

  /// Returns whether the held head lists this daemon.
  bool registered() const;

  /// Deregisters this daemon for a planned stop; it dispatches nothing after this call.
  /// @param done runs once the removal is recorded and in effect. It does not run while the
  ///     store is unavailable, so the caller limits the wait.
  void Deregister(TimePoint now, DeregisteredCallback done);

  /// Refuses a key from now on, sends the denial to the other daemons and records the withdrawal as
  /// soon as the store permits.
  /// @param change_nonce nonce of the operator's change, recorded with it; may be empty
  void DenyKey(TimePoint now, const Digest& key, std::string_view change_nonce = {});

  /// Returns whether a key is refused although the held configuration may still list it.
  bool IsDenied(const Digest& key) const;

  /// Returns nothing if the key was never denied or its recorded denial is no longer kept.
  std::optional<DenialStatus> DenialOf(const Digest& key) const;

  void SetHeartbeatContent(HeartbeatContent content);

  /// Emitted for each heartbeat received from a registered daemon.
  HeartbeatSignal& signal_heartbeat() { return m_heartbeat; }

  /// Emitted when another daemon removed this one from the head. The incarnation does not register
  /// again, since its rights may have been reassigned, so the process has to restart.
  RemovedSignal& signal_removed() { return m_removed; }

  /// Log line (key=value) for each registration change that this daemon recorded.
  DecisionSignal& signal_decision();

 private:
  struct PeerState;

  void OnMessage(TimePoint now, const std::string& sender, const PeerMessage& message);
  void OnHeartbeat(TimePoint now, const std::string& sender, const Heartbeat& heartbeat);
  void OnLinkUp(TimePoint now, const std::string& incarnation);
  void OnApplied(TimePoint now);
  Heartbeat NextHeartbeat(TimePoint now) const;
  /// @param at_once whether to send before the usual interval, as far as the byte budget allows
  void SendHeartbeats(TimePoint now, bool at_once = false);
  void SendHeartbeat(TimePoint now, const std::string& incarnation, Heartbeat heartbeat);
  void UpdatePeers(TimePoint now);
  void RecordDenials(TimePoint now);
  std::set<std::string> FindMissingDaemons() const;
  bool AwaitsStoreRead() const;  ///< For a `MayStillDispatch` query.
  void FinishDeregistration(TimePoint now);

  DaemonRecord m_self;
  std::vector<DaemonRecord> m_first_peers;
  PeerLinks& m_links;
  std::unique_ptr<HeadReader> m_reader;
  std::unique_ptr<FreshnessTracker> m_freshness;
  std::unique_ptr<EffectTracker> m_effect;
  std::unique_ptr<HeadWriter> m_writer;
  std::unique_ptr<VmPresence> m_presence;
  std::unique_ptr<Registrar> m_registrar;
  std::unique_ptr<DeniedKeys> m_denied;
  std::unique_ptr<PeerState> m_peers;
  HeartbeatContent m_content;
  DeregisteredCallback m_deregistered;
  HeartbeatSignal m_heartbeat;
  RemovedSignal m_removed;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_HEAD_REPLICA_H_
