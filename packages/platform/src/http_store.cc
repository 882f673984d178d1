#include "cranberryplank/platform/http_store.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cranberryplank/platform/http_status.h"

namespace cranberryplank {

namespace {

using nlohmann::json;
using namespace http_status;  // NOLINT(google-build-using-namespace): constants only

/// Consul adds a jitter of up to 1/16 of the wait to a blocking query.
constexpr int kWaitJitterDivisor = 16;

std::optional<std::uint64_t> ParseIndex(std::string_view text) {
  std::uint64_t index = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return index;
}

std::optional<std::string> DecodeBase64(const std::string& text) {
  std::string bytes(text.size(), '\0');
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), text.data(),
                        text.size(), nullptr, &size, &end, sodium_base64_VARIANT_ORIGINAL) != 0 ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  bytes.resize(size);
  return bytes;
}

/// Returns whether the store rejected the call before it had any effect. A server error does not
/// prove that, because Consul also returns it for a forwarded write with an unknown outcome.
bool IsRefusal(const HttpReply& reply) {
  if (reply.outcome == HttpOutcome::kNotSent) {
    return true;
  }
  return reply.outcome == HttpOutcome::kAnswered && reply.status >= 400 && reply.status < 500;
}

std::string FailureReason(const HttpReply& reply) {
  return reply.outcome == HttpOutcome::kAnswered ? fmt::format("status {}", reply.status)
                                                 : reply.reason;
}

/// Reads the value of `key` into `result`. @return false if the body is not valid.
bool ReadEntry(std::string_view key, const std::string& body, StoreReadReply* result) {
  const json list = json::parse(body, nullptr, false);
  if (!list.is_array() || list.size() != 1 || !list[0].is_object()) {
    return false;
  }
  const json& entry = list[0];
  const auto name = entry.find("Key");
  const auto value = entry.find("Value");
  const auto index = entry.find("ModifyIndex");
  if (name == entry.end() || *name != key || index == entry.end() || !index->is_number_unsigned() ||
      value == entry.end()) {
    return false;
  }
  if (value->is_string()) {
    std::optional<std::string> bytes = DecodeBase64(value->get<std::string>());
    if (!bytes) {
      return false;
    }
    result->value = std::move(*bytes);
  } else if (!value->is_null()) {  // Consul encodes an empty value as null.
    return false;
  }
  result->found = true;
  result->index = index->get<std::uint64_t>();
  return result->index > 0;
}

StoreReadReply ToReadReply(std::string_view key, const HttpReply& reply) {
  StoreReadReply result;
  const std::optional<std::uint64_t> watch_index = ParseIndex(reply.Header("X-Consul-Index"));
  const bool answer =
      reply.outcome == HttpOutcome::kAnswered && (reply.status == kOk || reply.status == kNotFound);
  if (!answer) {
    result.status = IsRefusal(reply) ? StoreStatus::kRefused : StoreStatus::kUnknown;
    result.reason = FailureReason(reply);
    return result;
  }
  // A 404 without the index may come from a server other than the store.
  if (!watch_index || (reply.status == kOk && !ReadEntry(key, reply.body, &result))) {
    result = StoreReadReply{};
    result.reason = "the reply has no index or no valid entry for this key";
    return result;
  }
  result.status = StoreStatus::kOk;
  // Consul requires clients to treat index 0 as 1, because a watch from 0 returns immediately.
  result.watch_index = std::max<std::uint64_t>(*watch_index, 1);
  return result;
}

StoreWriteReply ToWriteReply(const HttpReply& reply) {
  if (IsRefusal(reply)) {
    return {StoreStatus::kRefused, FailureReason(reply)};
  }
  if (reply.outcome != HttpOutcome::kAnswered || reply.status != kOk) {
    return {StoreStatus::kUnknown, FailureReason(reply)};
  }
  std::string_view body = reply.body;
  body = body.substr(0, body.find_last_not_of("\r\n") + 1);
  if (body == "true") {
    return {StoreStatus::kOk, ""};
  }
  if (body == "false") {
    return {StoreStatus::kConflict, "the key has another version"};
  }
  return {StoreStatus::kUnknown, "the reply is neither true nor false"};
}

}  // namespace

HttpStore::HttpStore(HttpClient* client, std::string host, std::uint16_t port, Duration timeout)
    : m_client(client), m_host(std::move(host)), m_port(port), m_timeout(timeout) {}

void HttpStore::Get(std::string_view key, std::string_view query, Duration timeout,
                    ReadCallback done) {
  HttpRequest request;
  request.host = m_host;
  request.port = m_port;
  request.target = fmt::format("/v1/kv/{}?consistent{}", EscapePath(key), query);
  request.timeout = timeout;
  m_client->Send(std::move(request), [key = std::string(key), done = std::move(done)](
                                         TimePoint now, const HttpReply& reply) {
    done(now, ToReadReply(key, reply));
  });
}

void HttpStore::Read(std::string_view key, ReadCallback done) {
  Get(key, "", m_timeout, std::move(done));
}

void HttpStore::Watch(std::string_view key, std::uint64_t watch_index, Duration wait,
                      ReadCallback done) {
  Get(key, fmt::format("&index={}&wait={}ms", watch_index, wait.count()),
      m_timeout + wait + wait / kWaitJitterDivisor, std::move(done));
}

void HttpStore::CompareAndSwap(std::string_view key, std::string_view value, std::uint64_t index,
                               WriteCallback done) {
  HttpRequest request;
  request.method = HttpMethod::kPut;
  request.host = m_host;
  request.port = m_port;
  request.target = fmt::format("/v1/kv/{}?cas={}", EscapePath(key), index);
  request.body = value;
  request.timeout = m_timeout;
  m_client->Send(std::move(request),
                 [done = std::move(done)](TimePoint now, const HttpReply& reply) {
                   done(now, ToWriteReply(reply));
                 });
}

}  // namespace cranberryplank
