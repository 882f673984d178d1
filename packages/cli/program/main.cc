#include <fmt/format.h>

#include <cstdio>

int main() {
  fmt::print(stderr, "cranberryplank: no command given\n");
  return 2;
}
