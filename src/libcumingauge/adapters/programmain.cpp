#include "adapters/programmain.h"
#include <iostream>

namespace cumingauge::adapters {

Arguments parseArguments(const char *Usage, int Argc, char **Argv) {
  const std::vector<std::string> ArgumentList(Argv + 1, Argv + Argc);
  try {
    return docopt::docopt_parse(Usage, ArgumentList, /*help=*/true,
                                /*version=*/true);
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage;
    std::exit(0);
  } catch (const docopt::DocoptExitVersion &) {
    std::cout << "cumingauge " << CUMINGAUGE_VERSION << "\n";
    std::exit(0);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n" << Usage;
    std::exit(exitStatus(model::ResultCode::UsageInvalid));
  }
}

int exitStatus(model::ResultCode Code) { return static_cast<int>(Code); }

void printProblems(const SettingsError &Error) {
  for (const model::Problem &Fault : Error.Problems_)
    std::cerr << (Fault.Path_.empty() ? "/" : Fault.Path_) << ": "
              << Fault.Message_ << "\n";
}

} // namespace cumingauge::adapters
