#include "cranberryplank/support/fake_store.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace cranberryplank {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "/v1/kv/";
constexpr Duration kDefaultWait{300'000};  // Consul's default of five minutes.

std::string EncodeBase64(const std::string& bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // Terminating null character.
  return text;
}

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

Duration ParseWait(const std::string& text) {
  if (text.empty()) {
    return kDefaultWait;
  }
  const auto number = static_cast<Duration::rep>(ParseNumber(text));
  return text.ends_with("ms") ? Duration(number) : Duration(number * 1'000);
}

ServerReply ToReply(const std::string& key, const KeyEntry& entry) {
  ServerReply reply;
  reply.headers = {{"X-Consul-Index", fmt::to_string(entry.watch_index)},
                   {"Content-Type", "application/json"}};
  if (!entry.found) {
    reply.status = 404;
    return reply;
  }
  json value{{"Key", key}, {"ModifyIndex", entry.index}, {"Flags", 0}};
  value["Value"] = entry.value.empty() ? json() : json(EncodeBase64(entry.value));
  reply.body = json::array({value}).dump();
  return reply;
}

}  // namespace

ServerReply FakeStore::Refusal(const HttpExchange&) const { return {429, "rate limit\n", {}}; }

bool FakeStore::ApplyFault(const Fault& fault) {
  if (fault.name != "late_write") {
    return false;
  }
  plan().Add(fault);
  return true;
}

void FakeStore::Handle(const Exchange& exchange) {
  if (!exchange->path().starts_with(kPrefix)) {
    Answer(exchange, {400, "unknown path\n", {}});
    return;
  }
  const std::string key = exchange->path().substr(kPrefix.size());
  if (exchange->method() == "GET") {
    Read(exchange, key);
  } else if (exchange->method() == "PUT") {
    Write(exchange, key);
  } else {
    Answer(exchange, {405, "unknown method\n", {}});
  }
}

void FakeStore::Read(const Exchange& exchange, const std::string& key) {
  const KeyEntry entry = m_table.Get(key);
  const std::uint64_t index = ParseNumber(exchange->Query("index"));
  if (index == 0 || entry.watch_index > index) {
    Answer(exchange, ToReply(key, entry));
    return;
  }
  const std::uint64_t id = m_table.Watch(key, [this, exchange, key](const KeyEntry& changed) {
    Answer(exchange, ToReply(key, changed));
  });
  scheduler().Schedule(scheduler().Now() + ParseWait(exchange->Query("wait")),
                       [this, exchange, key, id](TimePoint) {
                         if (m_table.Unwatch(id)) {
                           Answer(exchange, ToReply(key, m_table.Get(key)));
                         }
                       });
}

void FakeStore::Write(const Exchange& exchange, const std::string& key) {
  const auto write = [this, exchange, key](TimePoint) {
    bool written = true;
    if (exchange->HasQuery("cas")) {
      written = m_table.CompareAndSwap(key, exchange->body(), ParseNumber(exchange->Query("cas")));
    } else {
      m_table.Put(key, exchange->body());
    }
    Answer(exchange, {200, written ? "true" : "false", {{"Content-Type", "application/json"}}});
  };
  if (const std::optional<Fault> fault =
          plan().Take("late_write", exchange->method(), exchange->path())) {
    scheduler().Schedule(scheduler().Now() + fault->time, write);
    return;
  }
  write(scheduler().Now());
}

}  // namespace cranberryplank
