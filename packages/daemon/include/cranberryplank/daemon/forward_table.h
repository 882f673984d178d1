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

/// Requests passed on to other daemons whose replies are still expected.
class ForwardTable : public sigc::trackable {
 public:
  /// `reply` is nullptr, with `reason` set, if no reply will be taken any more.
  using EndCallback =
      std::function<void(TimePoint now, const ForwardReply* reply, std::string_view reason)>;

  explicit ForwardTable(PeerLinks* links);

  /// Sends `request`, whose `request_id` is set here. `done` runs exactly once unless the outcome
  /// is kNotSent, in which case it never runs.
  /// @param reply_deadline time from which a reply is no longer waited for
  SendOutcome Send(const std::string& incarnation, ForwardRequest request, TimePoint reply_deadline,
                   EndCallback done);

  /// Gives up what is due.
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
