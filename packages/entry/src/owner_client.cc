#include "cranberryplank/entry/owner_client.h"

#include <algorithm>
#include <utility>

#include "cranberryplank/daemon/settings_table.h"
#include "cranberryplank/model/log.h"

namespace cranberryplank {

namespace {

constexpr Duration kPingInterval{300};
constexpr Duration kMaxPingInterval{2'000};
constexpr Duration kPingAfterFailure{100};
constexpr Duration kPingTimeout{600};

}  // namespace

void OwnerClient::SetOwner(TimePoint now, const std::string& address) {
  m_address = address;
  m_unanswered_since.reset();
  m_next_ping = now;
  m_ping_in_flight = false;
  m_send_failures_since_answer = 0;
  m_denies_ownership = m_owner_store_unreachable = false;
  m_config_version = 0;
}

void OwnerClient::Tick(TimePoint now, std::uint64_t config_version) {
  if (m_address.empty() || m_ping_in_flight || now < m_next_ping) {
    return;
  }
  m_ping_in_flight = true;
  if (!m_unanswered_since) {
    m_unanswered_since = now;
  }
  OwnerCall ping;
  ping.kind = OwnerCallKind::kPing;
  ping.sender = m_self;
  ping.cores = m_cores;
  ping.config_version = config_version;
  Call(m_address, ping, kPingTimeout,
       [this, address = m_address](TimePoint at, const OwnerReply& reply) {
         if (address == m_address) {
           m_ping_in_flight = false;
           m_next_ping =
               at + (reply.status == OwnerStatus::kOk ? std::max(kPingInterval, m_ping_interval)
                                                      : kPingAfterFailure);
         }
       });
}

void OwnerClient::Call(const std::string& address, const OwnerCall& call, Duration timeout,
                       Callback done) {
  OwnerReply failure;
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    failure.status = OwnerStatus::kNotOwner;
    failure.reason = "the owner's address is not valid";
    done(Clock::now(), failure);
    return;
  }
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.host = endpoint->host;
  request.port = endpoint->port;
  request.target = kPath;
  request.body = EncodeOwnerCall(call);
  request.timeout = timeout;
  request.urgent = call.kind == OwnerCallKind::kPing || call.kind == OwnerCallKind::kTakeOver;
  m_http->Send(std::move(request), [this, address, done = std::move(done)](TimePoint now,
                                                                           const HttpReply& http) {
    OwnerReply reply;
    const auto decoded =
        http.outcome == HttpOutcome::kAnswered ? DecodeOwnerReply(http.body) : std::nullopt;
    if (decoded) {
      reply = *decoded;
    } else {
      const bool not_sent = http.outcome == HttpOutcome::kNotSent;
      reply.status = not_sent ? OwnerStatus::kNotOwner : OwnerStatus::kUnknown;
      reply.reason = http.reason.empty() ? "the reply cannot be decoded" : http.reason;
    }
    Observe(address, reply, decoded.has_value(), http.connection_failed);
    done(now, reply);
  });
}

Duration OwnerClient::silence(TimePoint now) const {
  return m_unanswered_since ? std::chrono::duration_cast<Duration>(now - *m_unanswered_since)
                            : Duration(0);
}

void OwnerClient::Observe(const std::string& address, const OwnerReply& reply, bool answered,
                          bool connection_failed) {
  if (address != m_address) {
    return;
  }
  if (!answered) {
    m_send_failures_since_answer += connection_failed ? 1 : 0;
    return;
  }
  m_send_failures_since_answer = 0;
  m_denies_ownership = reply.status == OwnerStatus::kNotOwner;
  if (!m_denies_ownership) {
    m_unanswered_since.reset();
    m_ping_interval = std::min(Duration(reply.ping_interval_ms), kMaxPingInterval);
    m_owner_store_unreachable = !reply.store_reached;
    m_config_version = reply.config_version;
    m_strongest_cores = reply.strongest_cores;
  }
}

}  // namespace cranberryplank
