#ifndef CRANBERRYPLANK_DAEMON_API_SERVER_H_
#define CRANBERRYPLANK_DAEMON_API_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/daemon/client_connections.h"
#include "cranberryplank/daemon/settings.h"
#include "cranberryplank/model/time.h"

struct event_base;
struct evhttp;
struct evhttp_request;
struct evhttp_connection;
struct evhttp_bound_socket;

namespace cranberryplank {

/// Request line, headers and body of one HTTP request.
struct ApiRequest {
  std::string method;
  std::string path;  ///< Decoded, without the query.
  std::map<std::string, std::string, std::less<>> query;
  std::map<std::string, std::string, std::less<>> headers;  ///< By lower-case name.
  std::string body;
  std::uint16_t caller_port = 0;  ///< The caller's end of the connection.

  /// Returns a header's value, or an empty view if it is absent.
  /// @param name header name in lower case
  std::string_view Header(std::string_view name) const;
};

/// Status, headers and body of one HTTP response.
struct ApiResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
};

/// Requests whose response is not yet written.
struct OpenRequests {
  std::size_t count = 0;
  std::size_t bytes = 0;  ///< Of their headers and bodies.
};

/// Counts one request as open until it is destroyed.
class OpenRequest {
 public:
  /// @param all the server's open requests
  /// @param bytes size of the request's headers and body
  /// @param connections those of the server that read the request; must outlive the response
  OpenRequest(std::shared_ptr<OpenRequests> all, std::size_t bytes, ClientConnections* connections)
      : m_all(std::move(all)), m_bytes(bytes), m_connections(connections) {
    ++m_all->count;
    m_all->bytes += m_bytes;
  }
  ~OpenRequest() {
    --m_all->count;
    m_all->bytes -= m_bytes;
  }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  /// Connections of the server that read the request.
  ClientConnections* connections() const { return m_connections; }

 private:
  std::shared_ptr<OpenRequests> m_all;
  std::size_t m_bytes;
  ClientConnections* m_connections;
};

/// One HTTP request and its pending response, which may be sent at any later time, once.
class ApiExchange {
 public:
  /// @param open exists until the response is written or the connection is closed
  ApiExchange(evhttp_request* raw, ApiRequest request, std::unique_ptr<OpenRequest> open);
  ~ApiExchange();
  ApiExchange(const ApiExchange&) = delete;
  ApiExchange& operator=(const ApiExchange&) = delete;

  const ApiRequest& request() const { return m_request; }

  /// Sends the response. Does nothing if the caller has disconnected or a response was already
  /// sent.
  void Reply(const ApiResponse& response);

  /// Returns whether the caller has closed its end of the connection.
  bool CallerHasDisconnected() const;

  /// Calls the handler set by OnClosed. Further calls do nothing.
  void ReportClosed();

  /// Sets the handler that is called if the caller closes the connection before the response.
  void OnClosed(std::function<void()> closed) { m_closed = std::move(closed); }

 private:
  static void HandleClose(evhttp_connection* connection, void* self);

  evhttp_request* m_raw;
  ApiRequest m_request;
  std::unique_ptr<OpenRequest> m_open;
  std::function<void()> m_closed;
};

/// Limits on requests and connections of callers.
struct ApiLimits {
  std::size_t max_body_bytes = 0;
  std::size_t max_header_bytes = 0;
  Duration idle_timeout{0};
  bool urgent = false;  ///< Requests run before other events of a loop with priorities.
  ConnectionLimits connections{};
  /// Memory of all requests that are being handled, in bytes. Further requests are refused with
  /// 503.
  std::size_t max_open_bytes = std::size_t{1} << 30U;
};

/// HTTP server on one event loop. A malformed or stalled request closes only its own connection.
class ApiServer {
 public:
  using Handler = std::function<void(TimePoint now, const std::shared_ptr<ApiExchange>& exchange)>;

  ApiServer(event_base* base, const ApiLimits& limits, Handler handler);
  ~ApiServer();
  ApiServer(const ApiServer&) = delete;
  ApiServer& operator=(const ApiServer&) = delete;

  /// Starts listening.
  /// @return false, with `last_reason()` set, if the address cannot be bound
  bool Listen(const Endpoint& endpoint);

  /// Stops accepting new connections; open connections remain in use.
  void StopAccepting();

  /// Detects callers that have closed their connection. evhttp does not read from a connection
  /// while a request is being processed, so it does not detect this itself.
  void CheckCallerConnections();

  /// Returns the number of open connections.
  std::size_t open_connections() const { return m_connections.open(); }

  /// Returns the memory of incomplete requests and unread responses, in bytes.
  std::size_t buffered_bytes() const { return m_connections.buffered_bytes(); }

  /// Returns the number of connections that were closed because of a limit.
  std::size_t closed_connections() const { return m_connections.closed(); }

  /// Returns the number of requests that were read and whose response is not yet written completely
  /// to a connection that is still open.
  std::size_t open_requests() const { return m_open_requests->count; }

  /// Returns the number of requests that the server refers to, of which some may have ended.
  std::size_t remembered_requests() const { return m_open.size(); }

  const std::string& last_reason() const { return m_last_reason; }

 private:
  static void HandleRequest(evhttp_request* raw, void* self);
  static bufferevent* NewStream(event_base* base, void* self);
  void SetAccepting(bool accepting);

  evhttp* m_http;
  evhttp_bound_socket* m_socket = nullptr;
  Handler m_handler;
  bool m_urgent;
  std::vector<std::weak_ptr<ApiExchange>> m_open;
  std::size_t m_receive_queue_bytes;
  std::size_t m_send_queue_bytes;
  std::size_t m_max_open_bytes;
  ClientConnections m_connections;
  std::shared_ptr<OpenRequests> m_open_requests = std::make_shared<OpenRequests>();
  std::string m_last_reason;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_DAEMON_API_SERVER_H_
