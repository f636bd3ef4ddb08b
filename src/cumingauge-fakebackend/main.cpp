#include "adapters/log.h"
#include "adapters/programmain.h"
#include "emulator/backendhost.h"
#include "emulator/daemon.h"

using namespace cumingauge;

namespace {

constexpr const char *Usage =
    R"(Stand-in for one or many backend servers.

Usage:
  cumingauge-fakebackend [--settings FILE] [--set PATH=VALUE]... [--check]
                       [--port-file FILE]
  cumingauge-fakebackend (-h | --help)
  cumingauge-fakebackend --version

Options:
  --settings FILE   JSON settings.
  --set PATH=VALUE  Overrides one setting, such as admin.port=9500.
  --check           Only checks the settings.
  --port-file FILE  Writes the admin port and the servers with their ports
                    to this file, as JSON.
  -h --help         Shows this text.
  --version         Shows the version.
)";

int serve(const emulator::BackendSettings &Settings,
          const std::string &PortFile) {
  adapters::startLog(Settings.Log_, "fakebackend");
  boost::asio::io_context Context(1);
  emulator::BackendHost Host(Context, Settings);
  std::uint16_t Port = 0;
  try {
    Port = Host.start();
  } catch (const boost::system::system_error &Error) {
    adapters::log(adapters::LogLevel::Error, "cannot listen",
                  {{"reason", Error.what()}});
    return adapters::exitStatus(model::ResultCode::AddressInUse);
  }
  adapters::log(adapters::LogLevel::Info, "listening",
                {{"host", Settings.Admin_.Host_}, {"port", Port}});
  if (!emulator::writeFileAtomically(
          PortFile,
          codec::Json{{"adminPort", Port}, {"servers", Host.describe()}}
              .dump()))
    return adapters::exitStatus(model::ResultCode::InternalError);
  emulator::runUntilSignal(Context, [&Host] { Host.stop(); });
  adapters::log(adapters::LogLevel::Info, "stopped");
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const adapters::Arguments Args = adapters::parseArguments(Usage, Argc, Argv);
  const docopt::value &File = Args.at("--port-file");
  const std::string PortFile = File ? File.asString() : "";
  return adapters::runWithSettings<emulator::BackendSettings>(
      Args, [&](const emulator::BackendSettings &Settings) {
        return serve(Settings, PortFile);
      });
}
