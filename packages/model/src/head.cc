#include "cranberryplank/model/head.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace cranberryplank {

namespace {

using nlohmann::json;

json EncodeDaemon(const DaemonRecord& daemon) {
  return json{{"id", daemon.id},
              {"incarnation", daemon.incarnation},
              {"zone", daemon.zone},
              {"peer_host", daemon.peer_host},
              {"peer_port", daemon.peer_port},
              {"api_host", daemon.api_host},
              {"api_port", daemon.api_port}};
}

DaemonRecord DecodeDaemon(const json& value) {
  DaemonRecord daemon;
  value.at("id").get_to(daemon.id);
  value.at("incarnation").get_to(daemon.incarnation);
  value.at("zone").get_to(daemon.zone);
  value.at("peer_host").get_to(daemon.peer_host);
  value.at("peer_port").get_to(daemon.peer_port);
  value.at("api_host").get_to(daemon.api_host);
  value.at("api_port").get_to(daemon.api_port);
  return daemon;
}

json EncodeDaemons(const std::vector<DaemonRecord>& daemons) {
  json list = json::array();
  for (const DaemonRecord& daemon : daemons) {
    list.push_back(EncodeDaemon(daemon));
  }
  return list;
}

std::vector<DaemonRecord> DecodeDaemons(const json& list) {
  std::vector<DaemonRecord> daemons;
  for (const json& daemon : list) {
    daemons.push_back(DecodeDaemon(daemon));
  }
  return daemons;
}

}  // namespace

std::string PartKey(const Digest& digest) {
  return fmt::format("cranberryplank/part/{}", digest.hex);
}

const DaemonRecord* Head::FindIncarnation(std::string_view incarnation) const {
  for (const DaemonRecord& daemon : daemons) {
    if (daemon.incarnation == incarnation) {
      return &daemon;
    }
  }
  return nullptr;
}

std::string EncodeHead(const Head& head) {
  json parts = json::object();
  for (const auto& [name, digest] : head.parts) {
    parts[name] = digest.hex;
  }
  json writes = json::array();
  for (const WriteRecord& write : head.last_writes) {
    writes.push_back(json{
        {"incarnation", write.incarnation}, {"nonce", write.nonce}, {"revision", write.revision}});
  }
  return json{{"revision", head.revision},
              {"writer", head.writer},
              {"parts", parts},
              {"daemons", EncodeDaemons(head.daemons)},
              {"previous_daemons", EncodeDaemons(head.previous_daemons)},
              {"last_writes", writes},
              {"registration_revision", head.registration_revision}}
      .dump();
}

std::optional<Head> DecodeHead(std::string_view text, std::string* last_reason) {
  try {
    const json value = json::parse(text);
    Head head;
    value.at("revision").get_to(head.revision);
    value.at("writer").get_to(head.writer);
    for (const auto& [name, digest] : value.at("parts").items()) {
      head.parts[name] = Digest{digest.get<std::string>()};
    }
    head.daemons = DecodeDaemons(value.at("daemons"));
    head.previous_daemons = DecodeDaemons(value.at("previous_daemons"));
    for (const json& write : value.at("last_writes")) {
      head.last_writes.push_back(WriteRecord{write.at("incarnation").get<std::string>(),
                                             write.at("nonce").get<std::string>(),
                                             write.at("revision").get<std::uint64_t>()});
    }
    value.at("registration_revision").get_to(head.registration_revision);
    return head;
  } catch (const json::exception& error) {
    *last_reason = fmt::format("head is not valid: {}", error.what());
    return std::nullopt;
  }
}

}  // namespace cranberryplank
