#include "cranberryplank/platform/http_client.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "cranberryplank/model/log.h"
#include "cranberryplank/platform/event_priority.h"
#include "http_connection.h"

namespace cranberryplank {

namespace {

constexpr timeval kSweepInterval{2, 0};

bool IsAddress(const std::string& host) {
  in6_addr address;
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

timeval ToTimeval(Duration duration) {
  const Duration::rep ms = std::max<Duration::rep>(duration.count(), 0);
  return timeval{ms / 1'000, (ms % 1'000) * 1'000};
}

}  // namespace

struct HttpClient::Call {
  HttpClient* client = nullptr;
  std::uint64_t id = 0;
  Server server;
  HttpRequest request;
  Callback done;
  TimePoint deadline;
  TimePoint sent{};  ///< When it was given to its connection.
  event* timer = nullptr;
  std::unique_ptr<HttpConnection> connection;
  std::optional<HttpReply> reply;

  Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  ~Call() { event_free(timer); }

  void ArmTimer() const {
    const timeval wait = ToTimeval(std::chrono::ceil<Duration>(deadline - Clock::now()));
    evtimer_add(timer, &wait);
  }

  /// Sets the reply; the event loop completes the call, since evhttp may still use the connection.
  void SetReply(HttpReply result) {
    reply = std::move(result);
    event_del(timer);
    event_active(timer, EV_TIMEOUT, 1);
  }
};

struct HttpClient::IdleConnection {
  std::unique_ptr<HttpConnection> connection;
  TimePoint since;
};

struct HttpClient::Pool {
  std::size_t used = 0;
  std::vector<IdleConnection> idle;   ///< Oldest first.
  std::deque<std::uint64_t> waiting;  ///< Call ids; those of completed calls are skipped.
};

HttpClient::HttpClient(event_base* base, HttpClientLimits limits)
    : m_base(base), m_limits(limits), m_sweep(evtimer_new(base, OnSweep, this)) {}

HttpClient::~HttpClient() {
  m_calls.clear();
  event_free(m_sweep);
}

void HttpClient::Send(HttpRequest request, Callback done) {
  const std::uint64_t id = ++m_last_call;
  auto owned = std::make_unique<Call>();
  Call* call = owned.get();
  m_calls.emplace(id, std::move(owned));
  call->client = this;
  call->id = id;
  call->server = {request.host, request.port, request.urgent};
  call->request = std::move(request);
  call->done = std::move(done);
  call->timer = evtimer_new(m_base, OnTimer, call);
  if (call->request.urgent) {
    event_priority_set(call->timer, kUrgentEvents);
  }
  call->deadline = Clock::now() + call->request.timeout;
  call->ArmTimer();
  if (!IsAddress(call->request.host)) {
    HttpReply reply;
    reply.outcome = HttpOutcome::kNotSent;
    reply.reason = fmt::format("'{}' is not an IP address", call->request.host);
    call->SetReply(std::move(reply));
    return;
  }
  StartOrWait(call);
}

std::size_t HttpClient::connections() const {
  std::size_t count = 0;
  for (const auto& [server, pool] : m_pools) {
    count += pool.used + pool.idle.size();
  }
  return count;
}

void HttpClient::StartOrWait(Call* call) {
  // Checked here because the process may have been paused since the caller decided to send.
  if (Clock::now() >= call->request.not_after) {
    HttpReply reply;
    reply.outcome = HttpOutcome::kNotSent;
    reply.reason = "the permission to send the request has ended";
    call->SetReply(std::move(reply));
    return;
  }
  Pool& pool = m_pools[call->server];
  if (pool.used >= m_limits.connections_per_server) {
    pool.waiting.push_back(call->id);
    return;
  }
  std::unique_ptr<HttpConnection> connection = TakeIdle(&pool);
  if (!connection) {
    connection = std::make_unique<HttpConnection>(m_base, call->request.host, call->request.port,
                                                  m_limits.max_reply_bytes, call->request.urgent);
  }
  ++pool.used;
  call->sent = Clock::now();
  call->connection = std::move(connection);
  call->connection->Send(call->request,
                         [call](HttpReply reply) { call->SetReply(std::move(reply)); });
}

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(Pool* pool) {
  while (!pool->idle.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(pool->idle.back().connection);
    pool->idle.pop_back();
    if (connection->Reusable()) {
      return connection;
    }
  }
  return nullptr;
}

void HttpClient::OnTimer(int, short, void* argument) {  // NOLINT(google-runtime-int)
  const auto* call = static_cast<Call*>(argument);
  // libevent measures timeouts from the start of the loop iteration, so a timer can fire early
  // after a long iteration.
  if (!call->reply && Clock::now() < call->deadline) {
    call->ArmTimer();
    return;
  }
  call->client->Complete(call->id);
}

void HttpClient::Complete(std::uint64_t id) {
  const auto node = m_calls.extract(id);
  Call* call = node.mapped().get();
  if (!call->reply) {
    HttpReply reply;
    const bool written = call->connection && call->connection->written();
    reply.outcome = written ? HttpOutcome::kNoReply : HttpOutcome::kNotSent;
    reply.reason = written ? "no complete reply in time" : "no connection in time";
    call->reply = std::move(reply);
    if (written) {
      CloseUnproved(call->request, call->sent);
    }
  }
  Release(call);
  // The callback may destroy the client.
  try {
    call->done(Clock::now(), std::move(*call->reply));
  } catch (const std::exception& error) {
    // One reply that cannot be handled must not end the process.
    LogLine(LogLevel::kError, "reply_not_handled")
        .Field("target", call->request.target)
        .Field("reason", error.what());
  }
}

void HttpClient::Release(Call* call) {
  if (!call->connection) {
    return;
  }
  Pool& pool = m_pools[call->server];
  --pool.used;
  if (call->reply->outcome == HttpOutcome::kAnswered && call->connection->KeptAlive()) {
    pool.idle.push_back({std::move(call->connection), Clock::now()});
    if (evtimer_pending(m_sweep, nullptr) == 0) {
      evtimer_add(m_sweep, &kSweepInterval);
    }
  }
  call->connection.reset();
  StartWaiting(call->server);
}

void HttpClient::CloseUnproved(const HttpRequest& request, TimePoint sent) {
  for (const bool urgent : {false, true}) {
    const auto pool = m_pools.find({request.host, request.port, urgent});
    if (pool != m_pools.end()) {
      std::erase_if(pool->second.idle,
                    [&](const IdleConnection& connection) { return connection.since < sent; });
    }
  }
}

void HttpClient::StartWaiting(const Server& server) {
  Pool& pool = m_pools[server];
  while (!pool.waiting.empty() && pool.used < m_limits.connections_per_server) {
    const auto it = m_calls.find(pool.waiting.front());
    pool.waiting.pop_front();
    if (it != m_calls.end()) {
      StartOrWait(it->second.get());
    }
  }
}

void HttpClient::OnSweep(int, short, void* argument) {  // NOLINT(google-runtime-int)
  static_cast<HttpClient*>(argument)->CloseIdle(Clock::now());
}

void HttpClient::CloseIdle(TimePoint now) {
  bool idle = false;
  for (auto it = m_pools.begin(); it != m_pools.end();) {
    Pool& pool = it->second;
    std::erase_if(pool.idle, [&](const IdleConnection& connection) {
      return now - connection.since >= m_limits.max_idle || !connection.connection->Reusable();
    });
    idle = idle || !pool.idle.empty();
    const bool unused = pool.idle.empty() && pool.used == 0 && pool.waiting.empty();
    it = unused ? m_pools.erase(it) : std::next(it);
  }
  if (idle) {
    evtimer_add(m_sweep, &kSweepInterval);
  }
}

}  // namespace cranberryplank
