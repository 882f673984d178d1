#ifndef CRANBERRYPLANK_ENTRY_SRC_STOP_TIMING_H_
#define CRANBERRYPLANK_ENTRY_SRC_STOP_TIMING_H_

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// State of a daemon that stops.
struct StopState {
  Duration elapsed{0};    ///< Time since the stop began.
  Duration grace{0};      ///< Longest time that a stop may take.
  bool owner = false;     ///< The daemon still owns the schedule.
  bool answered = false;  ///< No request waits for its response.
};

/// Returns whether the process may end.
bool MayEnd(const StopState& state);
/// Returns whether the process must end, even if requests have no response.
bool MustEnd(const StopState& state);

/// Returns the time after the begin of a stop by which callers' requests must have a response.
/// @param grace longest time that a stop may take
Duration AnswerTime(Duration grace);

/// Returns the processing power that the VM of a successor must have, in cores of standard speed.
/// @param elapsed time since the stop began
/// @param grace longest time that a stop may take
/// @param own_cores processing power of this VM
double LeastSuccessorCores(Duration elapsed, Duration grace, double own_cores);

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_ENTRY_SRC_STOP_TIMING_H_
