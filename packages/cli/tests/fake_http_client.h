#ifndef CRANBERRYPLANK_CLI_TESTS_FAKE_HTTP_CLIENT_H_
#define CRANBERRYPLANK_CLI_TESTS_FAKE_HTTP_CLIENT_H_

#include <deque>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryplank/cli/http_client.h"

namespace cranberryplank {

/// Returns scripted replies and records the calls. The last reply is repeated.
class FakeHttpClient : public HttpClient {
 public:
  struct RecordedCall {
    DaemonAddress daemon;
    HttpRequest request;

    std::string Header(std::string_view name) const {
      for (const auto& [header, value] : request.headers) {
        if (header == name) {
          return value;
        }
      }
      return "";
    }
  };

  HttpReply Call(const DaemonAddress& daemon, const HttpRequest& request, Duration) override {
    calls.push_back({daemon, request});
    HttpReply reply = replies.empty() ? HttpReply{} : replies.front();
    if (replies.size() > 1) {
      replies.pop_front();
    }
    return reply;
  }

  void Answer(int status, std::string body) {
    replies.push_back({HttpOutcome::kAnswered, status, std::move(body), ""});
  }

  void Fail(HttpOutcome outcome) { replies.push_back({outcome, 0, "", "failed"}); }

  std::deque<HttpReply> replies;
  std::vector<RecordedCall> calls;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_TESTS_FAKE_HTTP_CLIENT_H_
