#ifndef CRANBERRYPLANK_MODEL_TEAM_H_
#define CRANBERRYPLANK_MODEL_TEAM_H_

#include <string>

#include "cranberryplank/model/digest.h"

namespace cranberryplank {

/// Share and limit that a team is entitled to.
struct Contract {
  double share_weight = 1.0;  ///< Weight of the team's share while a pool is full.
  int upper_limit = 0;        ///< Maximum number of running tasks in the whole fleet.

  bool operator==(const Contract&) const = default;
};

/// Team of a customer that submits requests.
struct Team {
  std::string name;
  Contract contract;

  bool operator==(const Team&) const = default;
};

/// Assignment of a key to a team. The key itself is never stored.
struct KeyGrant {
  Digest digest;  ///< SHA-256 of the key.
  std::string team;

  bool operator==(const KeyGrant&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_TEAM_H_
