#include "cranberryplank/support/http_server.h"

#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

namespace cranberryplank {

namespace {

constexpr ev_ssize_t kMaxBodyBytes = 32 << 20;
/// Exceeds every client's idle connection timeout.
constexpr int kIdleTimeoutSeconds = 300;

}  // namespace

HttpServer::HttpServer(event_base* base, Handler handler)
    : m_base(base), m_handler(std::move(handler)) {}

HttpServer::~HttpServer() { Stop(); }

bool HttpServer::Listen(std::uint16_t port) {
  Stop();
  m_http = evhttp_new(m_base);
  evhttp_set_max_body_size(m_http, kMaxBodyBytes);
  evhttp_set_timeout(m_http, kIdleTimeoutSeconds);
  evhttp_set_gencb(m_http, OnRequest, this);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(m_http, "127.0.0.1", port);
  if (bound == nullptr) {
    Stop();
    return false;
  }
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
  m_port = ntohs(address.sin_port);
  return true;
}

void HttpServer::Stop() {
  if (m_http == nullptr) {
    return;
  }
  for (const std::weak_ptr<HttpExchange>& exchange : std::exchange(m_exchanges, {})) {
    if (const auto open = exchange.lock()) {
      open->Detach();
    }
  }
  evhttp_free(std::exchange(m_http, nullptr));
}

void HttpServer::OnRequest(evhttp_request* request, void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  const auto exchange = std::make_shared<HttpExchange>(request);
  std::erase_if(self->m_exchanges, [](const auto& item) { return item.expired(); });
  self->m_exchanges.push_back(exchange);
  self->m_handler(exchange);
}

}  // namespace cranberryplank
