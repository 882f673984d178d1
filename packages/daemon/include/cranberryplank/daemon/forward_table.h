#ifndef CRANBERRYPLANK_DAEMON_FORWARD_TABLE_H_
#define CRANBERRYPLANK_DAEMON_FORWARD_TABLE_H_

#include <sigc++/sigc++.h>

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "cranberryplank/model/time.h"
#include "cranberryplank/peers/messages.h"
#include "cranberryplank/peers/peer_links.h"

namespace cranberryplank {

/// Requests forwarded to other daemons that have not been answered yet.
class ForwardTable : public sigc::trackable {
 public:
  /// `reply` is nullptr, with `reason` set, if no reply is accepted any more.
  using EndCallback =
      std::function<void(TimePoint now, const ForwardReply* reply, std::string_view reason)>;

  explicit ForwardTable(PeerLinks* links);

  /// Sends `request` with a new `request_id`. `done` is called exactly once, or never if the
  /// returned outcome is kNotSent.
  /// @param reply_deadline time from which a reply is no longer accepted
  SendOutcome Send(const std::string& incarnation, ForwardRequest request, TimePoint reply_deadline,
                   EndCallback done);

  /// Ends all entries whose reply deadline has passed.
  void Tick(TimePoint now);

  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::string incarnation;
    std::string task_id;
    TimePoint reply_deadline;
    EndCallback done;
  };

  void OnMessage(TimePoint now, const std::string& sender, const PeerMessage& message);
  void OnLinkLost(TimePoint now, const std::string& incarnation);
  template <typename Condition>
  void GiveUp(TimePoint now, std::string_view reason, Condition condition);

  PeerLinks* m_links;
  std::unordered_map<std::uint64_t, Entry> m_entries;
  std::uint64_t m_next_id = 1;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_FORWARD_TABLE_H_
