#ifndef CRANBERRYPLANK_MODEL_TEAM_H_
#define CRANBERRYPLANK_MODEL_TEAM_H_

#include <string>

#include "cranberryplank/model/digest.h"

namespace cranberryplank {

/// What a team is entitled to.
struct Contract {
  double share_weight = 1.0;  ///< Weight of its share while a pool is full.
  int upper_limit = 0;        ///< Most tasks it may have running across the whole fleet.

  bool operator==(const Contract&) const = default;
};

/// Customer's team that submits requests.
struct Team {
  std::string name;
  Contract contract;

  bool operator==(const Team&) const = default;
};

/// Grant of a key to a team. The key itself is never stored.
struct KeyGrant {
  Digest digest;  ///< SHA-256 of the key.
  std::string team;

  bool operator==(const KeyGrant&) const = default;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_MODEL_TEAM_H_
