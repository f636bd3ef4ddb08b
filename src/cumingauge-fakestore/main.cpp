#include "adapters/log.h"
#include "adapters/programmain.h"
#include "emulator/daemon.h"
#include "emulator/storeservice.h"

using namespace cumingauge;

namespace {

constexpr const char *Usage =
    R"(Stand-in for the platform's key-value service and VM list.

Usage:
  cumingauge-fakestore [--settings FILE] [--set PATH=VALUE]... [--check]
                       [--port-file FILE]
  cumingauge-fakestore (-h | --help)
  cumingauge-fakestore --version

Options:
  --settings FILE   JSON settings.
  --set PATH=VALUE  Overrides one setting, such as listen.port=8500.
  --check           Only checks the settings.
  --port-file FILE  Writes the port that it listens on to this file.
  -h --help         Shows this text.
  --version         Shows the version.
)";

int serve(const emulator::StoreSettings &Settings,
          const std::string &PortFile) {
  adapters::startLog(Settings.Log_, "fakestore");
  boost::asio::io_context Context(1);
  emulator::StoreService Service(Context, Settings);
  std::uint16_t Port = 0;
  try {
    Port = Service.start();
  } catch (const boost::system::system_error &Error) {
    adapters::log(adapters::LogLevel::Error, "cannot listen",
                  {{"reason", Error.what()}});
    return adapters::exitStatus(model::ResultCode::AddressInUse);
  }
  adapters::log(adapters::LogLevel::Info, "listening",
                {{"host", Settings.Listen_.Host_}, {"port", Port}});
  if (!emulator::writeFileAtomically(PortFile, std::to_string(Port)))
    return adapters::exitStatus(model::ResultCode::InternalError);
  emulator::runUntilSignal(Context, [&Service] { Service.stop(); });
  adapters::log(adapters::LogLevel::Info, "stopped");
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const adapters::Arguments Args = adapters::parseArguments(Usage, Argc, Argv);
  const docopt::value &File = Args.at("--port-file");
  const std::string PortFile = File ? File.asString() : "";
  return adapters::runWithSettings<emulator::StoreSettings>(
      Args, [&](const emulator::StoreSettings &Settings) {
        return serve(Settings, PortFile);
      });
}
