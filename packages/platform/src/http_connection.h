#ifndef CRANBERRYPLANK_PLATFORM_HTTP_CONNECTION_H_
#define CRANBERRYPLANK_PLATFORM_HTTP_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <string>

#include "cranberryplank/platform/http_message.h"

struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp_connection;
struct evhttp_request;

namespace cranberryplank {

/// Connection to a server, for one request at a time. It must not be destroyed from within its
/// callback.
class HttpConnection {
 public:
  using Callback = std::function<void(HttpReply reply)>;

  /// `host` must be an IP address, since a host name would be resolved with a blocking call.
  /// @param urgent whether its events run before others of a loop with priorities
  HttpConnection(event_base* base, const std::string& host, std::uint16_t port,
                 std::size_t max_reply_bytes, bool urgent);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Closes the connection without running a pending callback.
  ~HttpConnection();

  /// Sends a request. `done` runs at most once, possibly from within this call.
  void Send(const HttpRequest& request, Callback done);

  /// Returns whether a byte of the current request may have been written.
  bool written() const { return m_written; }

  /// Returns the priority of the connection's events. It is set by `Send`.
  int priority() const;
  /// Returns whether the last reply left the connection open and idle.
  bool KeptAlive() const;
  /// Returns whether the connection is open and idle, with no byte or end of stream to read. Asks
  /// the kernel, so a connection that the server has closed since is not reused.
  bool Reusable() const;

 private:
  static void OnReply(evhttp_request* request, void* argument);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

  void Finish(HttpReply reply);
  HttpReply Failure(std::string_view reason) const;

  evhttp_connection* m_connection;
  bool m_urgent;
  Callback m_done;
  bool m_written = false;
  bool m_reusable = false;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_HTTP_CONNECTION_H_
