#pragma once

#include "adapters/settings.h"
#include <docopt.h>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cumingauge::adapters {

using Arguments = std::map<std::string, docopt::value>;

/// Parses the command line by its usage text; prints help, version or a usage
/// error and exits. A usage error exits with ResultCode::UsageInvalid.
Arguments parseArguments(const char *Usage, int Argc, char **Argv);

/// Exit status of a result code.
int exitStatus(model::ResultCode Code);

/// Prints every fault of a settings error to standard error, one a line.
void printProblems(const SettingsError &Error);

/// Runs a daemon's main function with settings of type T, read from
/// `--settings FILE` and `--set PATH=VALUE`. With `--check` the settings are
/// only checked.
template <class T>
int runWithSettings(const Arguments &Args,
                    const std::function<int(const T &)> &Main) {
  const docopt::value &File = Args.at("--settings");
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(Settings,
                        readSettings<T>(File ? File.asString() : "",
                                        Args.at("--set").asStringList()));
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
