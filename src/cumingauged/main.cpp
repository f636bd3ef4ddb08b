#include "adapters/programmain.h"
#include "daemon.h"

namespace {

const char Usage[] =
    R"(Entry process: takes callers' HTTP calls and passes them on to backend servers.

Usage:
  cumingauged [--settings FILE] [--set PATH=VALUE]... [--check]
  cumingauged (-h | --help)
  cumingauged --version

Options:
  --settings FILE   JSON settings file.
  --set PATH=VALUE  Overrides one setting, such as listen.port=8080.
  --check           Only check the settings; exit status by result code.
  -h --help         Show this text.
  --version         Show the version.
)";

} // namespace

int main(int Argc, char **Argv) {
  using namespace cumingauge;
  const adapters::Arguments Args = adapters::parseArguments(Usage, Argc, Argv);
  return adapters::runWithSettings<daemon::DaemonSettings>(Args,
                                                           daemon::runDaemon);
}
