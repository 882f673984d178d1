#ifndef CRANBERRYPLANK_CLI_PROGRAM_H_
#define CRANBERRYPLANK_CLI_PROGRAM_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>

#include "cranberryplank/bundle/bundle.h"
#include "cranberryplank/cli/admin_client.h"
#include "cranberryplank/cli/exit_code.h"
#include "cranberryplank/cli/options.h"
#include "cranberryplank/model/digest.h"

namespace cranberryplank {

/// Command line program for operators.
class Program {
 public:
  /// The arguments must outlive this object.
  Program(HttpClient* http, RandomSource* random, std::ostream* out, std::ostream* err);

  ExitCode Run(int argc, char** argv);

 private:
  ExitCode RunCommand();
  ExitCode RunBundle(std::string_view verb);
  ExitCode RunRunbook(std::string_view verb);
  ExitCode RunAction(std::string_view group, std::string_view verb);

  ExitCode BundleKeygen();
  ExitCode BundleCheck();
  ExitCode BundleSign();
  ExitCode BundleRetire();
  ExitCode BundleSubmit();
  ExitCode BundleStatus();
  /// Waits until the bundle with this digest is in effect, not only recorded as the candidate.
  AdminReply WaitForBundle(AdminClient* client, const Digest& digest, AdminReply reply);
  ExitCode PrintChange(const AdminReply& reply);
  ExitCode RunbookCheck();
  ExitCode RunbookRun();
  ExitCode RunStep(const Bundle& bundle, const RunbookStep& step);
  ExitCode KeyGrant();
  std::optional<std::string> DigestOfKeyFile();

  ExitCode RunActionCall(const std::string& action, const Parameters& parameters);
  ExitCode RunChange(const AdminRequest& request);
  ExitCode PrintRead(const std::string& path);

  bool CheckOperandCount(std::size_t operands);
  std::optional<std::string> ReadFile(const std::string& path);
  std::optional<Bundle> ReadBundleFile(const std::string& path);
  std::optional<std::string> ReadKeyFile();
  std::optional<AdminClient> Connect();
  ExitCode WriteOutput(const std::string& text);
  ExitCode Usage(std::string_view reason);
  ExitCode Fail(ExitCode code, std::string_view reason);

  HttpClient* m_http;
  RandomSource* m_random;
  std::ostream* m_out;
  std::ostream* m_err;
  Options m_options;
};

}  // namespace cranberryplank

#endif  // CRANBERRYPLANK_CLI_PROGRAM_H_
