#include "head_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryplank/control/head_replica.h"
#include "cranberryplank/model/invariant.h"

namespace cranberryplank {

namespace {

constexpr Duration kReadInterval{500};

/// While peers confirm the head, a read only guards against changes that both the watch and the
/// peers miss.
constexpr Duration kConfirmedReadInterval{5'000};

constexpr Duration kWatchWait{30'000};
constexpr Duration kWatchInterval{100};
constexpr Duration kPeerRequestInterval{200};
constexpr Duration kFetchInterval{500};

/// A pending read that is older than `kFreshness`, the time for which its answer counts, no longer
/// delays the next one, up to this number of reads at a time.
constexpr int kMaxConcurrentReads = 4;

/// Candidates kept while their parts are fetched.
constexpr std::size_t kMaxCandidates = 8;

/// Bytes of parts in one reply to a peer; the frame limit is 1 MiB. A larger part is sent alone.
constexpr std::size_t kMaxReplyPartBytes = 500'000;

bool IsDue(TimePoint now, const std::optional<TimePoint>& last, Duration interval) {
  return !last || now >= *last + interval;
}

}  // namespace

HeadReader::HeadReader(Store& store, PeerLinks& links, RandomSource& random)
    : m_store(store), m_links(links), m_random(random) {}

void HeadReader::Tick(TimePoint now, bool confirmed) {
  ReadIfDue(now, confirmed);
  WatchIfDue(now);
  FetchParts(now);
  RequestHeadIfDue(now);
}

void HeadReader::ReadIfDue(TimePoint now, bool confirmed) {
  // Without a pending watch, or while a newer revision is known, the head is read at the normal
  // interval.
  const bool rarely = confirmed && m_watching && m_newest <= m_head.revision;
  if (!IsDue(now, m_last_read, rarely ? kConfirmedReadInterval : kReadInterval) ||
      (m_reading > 0 &&
       (m_reading >= kMaxConcurrentReads || !IsDue(now, m_last_read, kFreshness)))) {
    return;
  }
  Read(now, [](TimePoint, const StoreHead*, std::string_view) {});
}

void HeadReader::Read(TimePoint now, ReadDone done) {
  m_last_read = now;
  ++m_reading;
  m_store.Read(kHeadKey, m_guard.Wrap([this, sent = now, done = std::move(done)](
                                          TimePoint received, const StoreReadReply& reply) {
    --m_reading;
    std::string reason;
    const std::optional<StoreHead> read = ProcessStoreReply(received, reply, &reason);
    if (read) {
      m_store_read.emit(sent, read->head.revision);
    }
    done(received, read ? &*read : nullptr, reason);
  }));
}

void HeadReader::WatchIfDue(TimePoint now) {
  if (m_watching || m_watch_index == 0 || !IsDue(now, m_last_watch, kWatchInterval)) {
    return;
  }
  m_watching = true;
  m_last_watch = now;
  m_store.Watch(kHeadKey, m_watch_index, kWatchWait,
                m_guard.Wrap([this](TimePoint received, const StoreReadReply& reply) {
                  m_watching = false;
                  std::string reason;
                  if (!ProcessStoreReply(received, reply, &reason)) {
                    // The next read starts the watch again, so that a failing store is not called
                    // in a loop.
                    m_watch_index = 0;
                  }
                }));
}

std::optional<HeadReader::StoreHead> HeadReader::ProcessStoreReply(TimePoint now,
                                                                   const StoreReadReply& reply,
                                                                   std::string* last_reason) {
  if (reply.status != StoreStatus::kOk) {
    *last_reason = reply.reason;
    return std::nullopt;
  }
  m_watch_index = reply.watch_index;
  StoreHead read{Head(), reply.index};
  if (m_store_head && reply.found && reply.index == m_store_head->index) {
    // The same index means the same head, so most reads need no decoding.
    read = *m_store_head;
  } else if (reply.found) {
    const std::optional<Head> head = DecodeHead(reply.value, last_reason);
    if (!head) {
      m_undecodable = *last_reason;
      m_undecodable_revision = m_newest + 1;
      return std::nullopt;
    }
    read.head = *head;
  }
  if (m_undecodable_revision > read.head.revision && m_candidates.empty()) {
    m_undecodable.clear();
  }
  if (!m_store_head || read.head.revision >= m_store_head->head.revision) {
    m_store_head = read;
  }
  AddCandidate(now, read.head);
  return read;
}

void HeadReader::UpdatePeerRevision(const std::string& peer, std::uint64_t revision,
                                    std::uint64_t newest_revision) {
  m_peer_revisions[peer] = revision;
  m_newest = std::max({m_newest, revision, newest_revision});
}

void HeadReader::SetPeers(std::vector<std::string> peers) {
  m_peers = std::move(peers);
  std::erase_if(m_peer_revisions, [&](const auto& entry) {
    return std::find(m_peers.begin(), m_peers.end(), entry.first) == m_peers.end();
  });
}

void HeadReader::RequestHeadIfDue(TimePoint now) {
  if (m_peers.empty() || (m_head.revision > 0 && m_newest <= m_head.revision) ||
      !IsDue(now, m_last_peer_request, kPeerRequestInterval)) {
    return;
  }
  std::vector<std::string> ahead;
  for (const auto& [peer, revision] : m_peer_revisions) {
    if (revision > m_head.revision) {
      ahead.push_back(peer);
    }
  }
  if (ahead.empty() && m_head.revision > 0) {
    return;
  }
  const std::vector<std::string>& peers = ahead.empty() ? m_peers : ahead;
  HeadRequest request;
  request.request_id = ++m_request_id;
  for (const auto& [digest, text] : m_parts) {
    request.known_digests.push_back(digest);
  }
  m_last_peer_request = now;
  m_links.Send(peers[m_random.Below(peers.size())], request);
}

void HeadReader::OnHeadReply(TimePoint now, const HeadReply& reply) {
  std::string reason;
  const std::optional<Head> head = DecodeHead(reply.head, &reason);
  if (!head) {
    return;
  }
  AddRecordedHead(now, *head, reply.parts);
  // The remaining parts of a head that does not fit into one reply are requested without delay.
  if (m_head.revision < head->revision) {
    m_last_peer_request.reset();
  }
}

HeadReply HeadReader::Answer(const HeadRequest& request) const {
  HeadReply reply;
  reply.request_id = request.request_id;
  if (m_head.revision == 0) {
    return reply;
  }
  reply.head = EncodeHead(m_head);
  const std::set<std::string> known(request.known_digests.begin(), request.known_digests.end());
  std::size_t bytes = 0;
  for (const auto& [name, digest] : m_head.parts) {
    const auto text = m_parts.find(digest.hex);
    if (known.contains(digest.hex) || text == m_parts.end()) {
      continue;
    }
    if (bytes > 0 && bytes + text->second.size() > kMaxReplyPartBytes) {
      break;
    }
    bytes += text->second.size();
    reply.parts[digest.hex] = text->second;
  }
  return reply;
}

void HeadReader::AddRecordedHead(TimePoint now, const Head& head,
                                 const std::map<std::string, std::string>& parts) {
  if (head.revision <= m_head.revision) {
    return;
  }
  for (const auto& [digest, text] : parts) {
    AddPart(digest, text);
  }
  AddCandidate(now, head);
}

void HeadReader::AddCandidate(TimePoint now, const Head& head) {
  m_newest = std::max(m_newest, head.revision);
  if (head.revision <= m_head.revision) {
    return;
  }
  m_candidates.emplace(head.revision, head);
  if (m_candidates.size() > kMaxCandidates) {
    // Keeps the oldest, whose parts are the most complete, and the newest.
    m_candidates.erase(std::next(m_candidates.begin()));
  }
  ApplyNewest(now);
  m_last_fetch.reset();
  FetchParts(now);
}

void HeadReader::AddPart(const std::string& digest, const std::string& text) {
  if (m_parts.contains(digest)) {
    return;
  }
  if (Sha256(text).hex == digest) {
    m_parts[digest] = text;
  }
}

void HeadReader::FetchParts(TimePoint now) {
  if (m_candidates.empty() || !IsDue(now, m_last_fetch, kFetchInterval)) {
    return;
  }
  m_last_fetch = now;
  for (const Head* head : {&m_candidates.begin()->second, &m_candidates.rbegin()->second}) {
    for (const auto& [name, digest] : head->parts) {
      if (!m_parts.contains(digest.hex) && m_fetching.insert(digest.hex).second) {
        FetchPart(digest.hex);
      }
    }
  }
}

void HeadReader::FetchPart(const std::string& digest) {
  m_store.Read(PartKey(Digest{digest}),
               m_guard.Wrap([this, digest](TimePoint now, const StoreReadReply& reply) {
                 m_fetching.erase(digest);
                 if (reply.status != StoreStatus::kOk || !IsWanted(digest)) {
                   return;
                 }
                 AddPart(digest, reply.value);
                 if (!m_parts.contains(digest)) {
                   m_undecodable =
                       fmt::format("part {} in the store {}", digest,
                                   reply.found ? "does not match its digest" : "is missing");
                   m_undecodable_revision = m_candidates.rbegin()->first;
                   return;
                 }
                 ApplyNewest(now);
               }));
}

bool HeadReader::IsWanted(const std::string& digest) const {
  return std::any_of(m_candidates.begin(), m_candidates.end(), [&](const auto& candidate) {
    return std::any_of(candidate.second.parts.begin(), candidate.second.parts.end(),
                       [&](const auto& part) { return part.second.hex == digest; });
  });
}

void HeadReader::ApplyNewest(TimePoint now) {
  for (auto candidate = m_candidates.rbegin(); candidate != m_candidates.rend(); ++candidate) {
    if (IsComplete(candidate->second) && Apply(now, Head(candidate->second))) {
      return;
    }
  }
}

bool HeadReader::IsComplete(const Head& head) const {
  return std::all_of(head.parts.begin(), head.parts.end(),
                     [&](const auto& part) { return m_parts.contains(part.second.hex); });
}

bool HeadReader::Apply(TimePoint now, const Head& head) {
  Fleet fleet = m_fleet;
  fleet.revision = head.revision;
  for (const auto& [name, digest] : m_head.parts) {
    std::string reason;
    if (!head.parts.contains(name)) {
      DecodePart(name, name == kBundlePart ? "" : "[]", &fleet, &reason);
    }
  }
  for (const auto& [name, digest] : head.parts) {
    const auto held = m_head.parts.find(name);
    if (held != m_head.parts.end() && held->second == digest) {
      continue;
    }
    std::string reason;
    if (!DecodePart(name, m_parts.at(digest.hex), &fleet, &reason)) {
      m_undecodable = fmt::format("revision {} cannot be read: {}", head.revision, reason);
      m_undecodable_revision = head.revision;
      return false;
    }
  }
  CP_INVARIANT(head.revision > m_head.revision, "held={} applied={}", m_head.revision,
               head.revision);
  m_head = head;
  m_fleet = std::move(fleet);
  m_candidates.erase(m_candidates.begin(), m_candidates.upper_bound(head.revision));
  if (m_undecodable_revision <= head.revision) {
    m_undecodable.clear();
  }
  RemoveUnusedParts();
  m_applied.emit(now);
  return true;
}

void HeadReader::RemoveUnusedParts() {
  std::set<std::string> used;
  for (const auto& [name, digest] : m_head.parts) {
    used.insert(digest.hex);
  }
  for (const auto& [revision, head] : m_candidates) {
    for (const auto& [name, digest] : head.parts) {
      used.insert(digest.hex);
    }
  }
  std::erase_if(m_parts, [&](const auto& entry) { return !used.contains(entry.first); });
}

}  // namespace cranberryplank
