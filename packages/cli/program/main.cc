#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <iostream>

#include "cranberryplank/cli/evhttp_client.h"
#include "cranberryplank/cli/program.h"

int main(int argc, char** argv) {
  // A connection closed by a daemon is reported as an error instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    cranberryplank::EvhttpClient http;
    cranberryplank::SystemRandom random;
    cranberryplank::Program program(&http, &random, &std::cout, &std::cerr);
    return static_cast<int>(program.Run(argc, argv));
  } catch (const std::exception& error) {
    fmt::print(stderr, "cranberryplank: {}\n", error.what());
    return static_cast<int>(cranberryplank::ExitCode::kUnreachable);
  }
}
