#ifndef CRANBERRYPLANK_SUPPORT_HTTP_EXCHANGE_H_
#define CRANBERRYPLANK_SUPPORT_HTTP_EXCHANGE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/platform/http_message.h"

struct evhttp_connection;
struct evhttp_request;

namespace cranberryplank {

/// Answer of a fake server.
struct ServerReply {
  int status = 200;
  std::string body;
  std::vector<HttpHeader> headers;
};

/// Request to a fake server and its answer, which may be sent later. After the first answer, or
/// once the server has stopped, further answers have no effect.
class HttpExchange {
 public:
  explicit HttpExchange(evhttp_request* request);

  const std::string& method() const { return m_method; }
  const std::string& path() const { return m_path; }  ///< Unescaped, without the query.
  const std::string& body() const { return m_body; }

  /// Returns an empty string if the header is absent.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
  bool HasQuery(const std::string& name) const { return m_query.contains(name); }

  void Reply(const ServerReply& reply);

  /// Sends half of the body with the Content-Length of the whole body and closes the connection.
  void ReplyTruncated(const ServerReply& reply);

  /// Sends half of the body without Content-Length or chunking and closes the connection.
  void ReplyWithoutLength(const ServerReply& reply);

  /// Sends one chunk without the terminating chunk and closes the connection.
  void ReplyWithoutLastChunk(const ServerReply& reply);

  /// Sends the reply followed by an unsolicited second one.
  void ReplyWithExtraBytes(const ServerReply& reply);

  /// Closes the connection without a reply. Must not be called from the server's handler.
  void Drop();

  /// Called by the server when it stops.
  void Detach() { m_request = nullptr; }

 private:
  void WriteAndDrop(const std::string& bytes);

  /// Returns nullptr if the exchange has ended or the client has closed the connection.
  evhttp_connection* Connection() const;

  evhttp_request* m_request;
  std::string m_method;
  std::string m_path;
  std::string m_body;
  std::map<std::string, std::string> m_query;
  std::vector<HttpHeader> m_headers;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_SUPPORT_HTTP_EXCHANGE_H_
