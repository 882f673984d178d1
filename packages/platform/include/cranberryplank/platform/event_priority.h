#ifndef CRANBERRYPLANK_PLATFORM_EVENT_PRIORITY_H_
#define CRANBERRYPLANK_PLATFORM_EVENT_PRIORITY_H_

struct event_base;

namespace cranberryplank {

/// Priorities of the events of one event loop; an event of a lower number runs first.
///
/// The load that this answers: an owner with a thousand workers has hundreds of replies to handle
/// in each turn of the loop. Calls on which the ownership and the storing depend would wait behind
/// all of them, and a busy owner would look as if it had failed.
enum EventPriority : int {
  kUrgentEvents = 0,  ///< Calls between daemons, and calls to the store.
  kNormalEvents = 1,
};

/// Creates an event loop with these priorities, which looks for urgent events after a few others.
/// @return the loop, to be freed by the caller
event_base* NewPrioritizedEventBase();

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_PLATFORM_EVENT_PRIORITY_H_
