#include "http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "cranberryplank/platform/event_priority.h"

namespace cranberryplank {

namespace {

/// evhttp's timeout is the request's timeout plus this, so that the client's own timer expires
/// first.
constexpr Duration kExtraTimeout{1'000};
constexpr int kMaxHeaderBytes = 64 << 10;
constexpr std::size_t kPieceBytes = 512 << 10;

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

bufferevent* NewStream(event_base* base) {
  bufferevent* stream = bufferevent_socket_new(base, -1, 0);
  // By default 16 KiB are read or written per turn of the event loop. A list that grows while it is
  // read at that rate would never be complete in a busy loop.
  bufferevent_set_max_single_read(stream, kPieceBytes);
  bufferevent_set_max_single_write(stream, kPieceBytes);
  return stream;
}

HttpReply ReadReply(evhttp_request* request) {
  HttpReply reply;
  reply.outcome = HttpOutcome::kAnswered;
  reply.status = evhttp_request_get_response_code(request);
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    reply.headers.push_back({header->key, header->value});
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  reply.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, reply.body.data(), reply.body.size());
  return reply;
}

auto CountHeaders(const HttpReply& reply, const char* name) {
  return std::count_if(reply.headers.begin(), reply.headers.end(), [&](const HttpHeader& header) {
    return evutil_ascii_strcasecmp(header.name.c_str(), name) == 0;
  });
}

/// Returns the value of the Host header, with an IPv6 address in brackets.
std::string HostHeader(const HttpRequest& request) {
  const bool ipv6 = request.host.find(':') != std::string::npos;
  return ipv6 ? fmt::format("[{}]:{}", request.host, request.port)
              : fmt::format("{}:{}", request.host, request.port);
}

/// Returns whether the reply has an explicit length that matches the body. evhttp reports a body
/// that ends with the connection as complete, even if a part of it is missing.
bool HasValidLength(const HttpReply& reply) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (reply.status == kNoContent || reply.status == kNotModified) {
    return true;
  }
  // Two lengths may differ, and evhttp would use the first.
  if (CountHeaders(reply, "Content-Length") > 1) {
    return false;
  }
  const std::string_view encoding = reply.Header("Transfer-Encoding");
  const std::string_view length = reply.Header("Content-Length");
  if (!encoding.empty()) {
    return encoding == "chunked" && length.empty();
  }
  return length == fmt::to_string(reply.body.size());
}

bool IsValidTarget(std::string_view target) {
  if (!target.starts_with('/')) {
    return false;
  }
  for (const char c : target) {
    if (c <= ' ' || c > '~') {
      return false;
    }
  }
  return true;
}

}  // namespace

HttpConnection::HttpConnection(event_base* base, const std::string& host, std::uint16_t port,
                               std::size_t max_reply_bytes, bool urgent)
    : m_connection(evhttp_connection_base_bufferevent_new(base, nullptr, NewStream(base),
                                                          host.c_str(), port)),
      m_urgent(urgent) {
  evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(max_reply_bytes));
  evhttp_connection_set_max_headers_size(m_connection, kMaxHeaderBytes);
  evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)), OnOutput,
                  this);
}

HttpConnection::~HttpConnection() {
  m_done = nullptr;
  evbuffer_remove_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection)),
                     OnOutput, this);
  evhttp_connection_free(m_connection);
}

void HttpConnection::Send(const HttpRequest& request, Callback done) {
  m_done = std::move(done);
  m_written = false;
  m_reusable = false;
  if (!IsValidTarget(request.target)) {
    Finish(Failure("the request target is not valid"));
    return;
  }
  evhttp_request* message = evhttp_request_new(OnReply, this);
  evkeyvalq* headers = evhttp_request_get_output_headers(message);
  evhttp_add_header(headers, "Host", HostHeader(request).c_str());
  for (const HttpHeader& header : request.headers) {
    if (evhttp_add_header(headers, header.name.c_str(), header.value.c_str()) != 0) {
      evhttp_request_free(message);
      Finish(Failure(fmt::format("header {} is not valid", header.name)));
      return;
    }
  }
  evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
  const auto limit =
      std::chrono::duration_cast<std::chrono::microseconds>(request.timeout + kExtraTimeout);
  const timeval timeout{limit.count() / 1'000'000, limit.count() % 1'000'000};
  evhttp_connection_set_timeout_tv(m_connection, &timeout);
  if (evhttp_make_request(m_connection, message, ToCommand(request.method),
                          request.target.c_str()) != 0) {
    Finish(Failure("the connection could not be started"));
    return;
  }
  if (m_urgent) {
    // libevent resets the priority when a socket is assigned, so it is set after that.
    bufferevent_priority_set(evhttp_connection_get_bufferevent(m_connection), kUrgentEvents);
  }
}

int HttpConnection::priority() const {
  return bufferevent_get_priority(evhttp_connection_get_bufferevent(m_connection));
}

bool HttpConnection::KeptAlive() const {
  bufferevent* stream = evhttp_connection_get_bufferevent(m_connection);
  return m_reusable && bufferevent_getfd(stream) >= 0 &&
         evbuffer_get_length(bufferevent_get_input(stream)) == 0;
}

bool HttpConnection::Reusable() const {
  if (!KeptAlive()) {
    return false;
  }
  const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
  char byte = 0;
  return recv(socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::OnReply(evhttp_request* request, void* argument) {
  auto* self = static_cast<HttpConnection*>(argument);
  // After a failed connection attempt evhttp passes a request without a status.
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    self->Finish(self->Failure(self->m_written
                                   ? "the reply is missing or incomplete"
                                   : "the connection failed before the request was sent"));
    return;
  }
  HttpReply reply = ReadReply(request);
  if (!HasValidLength(reply)) {
    self->Finish(self->Failure("the reply has no valid length"));
    return;
  }
  self->m_reusable = true;
  self->Finish(std::move(reply));
}

void HttpConnection::OnOutput(evbuffer*, const evbuffer_cb_info* info, void* argument) {
  if (info->n_deleted > 0) {
    static_cast<HttpConnection*>(argument)->m_written = true;
  }
}

HttpReply HttpConnection::Failure(std::string_view reason) const {
  HttpReply reply;
  reply.outcome = m_written ? HttpOutcome::kNoReply : HttpOutcome::kNotSent;
  reply.reason = reason;
  reply.connection_failed = !m_written;
  return reply;
}

void HttpConnection::Finish(HttpReply reply) {
  if (m_done) {
    std::exchange(m_done, nullptr)(std::move(reply));
  }
}

}  // namespace cranberryplank
