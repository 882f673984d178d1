#ifndef CRANBERRYPLANK_SUPPORT_HTTP_SERVER_H_
#define CRANBERRYPLANK_SUPPORT_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cranberryplank/support/http_exchange.h"

struct event_base;
struct evhttp;
struct evhttp_request;

namespace cranberryplank {

/// HTTP server on 127.0.0.1, used by the fake services.
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>& exchange)>;

  HttpServer(event_base* base, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Listens on `port`; 0 picks a free one. @return false if the port is taken
  bool Listen(std::uint16_t port);

  /// Closes the listener and all connections. Must not be called from the handler.
  void Stop();

  bool listening() const { return m_http != nullptr; }
  std::uint16_t port() const { return m_port; }

 private:
  static void OnRequest(evhttp_request* request, void* argument);

  event_base* m_base;
  Handler m_handler;
  evhttp* m_http = nullptr;
  std::uint16_t m_port = 0;
  std::vector<std::weak_ptr<HttpExchange>> m_exchanges;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_HTTP_SERVER_H_
