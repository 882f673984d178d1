#include "cranberryplank/daemon/api_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <utility>

#include "cranberryplank/model/log.h"
#include "cranberryplank/model/text.h"
#include "cranberryplank/platform/event_priority.h"
#include "cranberryplank/platform/http_status.h"

namespace cranberryplank {

namespace {

/// Room for requests in a server's list of them before it removes those that have ended.
constexpr std::size_t kMinRemembered = 64;
constexpr std::string_view kRetryAfterSeconds = "1";
constexpr std::size_t kLoggedPathBytes = 200;

bufferevent* StreamOf(evhttp_request* raw) {
  return evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
}

std::string_view MethodName(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::string DecodePath(const char* path) {
  std::size_t size = 0;
  const std::unique_ptr<char, decltype(&std::free)> decoded(evhttp_uridecode(path, 0, &size),
                                                            &std::free);
  return decoded == nullptr ? std::string() : std::string(decoded.get(), size);
}

ApiRequest ReadRequest(evhttp_request* raw) {
  ApiRequest request;
  char* caller = nullptr;
  evhttp_connection_get_peer(evhttp_request_get_connection(raw), &caller, &request.caller_port);
  request.method = MethodName(evhttp_request_get_command(raw));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
  if (uri != nullptr && evhttp_uri_get_path(uri) != nullptr) {
    request.path = DecodePath(evhttp_uri_get_path(uri));
  }
  if (uri != nullptr && evhttp_uri_get_query(uri) != nullptr) {
    evkeyvalq query;
    if (evhttp_parse_query_str(evhttp_uri_get_query(uri), &query) == 0) {
      for (const evkeyval* item = query.tqh_first; item != nullptr; item = item->next.tqe_next) {
        request.query[item->key] = item->value;
      }
      evhttp_clear_headers(&query);
    }
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  for (const evkeyval* item = headers->tqh_first; item != nullptr; item = item->next.tqe_next) {
    request.headers[LowerCase(item->key)] = item->value;
  }
  evbuffer* body = evhttp_request_get_input_buffer(raw);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.body.data(), request.body.size());
  return request;
}

void OnReplyWritten(evhttp_request* raw, void* argument) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(raw), nullptr, nullptr);
  const std::unique_ptr<OpenRequest> open(static_cast<OpenRequest*>(argument));
  open->connections()->EndResponse(Clock::now(), StreamOf(raw));
}

void OnClosedBeforeReply(evhttp_connection* /*connection*/, void* open) {
  delete static_cast<OpenRequest*>(open);
}

/// Returns the memory that a request takes, in bytes.
std::size_t SizeOf(const ApiRequest& request) {
  constexpr std::size_t kPerHeader = 200;  // A node of the map and two strings.
  std::size_t size = request.path.size() + request.body.size();
  for (const auto& [name, value] : request.headers) {
    size += name.size() + value.size() + kPerHeader;
  }
  return size;
}

/// Limits the memory of a socket's queue in the kernel.
/// @param option SO_RCVBUF or SO_SNDBUF
/// @param bytes 0 for the system's default
void SetQueueLimit(evutil_socket_t socket, int option, std::size_t bytes) {
  // The kernel doubles the value, because it counts the memory of its own records too.
  const int value = static_cast<int>(bytes / 2);
  if (value > 0 && setsockopt(socket, SOL_SOCKET, option, &value, sizeof value) != 0) {
    LogLine(LogLevel::kWarning, "socket_option_failed")
        .Field("option", option)
        .Field("reason", std::strerror(errno));
  }
}

/// Refuses a request because of the memory that those under way need.
void Refuse(ApiExchange* exchange) {
  LogLine(LogLevel::kInfo, "request_refused").Field("reason", "memory limit");
  ApiResponse response;
  response.status = http_status::kUnavailable;
  response.body = "{}";
  response.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  exchange->Reply(response);
}

}  // namespace

std::string_view ApiRequest::Header(std::string_view name) const {
  const auto header = headers.find(name);
  if (header == headers.end()) {
    return {};
  }
  return header->second;
}

ApiExchange::ApiExchange(evhttp_request* raw, ApiRequest request, std::unique_ptr<OpenRequest> open)
    : m_raw(raw), m_request(std::move(request)), m_open(std::move(open)) {
  evhttp_connection_set_closecb(evhttp_request_get_connection(raw), &ApiExchange::HandleClose,
                                this);
}

ApiExchange::~ApiExchange() {
  // Reply even if the exchange was dropped, so that the caller does not wait forever.
  ApiResponse response;
  response.status = 500;
  response.body = R"({"verdict":"may_have_run","reason":"the daemon dropped the request"})";
  Reply(response);
}

void ApiExchange::Reply(const ApiResponse& response) {
  if (m_raw == nullptr) {
    return;
  }
  evhttp_request* raw = std::exchange(m_raw, nullptr);
  // evhttp calls one of the two: the first once the reply is written, else the second.
  OpenRequest* open = m_open.release();
  open->connections()->BeginResponse(Clock::now(), StreamOf(raw));
  evhttp_request_set_on_complete_cb(raw, &OnReplyWritten, open);
  evhttp_connection_set_closecb(evhttp_request_get_connection(raw), &OnClosedBeforeReply, open);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw);
  evhttp_add_header(headers, "Content-Type", response.content_type.c_str());
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_send_reply(raw, response.status, nullptr, body);
  evbuffer_free(body);
}

