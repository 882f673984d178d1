#ifndef CRANBERRYPLANK_CONTROL_HEAD_READER_H_
#define CRANBERRYPLANK_CONTROL_HEAD_READER_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "callback_guard.h"
#include "cranberryplank/model/fleet.h"
#include "cranberryplank/model/head.h"
#include "cranberryplank/model/random.h"
#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"
#include "cranberryplank/peers/peer_links.h"
#include "cranberryplank/platform/store.h"

namespace cranberryplank {

/// Keeps the newest head and its parts, from the store and from peers, ordered by revision.
class HeadReader {
 public:
  /// Newest head read from the store, with the index to pass to a compare-and-swap.
  struct StoreHead {
    Head head;
    std::uint64_t index = 0;
  };

  using AppliedSignal = sigc::signal<void, TimePoint /*now*/>;
  using StoreReadSignal = sigc::signal<void, TimePoint /*sent*/, std::uint64_t /*revision*/>;
  /// `head` is nullptr, with `reason` set, if the store gave no valid answer.
  using ReadDone =
      std::function<void(TimePoint now, const StoreHead* head, std::string_view reason)>;

  HeadReader(Store& store, PeerLinks& links, RandomSource& random);

  /// Starts the reads, the watch and the requests to peers that are due.
  /// @param confirmed whether peers confirm the head and nothing waits for a read, so that the
  ///     store is read less often
  void Tick(TimePoint now, bool confirmed);

  /// Reads the head from the store now.
  void Read(TimePoint now, ReadDone done);

  /// Updates the revisions that a peer reported in its heartbeat.
  void UpdatePeerRevision(const std::string& peer, std::uint64_t revision,
                          std::uint64_t newest_revision);

  /// Peers that may be asked for the head.
  void SetPeers(std::vector<std::string> peers);

  void OnHeadReply(TimePoint now, const HeadReply& reply);
  HeadReply Answer(const HeadRequest& request) const;

  /// Adds a head that is known to be recorded, with the parts that it does not share with the held
  /// one.
  void AddRecordedHead(TimePoint now, const Head& head,
                       const std::map<std::string, std::string>& parts);

  const Head& head() const { return m_head; }
  const Fleet& fleet() const { return m_fleet; }

  /// Newest revision known from any source.
  std::uint64_t newest_revision() const { return m_newest; }

  /// Newest head read from the store, or nothing before the first answer.
  const std::optional<StoreHead>& store_head() const { return m_store_head; }

  /// Reason why a newer revision cannot be applied; empty if there is no such revision.
  const std::string& undecodable() const { return m_undecodable; }

  AppliedSignal& signal_applied() { return m_applied; }

  /// Emitted for each head read from the store.
  StoreReadSignal& signal_store_read() { return m_store_read; }

 private:
  void ReadIfDue(TimePoint now, bool confirmed);
  void WatchIfDue(TimePoint now);
  void RequestHeadIfDue(TimePoint now);
  std::optional<StoreHead> ProcessStoreReply(TimePoint now, const StoreReadReply& reply,
                                             std::string* last_reason);
  void AddCandidate(TimePoint now, const Head& head);
  void AddPart(const std::string& digest, const std::string& text);
  void FetchParts(TimePoint now);
  void FetchPart(const std::string& digest);
  bool IsWanted(const std::string& digest) const;
  void ApplyNewest(TimePoint now);
  bool IsComplete(const Head& head) const;
  bool Apply(TimePoint now, const Head& head);
  void RemoveUnusedParts();

  Store& m_store;
  PeerLinks& m_links;
  RandomSource& m_random;
  Head m_head;
  Fleet m_fleet;
  std::uint64_t m_newest = 0;
  std::optional<StoreHead> m_store_head;
  std::map<std::uint64_t, Head> m_candidates;  ///< Newer than the held head, by revision.
  std::map<std::string, std::string> m_parts;  ///< Texts of held and wanted parts, by digest.
  std::set<std::string> m_fetching;
  std::string m_undecodable;
  std::uint64_t m_undecodable_revision = 0;
  std::vector<std::string> m_peers;
  std::map<std::string, std::uint64_t> m_peer_revisions;
  std::optional<TimePoint> m_last_read;
  std::optional<TimePoint> m_last_watch;
  std::optional<TimePoint> m_last_peer_request;
  std::optional<TimePoint> m_last_fetch;
  int m_reading = 0;
  bool m_watching = false;
  std::uint64_t m_watch_index = 0;
  std::uint64_t m_request_id = 0;
  AppliedSignal m_applied;
  StoreReadSignal m_store_read;
  CallbackGuard m_guard;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CONTROL_HEAD_READER_H_
