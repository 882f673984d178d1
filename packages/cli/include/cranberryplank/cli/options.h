#ifndef CRANBERRYPLANK_CLI_OPTIONS_H_
#define CRANBERRYPLANK_CLI_OPTIONS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/cli/http_client.h"

namespace cranberryplank {

/// Arguments of the command line.
struct Options {
  std::vector<std::string> positional_arguments;  ///< The command and its operands.
  std::vector<DaemonAddress> daemons;
  std::string token_file;
  Duration timeout{15'000};
  std::optional<Duration> wait;
  std::string nonce;
  bool json = false;
  bool help = false;
  bool version = false;
  Parameters parameters;  ///< Action parameters given as options.
  std::map<std::string, std::string, std::less<>> approver_files;  ///< Public keys by approver.
  int required_approvals = 1;
  std::string signer;    ///< Approver name for new signatures.
  std::string key_file;  ///< Secret key of a signer, or a team's key.
  std::string output;
  int first_step = 1;
};

/// Parses the command line with getopt_long.
class OptionParser {
 public:
  std::optional<Options> Parse(int argc, char** argv);

  const std::string& last_reason() const { return m_last_reason; }

 private:
  bool Apply(int option, std::string_view value, Options* options);

  std::string m_last_reason;
};

/// Text of `--help`.
std::string_view UsageText();

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_OPTIONS_H_
