#include "cranberryplank/daemon/ticket_table.h"

#include <fmt/format.h>

#include <utility>

#include "cranberryplank/model/digest.h"
#include "cranberryplank/model/invariant.h"

namespace cranberryplank {

namespace {

constexpr char kSeparator = '.';

std::string Fingerprint(const CallerRequest& request) {
  return Sha256(fmt::format("{}\n{}", request.queue, request.body)).hex;
}

}  // namespace

TicketTable::TicketTable(std::string_view incarnation, const TicketLimits& limits,
                         RandomSource* random)
    : m_incarnation(incarnation), m_limits(limits), m_random(random) {}

std::vector<std::string> TicketTable::Issue(TimePoint now, std::string_view team, int count) {
  DropExpired(now);
  std::vector<std::string> tickets;
  for (int i = 0; i < count; ++i) {
    if (m_entries.size() >= m_limits.max_tickets) {
      DropOldest(now);
    }
    std::string ticket = fmt::format("{}{}{}", m_incarnation, kSeparator, m_random->Nonce());
    m_entries[ticket].team = team;
    m_expiries.push_back(Expiry{now + m_limits.lifetime, ticket});
    tickets.push_back(std::move(ticket));
  }
  return tickets;
}

std::string_view TicketTable::OwnerOf(std::string_view ticket) {
  const std::size_t separator = ticket.find(kSeparator);
  return separator == std::string_view::npos ? std::string_view() : ticket.substr(0, separator);
}

TicketTable::Admission TicketTable::Admit(TimePoint now, const CallerRequest& request,
                                          CallerReply* reply, ReplyCallback done) {
  DropExpired(now);
  const auto found = m_entries.find(request.ticket);
  if (found == m_entries.end()) {
    return Admission::kUnknown;
  }
  Entry& entry = found->second;
  const std::string fingerprint = Fingerprint(request);
  if (entry.team != request.team ||
      (entry.state != State::kUnused && entry.fingerprint != fingerprint)) {
    return Admission::kMismatch;
  }
  if (entry.state == State::kRunning) {
    entry.waiting.push_back(std::move(done));
    return Admission::kWait;
  }
  if (entry.state == State::kEnded) {
    *reply = entry.reply;
    return Admission::kReplay;
  }
  entry.state = State::kRunning;
  entry.fingerprint = fingerprint;
  return Admission::kRun;
}

void TicketTable::Finish(TimePoint now, std::string_view ticket, const CallerReply& reply) {
  const auto found = m_entries.find(std::string(ticket));
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  CP_INVARIANT(entry.state == State::kRunning, "ticket {} finished twice", ticket);
  const std::vector<ReplyCallback> waiting = std::exchange(entry.waiting, {});
  if (reply.verdict == Verdict::kNotRun) {
    // The request certainly did not run, so the ticket may be used again.
    entry.state = State::kUnused;
  } else {
    entry.state = State::kEnded;
    entry.reply = reply;
    m_reply_bytes += reply.body.size();
  }
  EnforceReplyLimit(now);
  for (const ReplyCallback& done : waiting) {
    done(now, reply);
  }
}

bool TicketTable::IsUnused(std::string_view ticket) const {
  const auto found = m_entries.find(std::string(ticket));
  return found != m_entries.end() && found->second.state == State::kUnused;
}

void TicketTable::DropExpired(TimePoint now) {
  while (!m_expiries.empty() && m_expiries.front().at <= now) {
    DropOldest(now);
  }
}

void TicketTable::EnforceReplyLimit(TimePoint now) {
  // The loop is limited to one pass over the tickets, since those of running requests cannot be
  // dropped.
  for (std::size_t left = m_expiries.size(); left > 0 && m_reply_bytes > m_limits.max_reply_bytes;
       --left) {
    DropOldest(now);
  }
}

void TicketTable::DropOldest(TimePoint now) {
  const std::string ticket = std::move(m_expiries.front().ticket);
  m_expiries.pop_front();
  const auto found = m_entries.find(ticket);
  if (found == m_entries.end()) {
    return;
  }
  if (found->second.state == State::kRunning) {
    // The request is still running and retries may wait for its outcome, so the ticket's lifetime
    // is extended.
    m_expiries.push_back(Expiry{now + m_limits.lifetime, ticket});
    return;
  }
  m_reply_bytes -= found->second.reply.body.size();
  m_entries.erase(found);
}

}  // namespace cranberryplank
