#include "cranberryplank/platform/event_priority.h"

#include <event2/event.h>

namespace cranberryplank {

namespace {

constexpr int kPriorities = 2;
/// Normal events that run before the loop looks for urgent ones again.
constexpr int kNormalEventsAtOnce = 16;

}  // namespace

event_base* NewPrioritizedEventBase() {
  event_config* config = event_config_new();
  event_config_set_max_dispatch_interval(config, nullptr, kNormalEventsAtOnce, kNormalEvents);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  event_base_priority_init(base, kPriorities);
  return base;
}

}  // namespace cranberryplank
