#include "cranberryplank/support/http_exchange.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace cranberryplank {

namespace {

std::string MethodName(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::string Unescape(const std::string& text) {
  char* decoded = evhttp_uridecode(text.c_str(), 0, nullptr);
  std::string result = decoded == nullptr ? "" : decoded;
  std::free(decoded);
  return result;
}

/// Parses a query. evhttp's own parser rejects parameters without a value, such as `consistent`.
std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t equals = std::min(item.find('='), item.size());
    const std::string_view value = item.substr(std::min(equals + 1, item.size()));
    query[Unescape(std::string(item.substr(0, equals)))] = Unescape(std::string(value));
  }
  return query;
}

std::string HalfBody(const ServerReply& reply) {
  return reply.body.substr(0, reply.body.size() / 2);
}

std::string HeaderText(const ServerReply& reply, std::string_view framing) {
  std::string text = fmt::format("HTTP/1.1 {} Reply\r\n", reply.status);
  for (const HttpHeader& header : reply.headers) {
    text += fmt::format("{}: {}\r\n", header.name, header.value);
  }
  return fmt::format("{}{}\r\n", text, framing);
}

}  // namespace

HttpExchange::HttpExchange(evhttp_request* request)
    : m_request(request), m_method(MethodName(request)) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  m_path = Unescape(evhttp_uri_get_path(uri));
  if (const char* query = evhttp_uri_get_query(uri); query != nullptr) {
    m_query = ParseQuery(query);
  }
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* item = headers->tqh_first; item != nullptr; item = item->next.tqe_next) {
    m_headers.push_back({item->key, item->value});
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  m_body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, m_body.data(), m_body.size());
}

std::string HttpExchange::Header(const std::string& name) const {
  for (const HttpHeader& header : m_headers) {
    if (evutil_ascii_strcasecmp(header.name.c_str(), name.c_str()) == 0) {
      return header.value;
    }
  }
  return {};
}

std::string HttpExchange::Query(const std::string& name) const {
  const auto it = m_query.find(name);
  return it == m_query.end() ? std::string() : it->second;
}

void HttpExchange::Reply(const ServerReply& reply) {
  evhttp_request* request = std::exchange(m_request, nullptr);
  if (request == nullptr) {
    return;
  }
  for (const HttpHeader& header : reply.headers) {
    evhttp_add_header(evhttp_request_get_output_headers(request), header.name.c_str(),
                      header.value.c_str());
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, reply.body.data(), reply.body.size());
  evhttp_send_reply(request, reply.status, "Reply", body);
  evbuffer_free(body);
}

void HttpExchange::ReplyTruncated(const ServerReply& reply) {
  WriteAndDrop(HeaderText(reply, fmt::format("Content-Length: {}\r\n", reply.body.size() + 1)) +
               HalfBody(reply));
}

void HttpExchange::ReplyWithoutLength(const ServerReply& reply) {
  WriteAndDrop(HeaderText(reply, "Connection: close\r\n") + HalfBody(reply));
}

void HttpExchange::ReplyWithoutLastChunk(const ServerReply& reply) {
  const std::string half = HalfBody(reply) + " ";
  WriteAndDrop(HeaderText(reply, "Transfer-Encoding: chunked\r\n") +
               fmt::format("{:x}\r\n{}\r\n", half.size(), half));
}

void HttpExchange::ReplyWithExtraBytes(const ServerReply& reply) {
  evhttp_connection* connection = Connection();
  Reply(reply);
  if (connection == nullptr) {
    return;
  }
  evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
  const std::string extra =
      HeaderText(reply, fmt::format("Content-Length: {}\r\n", reply.body.size())) + reply.body;
  evbuffer_add(output, extra.data(), extra.size());
}

void HttpExchange::Drop() {
  if (evhttp_connection* connection = Connection(); connection != nullptr) {
    evhttp_connection_free(connection);
    m_request = nullptr;
    return;
  }
  Reply({});  // Frees the request if the client has already closed the connection.
}

void HttpExchange::WriteAndDrop(const std::string& bytes) {
  if (evhttp_connection* connection = Connection(); connection != nullptr) {
    // Test replies are small enough to fit into the empty socket buffer in one call.
    send(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), bytes.data(),
         bytes.size(), MSG_NOSIGNAL);
  }
  Drop();
}

evhttp_connection* HttpExchange::Connection() const {
  return m_request == nullptr ? nullptr : evhttp_request_get_connection(m_request);
}

}  // namespace cranberryplank
