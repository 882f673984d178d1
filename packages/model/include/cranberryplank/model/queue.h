#ifndef CRANBERRYPLANK_MODEL_QUEUE_H_
#define CRANBERRYPLANK_MODEL_QUEUE_H_

#include <string>
#include <vector>

#include "cranberryplank/model/time.h"

namespace cranberryplank {

/// Queue of requests of one kind, served by one pool.
struct Queue {
  std::string name;
  std::string pool;
  std::vector<std::string> teams;  ///< Teams that may submit; ignored if open to all.
  bool open_to_all = false;        ///< Accepts requests without a key on behalf of `open_team`.
  std::string open_team;           ///< Team to which requests without a key are assigned.
  Duration max_run{30'000};        ///< Task lease; the worker stops a task that runs longer.
  int max_waiting = 1'000;         ///< Maximum number of waiting requests per daemon.

  bool operator==(const Queue&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_QUEUE_H_
