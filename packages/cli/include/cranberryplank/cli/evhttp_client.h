#ifndef CRANBERRYPLANK_CLI_EVHTTP_CLIENT_H_
#define CRANBERRYPLANK_CLI_EVHTTP_CLIENT_H_

#include "cranberryplank/cli/http_client.h"

namespace cranberryplank {

/// HTTP client based on evhttp; opens a connection for each call.
class EvhttpClient : public HttpClient {
 public:
  HttpReply Call(const DaemonAddress& daemon, const HttpRequest& request,
                 Duration timeout) override;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_EVHTTP_CLIENT_H_
