#ifndef CRANBERRYPLANK_CLI_EVHTTP_CLIENT_H_
#define CRANBERRYPLANK_CLI_EVHTTP_CLIENT_H_

#include "cranberryplank/cli/http_client.h"

namespace cranberryplank {

/// HTTP calls over evhttp with a connection of their own.
class EvhttpClient : public HttpClient {
 public:
  HttpReply Call(const DaemonAddress& daemon, const HttpRequest& request,
                 Duration timeout) override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_EVHTTP_CLIENT_H_
