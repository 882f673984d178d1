#include "cranberryplank/platform/http_message.h"

#include <fmt/format.h>

#include <algorithm>

namespace cranberryplank {

namespace {

char LowerCase(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsUnreserved(char c) {
  const char lower = LowerCase(c);
  return (lower >= 'a' && lower <= 'z') || (c >= '0' && c <= '9') ||
         std::string_view("-._~/").find(c) != std::string_view::npos;
}

}  // namespace

std::string_view HttpReply::Header(std::string_view name) const {
  for (const HttpHeader& header : headers) {
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(),
                   [](char a, char b) { return LowerCase(a) == LowerCase(b); })) {
      return header.value;
    }
  }
  return {};
}

std::string EscapePath(std::string_view path) {
  std::string escaped;
  for (const char c : path) {
    if (IsUnreserved(c)) {
      escaped += c;
    } else {
      escaped += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return escaped;
}

}  // namespace cranberryplank
