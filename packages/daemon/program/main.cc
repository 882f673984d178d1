#include <fmt/format.h>

#include <cstdio>

int main() {
  fmt::print(stderr, "cranberryplankd: no command given\n");
  return 2;
}
