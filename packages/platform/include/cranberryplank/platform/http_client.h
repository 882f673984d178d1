#ifndef CRANBERRYPLANK_PLATFORM_HTTP_CLIENT_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "cranberryplank/platform/http_message.h"

struct event;
struct event_base;

namespace cranberryplank {

class HttpConnection;

/// Limits of an HttpClient.
struct HttpClientLimits {
  std::size_t connections_per_server = 64;  ///< Further requests are queued up to their timeout.
  /// Idle connections are closed after this time. It must be below the server's own limit, or else
  /// a request can be sent on a connection that the server is closing.
  Duration max_idle{10'000};
  std::size_t max_reply_bytes = std::size_t{16} << 20U;
};

/// HTTP client with a pool of keep-alive connections per server. A connection carries one request
/// at a time; it is closed after a timeout, after an invalid reply and if bytes follow a reply. A
/// timeout also closes the server's idle connections that carried no reply since. A request is sent
/// at most once.
class HttpClient {
 public:
  using Callback = std::function<void(TimePoint now, HttpReply reply)>;

  explicit HttpClient(event_base* base, HttpClientLimits limits = {});
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Closes all connections without running the callbacks of pending requests. A callback may
  /// destroy the client.
  ~HttpClient();

  /// Sends a request. `done` runs exactly once, from the event loop and never from within the call.
  void Send(HttpRequest request, Callback done);

  /// Returns the number of open connections, in use or idle.
  std::size_t connections() const;

 private:
  struct Call;
  struct IdleConnection;
  struct Pool;
  using Server = std::tuple<std::string, std::uint16_t, bool>;  ///< Host, port, urgent.

  static void OnTimer(int, short, void* argument);  // NOLINT(google-runtime-int): libevent's type
  static void OnSweep(int, short, void* argument);  // NOLINT(google-runtime-int): libevent's type

  void StartOrWait(Call* call);
  void StartWaiting(const Server& server);
  void Release(Call* call);
  void Complete(std::uint64_t id);
  void CloseIdle(TimePoint now);
  /// Closes the idle connections to the server of a request without a reply that have carried no
  /// reply since it was sent. They may have gone silent with its connection, and each would cost a
  /// timeout of its own.
  void CloseUnproved(const HttpRequest& request, TimePoint sent);
  std::unique_ptr<HttpConnection> TakeIdle(Pool* pool);

  event_base* m_base;
  HttpClientLimits m_limits;
  std::uint64_t m_last_call = 0;
  std::map<Server, Pool> m_pools;
  std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
  event* m_sweep;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_CLIENT_H_
