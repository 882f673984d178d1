#include "cranberryplank/cli/evhttp_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace cranberryplank {

namespace {

constexpr ev_ssize_t kMaxHeaderBytes = ev_ssize_t{64} * 1024;
// A list of 21,000 VMs takes about 6 MB.
constexpr ev_ssize_t kMaxAnswerBytes = ev_ssize_t{32} * 1024 * 1024;
constexpr Duration kConnectTimeout{3'000};

timeval ToTimeval(Duration duration) {
  timeval value{};
  value.tv_sec = duration.count() / 1'000;
  value.tv_usec = (duration.count() % 1'000) * 1'000;
  return value;
}

evhttp_cmd_type ToCommand(const std::string& method) {
  if (method == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (method == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

struct Probe {
  event_base* base;
  bool connected = false;
};

void OnProbe(bufferevent* /*bufferevent*/, std::int16_t what, void* context) {
  auto* probe = static_cast<Probe*>(context);
  probe->connected = (what & BEV_EVENT_CONNECTED) != 0;
  event_base_loopbreak(probe->base);
}

struct Exchange {
  event_base* base;
  HttpReply reply;
};

void OnReply(evhttp_request* request, void* context) {
  auto* exchange = static_cast<Exchange*>(context);
  event_base_loopbreak(exchange->base);
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    exchange->reply.reason = "connection lost before a whole answer";
    return;
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  if (evhttp_find_header(headers, "Content-Length") == nullptr &&
      evhttp_find_header(headers, "Transfer-Encoding") == nullptr) {
    // Only the end of the connection would mark the end of the body, so it may be truncated.
    exchange->reply.reason = "answer without a length";
    return;
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  const std::size_t size = evbuffer_get_length(body);
  exchange->reply.body.resize(size);
  evbuffer_remove(body, exchange->reply.body.data(), size);
  exchange->reply.status = evhttp_request_get_response_code(request);
  exchange->reply.outcome = HttpOutcome::kAnswered;
}

bool CanConnect(event_base* base, const DaemonAddress& daemon, Duration timeout) {
  Probe probe{base};
  const std::unique_ptr<bufferevent, decltype(&bufferevent_free)> connection(
      bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS),
      &bufferevent_free);
  const timeval limit = ToTimeval(timeout);
  bufferevent_setcb(connection.get(), nullptr, nullptr, OnProbe, &probe);
  bufferevent_set_timeouts(connection.get(), nullptr, &limit);
  if (bufferevent_socket_connect_hostname(connection.get(), nullptr, AF_UNSPEC, daemon.host.c_str(),
                                          daemon.port) != 0) {
    return false;
  }
  event_base_dispatch(base);
  return probe.connected;
}

HttpReply MakeRequest(event_base* base, const DaemonAddress& daemon, const HttpRequest& request,
                      Duration timeout) {
  Exchange exchange{base, {}};
  exchange.reply.reason = "no answer in time";
  const std::unique_ptr<evhttp_connection, decltype(&evhttp_connection_free)> connection(
      evhttp_connection_base_new(base, nullptr, daemon.host.c_str(), daemon.port),
      &evhttp_connection_free);
  const timeval limit = ToTimeval(timeout);
  evhttp_connection_set_timeout_tv(connection.get(), &limit);
  evhttp_connection_set_max_headers_size(connection.get(), kMaxHeaderBytes);
  evhttp_connection_set_max_body_size(connection.get(), kMaxAnswerBytes);
  evhttp_request* out = evhttp_request_new(OnReply, &exchange);
  evkeyvalq* headers = evhttp_request_get_output_headers(out);
  evhttp_add_header(headers, "Host", fmt::format("{}:{}", daemon.host, daemon.port).c_str());
  evhttp_add_header(headers, "Connection", "close");
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(), request.body.size());
  if (evhttp_make_request(connection.get(), out, ToCommand(request.method), request.path.c_str()) !=
      0) {
    return exchange.reply;
  }
  // The timeout of evhttp restarts with each byte; this one bounds the whole call.
  event_base_loopexit(base, &limit);
  event_base_dispatch(base);
  return exchange.reply;
}

}  // namespace

HttpReply EvhttpClient::Call(const DaemonAddress& daemon, const HttpRequest& request,
                             Duration timeout) {
  // Each call has its own event loop, because an exit timer left in a shared one would interrupt a
  // later call.
  const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                     &event_base_free);
  // evhttp does not distinguish a failed connect from a lost answer. If a separate connect fails
  // first, the request was not sent; after it succeeds, every failure counts as a lost answer.
  if (!CanConnect(base.get(), daemon, std::min(timeout, kConnectTimeout))) {
    return {HttpOutcome::kNotSent, 0, "", "cannot connect"};
  }
  return MakeRequest(base.get(), daemon, request, timeout);
}

}  // namespace cranberryplank
