#include "cranberryplank/platform/event_priority.h"

#include <event2/event.h>

#include <catch2/catch.hpp>
#include <vector>

#include "http_connection.h"

namespace cranberryplank {

namespace {

struct Turns {
  event_base* base = nullptr;
  event* urgent = nullptr;
  int normal_runs = 0;
  int normal_runs_before_urgent = -1;
};

void OnNormal(evutil_socket_t, short, void* argument) {  // NOLINT(google-runtime-int)
  auto* turns = static_cast<Turns*>(argument);
  if (++turns->normal_runs == 1) {
    event_active(turns->urgent, EV_TIMEOUT, 1);
  }
}

void OnUrgent(evutil_socket_t, short, void* argument) {  // NOLINT(google-runtime-int)
  auto* turns = static_cast<Turns*>(argument);
  turns->normal_runs_before_urgent = turns->normal_runs;
}

}  // namespace

// Replays a loop with a thousand replies to handle when a call of another daemon arrives. Guards
// against a busy owner that answers pings late and is taken for a failed one.
TEST_CASE("an urgent event does not wait for a thousand others") {
  Turns turns;
  turns.base = NewPrioritizedEventBase();
  turns.urgent = evtimer_new(turns.base, OnUrgent, &turns);
  event_priority_set(turns.urgent, kUrgentEvents);
  std::vector<event*> normal;
  constexpr int kReplies = 1'000;
  for (int i = 0; i < kReplies; ++i) {
    normal.push_back(evtimer_new(turns.base, OnNormal, &turns));
    event_active(normal.back(), EV_TIMEOUT, 1);
  }
  event_base_loop(turns.base, EVLOOP_NONBLOCK);
  while (turns.normal_runs < kReplies) {
    event_base_loop(turns.base, EVLOOP_NONBLOCK);
  }
  CHECK(turns.normal_runs_before_urgent > 0);
  CHECK(turns.normal_runs_before_urgent <= 50);
  for (event* handle : normal) {
    event_free(handle);
  }
  event_free(turns.urgent);
  event_base_free(turns.base);
}

// Guards against an urgent connection whose events wait all the same: libevent resets the priority
// of a connection when its socket is assigned.
TEST_CASE("the events of an urgent connection keep their priority") {
  event_base* base = NewPrioritizedEventBase();
  HttpRequest request;
  request.host = "127.0.0.1";
  request.port = 1;
  request.target = "/";
  {
    HttpConnection urgent(base, request.host, request.port, 1'000, true);
    urgent.Send(request, [](const HttpReply&) {});
    CHECK(urgent.priority() == kUrgentEvents);
    HttpConnection normal(base, request.host, request.port, 1'000, false);
    normal.Send(request, [](const HttpReply&) {});
    CHECK(normal.priority() == kNormalEvents);
  }
  event_base_free(base);
}

}  // namespace cranberryplank
