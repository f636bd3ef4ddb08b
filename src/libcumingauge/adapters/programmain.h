#pragma once

#include "adapters/settings.h"
#include <docopt.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// Parsed command line: values by the names in the usage text.
using Arguments = std::map<std::string, docopt::value>;

/// Parses the command line according to its usage text. For `--help`,
/// `--version` and usage errors it prints a text and exits the process, with
/// status ResultCode::UsageInvalid after a usage error.
Arguments parseArguments(const char *Usage, int Argc, char **Argv);

/// Returns the exit status of the process for a result code.
int exitStatus(model::ResultCode Code);

/// Prints the problems of a settings error to standard error, one per line.
void printProblems(const SettingsError &Error);

/// Runs the main function of a daemon with settings of type T, read from
/// `--settings FILE`, the environment and `--set PATH=VALUE`. With `--check` it
/// only checks the settings. Returns the exit status of the process.
template <class T>
int runWithSettings(const Arguments &Args,
                    const std::function<int(const T &)> &Main) {
  const docopt::value &File = Args.at("--settings");
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(Settings,
                        readSettings<T>(File ? File.asString() : "",
                                        withEnvironmentOverrides(
                                            Args.at("--set").asStringList())));
        if (Args.at("--check").asBool())
          return 0;
        return Main(Settings);
      },
      [](const SettingsError &Error) {
        printProblems(Error);
        return exitStatus(Error.Code_);
      },
      [] { return exitStatus(model::ResultCode::InternalError); });
}

} // namespace cumingauge::adapters