void ApiExchange::HandleClose(evhttp_connection* /*connection*/, void* self) {
  auto* exchange = static_cast<ApiExchange*>(self);
  // evhttp frees the request together with its connection, so it must not be used any more.
  exchange->m_raw = nullptr;
  exchange->m_open.reset();
  exchange->ReportClosed();
}

bool ApiExchange::CallerHasDisconnected() const {
  if (m_raw == nullptr) {
    return false;
  }
  char byte = 0;
  return recv(bufferevent_getfd(StreamOf(m_raw)), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void ApiExchange::ReportClosed() {
  if (const auto closed = std::exchange(m_closed, nullptr)) {
    closed();
  }
}

ApiServer::ApiServer(event_base* base, const ApiLimits& limits, Handler handler)
    : m_http(evhttp_new(base)),
      m_handler(std::move(handler)),
      m_urgent(limits.urgent),
      m_receive_queue_bytes(limits.connections.receive_queue_bytes),
      m_send_queue_bytes(limits.connections.send_queue_bytes),
      m_max_open_bytes(limits.max_open_bytes),
      m_connections(base, limits.connections, [this](bool accepting) { SetAccepting(accepting); }) {
  evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(m_http, static_cast<int>(limits.idle_timeout.count() / 1000));
  evhttp_set_allowed_methods(m_http,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
  evhttp_set_gencb(m_http, &ApiServer::HandleRequest, this);
  evhttp_set_bevcb(m_http, &ApiServer::NewStream, this);
}

ApiServer::~ApiServer() { evhttp_free(m_http); }

bool ApiServer::Listen(const Endpoint& endpoint) {
  m_socket = evhttp_bind_socket_with_handle(m_http, endpoint.host.c_str(), endpoint.port);
  if (m_socket == nullptr) {
    m_last_reason = fmt::format("cannot listen on {}:{}", endpoint.host, endpoint.port);
    return false;
  }
  // Accepted connections inherit both.
  const evutil_socket_t listening = evhttp_bound_socket_get_fd(m_socket);
  SetQueueLimit(listening, SO_RCVBUF, m_receive_queue_bytes);
  SetQueueLimit(listening, SO_SNDBUF, m_send_queue_bytes);
  return true;
}

void ApiServer::StopAccepting() {
  if (m_socket != nullptr) {
    evhttp_del_accept_socket(m_http, std::exchange(m_socket, nullptr));
  }
}

void ApiServer::CheckCallerConnections() {
  std::erase_if(m_open, [](const auto& exchange) { return exchange.expired(); });
  const auto open = m_open;
  for (const auto& weak : open) {
    const auto exchange = weak.lock();
    if (exchange && exchange->CallerHasDisconnected()) {
      exchange->ReportClosed();
    }
  }
}

void ApiServer::SetAccepting(bool accepting) {
  if (m_socket == nullptr) {
    return;
  }
  evconnlistener* listener = evhttp_bound_socket_get_listener(m_socket);
  accepting ? evconnlistener_enable(listener) : evconnlistener_disable(listener);
}

bufferevent* ApiServer::NewStream(event_base* /*base*/, void* self) {
  return static_cast<ApiServer*>(self)->m_connections.Add(Clock::now());
}

void ApiServer::HandleRequest(evhttp_request* raw, void* self) {
  auto* server = static_cast<ApiServer*>(self);
  server->m_connections.BeginRequest(Clock::now(), StreamOf(raw));
  ApiRequest request = ReadRequest(raw);
  auto counted = std::make_unique<OpenRequest>(server->m_open_requests, SizeOf(request),
                                               &server->m_connections);
  auto exchange = std::make_shared<ApiExchange>(raw, std::move(request), std::move(counted));
  if (server->m_socket == nullptr) {
    // The process ends soon, so the caller must send no further request on this connection.
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Connection", "close");
  }
  if (server->m_urgent) {
    // libevent resets the priority when a connection is accepted, so it is set from the first
    // request on.
    bufferevent_priority_set(StreamOf(raw), kUrgentEvents);
  }
  if (server->m_open_requests->bytes > server->m_max_open_bytes) {
    Refuse(exchange.get());
    return;
  }
  std::vector<std::weak_ptr<ApiExchange>>& open = server->m_open;
  if (open.size() == open.capacity()) {
    std::erase_if(open, [](const auto& each) { return each.expired(); });
    open.reserve(2 * open.size() + kMinRemembered);
  }
  open.push_back(exchange);
  try {
    server->m_handler(Clock::now(), exchange);
  } catch (const std::exception& error) {
    // One request that cannot be handled must not end the process; its caller gets an error.
    const std::string_view path = exchange->request().path;
    LogLine(LogLevel::kError, "request_not_handled")
        .Field("path", path.substr(0, kLoggedPathBytes))
        .Field("reason", error.what());
  }
}

}  // namespace cranberryplank
