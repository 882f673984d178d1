#include "cranberryplank/daemon/forward_table.h"

#include <utility>
#include <vector>

#include "cranberryplank/model/log.h"

namespace cranberryplank {

ForwardTable::ForwardTable(PeerLinks* links) : m_links(links) {
  m_links->signal_message().connect(sigc::mem_fun(*this, &ForwardTable::OnMessage));
  m_links->signal_lost().connect(sigc::mem_fun(*this, &ForwardTable::OnLinkLost));
}

SendOutcome ForwardTable::Send(const std::string& incarnation, ForwardRequest request,
                               TimePoint reply_deadline, EndCallback done) {
  request.request_id = m_next_id++;
  const SendOutcome outcome = m_links->Send(incarnation, request);
  if (outcome == SendOutcome::kSent) {
    m_entries.emplace(request.request_id,
                      Entry{incarnation, request.task_id, reply_deadline, std::move(done)});
  }
  return outcome;
}

void ForwardTable::Tick(TimePoint now) {
  GiveUp(now, "the other daemon did not answer",
         [&](const Entry& entry) { return entry.reply_deadline <= now; });
}

void ForwardTable::OnMessage(TimePoint now, const std::string& sender, const PeerMessage& message) {
  const auto* reply = std::get_if<ForwardReply>(&message);
  if (reply == nullptr) {
    return;
  }
  const auto found = m_entries.find(reply->request_id);
  if (found == m_entries.end() || found->second.incarnation != sender ||
      found->second.task_id != reply->task_id) {
    // The reply is late, or comes from another sender or belongs to another task.
    LogLine(LogLevel::kWarning, "late_reply").Field("task", reply->task_id).Field("from", sender);
    return;
  }
  const EndCallback done = std::move(found->second.done);
  m_entries.erase(found);
  done(now, reply, "");
}

void ForwardTable::OnLinkLost(TimePoint now, const std::string& incarnation) {
  GiveUp(now, "the link to the other daemon broke",
         [&](const Entry& entry) { return entry.incarnation == incarnation; });
}

template <typename Condition>
void ForwardTable::GiveUp(TimePoint now, std::string_view reason, Condition condition) {
  std::vector<EndCallback> ended;
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    if (condition(entry->second)) {
      ended.push_back(std::move(entry->second.done));
      entry = m_entries.erase(entry);
    } else {
      ++entry;
    }
  }
  for (const EndCallback& done : ended) {
    done(now, nullptr, reason);
  }
}

}  // namespace cranberryplank
