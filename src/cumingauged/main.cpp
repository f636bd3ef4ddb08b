#include "adapters/log.h"
#include "adapters/programmain.h"
#include "entryprocess.h"
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>

using namespace cumingauge;

namespace {

constexpr const char *Usage =
    R"(Entry process: forwards HTTP calls of callers to backend servers.

Usage:
  cumingauged [--settings FILE] [--set PATH=VALUE]... [--check]
              [--port-file FILE]
  cumingauged (-h | --help)
  cumingauged --version

Options:
  --settings FILE   JSON settings file.
  --set PATH=VALUE  Overrides one setting, such as listen.port=8080. The
                    environment variable CUMINGAUGE_SET may hold more of them,
                    separated by spaces.
  --check           Only checks the settings.
  --port-file FILE  Writes the bound ports to this file, as JSON.
  -h --help         Shows this text.
  --version         Shows the version.
)";

/// Writes the bound ports to a file as JSON. Writes a temporary file first and
/// renames it, so that readers never see a partial file. Returns false when the
/// file cannot be written.
bool writePorts(const std::string &File, const EntryProcess::Ports &Bound) {
  if (File.empty())
    return true;
  const std::string TemporaryFile = File + ".new";
  std::ofstream Out(TemporaryFile);
  Out << codec::Json{{"listen", Bound.Listen_}, {"admin", Bound.Admin_}}
      << "\n";
  Out.close();
  return Out && std::rename(TemporaryFile.c_str(), File.c_str()) == 0;
}

/// Reloads the settings after SIGHUP. Invalid settings are logged and not
/// applied.
void reload(EntryProcess &Process, const adapters::Arguments &Args) {
  const docopt::value &File = Args.at("--settings");
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(NewSettings, adapters::readSettings<DaemonSettings>(
                                         File ? File.asString() : "",
                                         adapters::withEnvironmentOverrides(
                                             Args.at("--set").asStringList())));
        Process.reload(NewSettings);
        return {};
      },
      [](const adapters::SettingsError &Error) {
        for (const model::Problem &Fault : Error.Problems_)
          adapters::log(
              adapters::LogLevel::Error,
              "settings reload failed; the current settings stay in force",
              {{"path", Fault.Path_}, {"reason", Fault.Message_}});
      },
      [] {
        adapters::log(
            adapters::LogLevel::Error,
            "settings reload failed; the current settings stay in force");
      });
}

/// Reloads the settings at every SIGHUP.
void reloadOnSignal(boost::asio::signal_set &Signals, EntryProcess &Process,
                    const adapters::Arguments &Args) {
  Signals.async_wait([&](const boost::system::error_code &Cancelled, int) {
    if (Cancelled)
      return;
    reload(Process, Args);
    reloadOnSignal(Signals, Process, Args);
  });
}

int serve(const DaemonSettings &Settings, const adapters::Arguments &Args,
          const std::string &PortFile) {
  adapters::startLog(Settings.Log_, Settings.Control_.Process_,
                     adapters::LogTarget::StandardOutput);
  boost::asio::io_context Io(1);
  const auto Process = std::make_shared<EntryProcess>(Io, Settings);
  // Before the process listens: by default, a signal ends it with the requests
  // that it has accepted.
  boost::asio::signal_set Hangups(Io, SIGHUP);
  reloadOnSignal(Hangups, *Process, Args);
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &, int) {
    adapters::log(adapters::LogLevel::Info, "stopping");
    Process->drain([&] { Io.stop(); });
  });
  EntryProcess::Ports Bound;
  try {
    Bound = Process->start();
  } catch (const boost::system::system_error &Error) {
    adapters::log(adapters::LogLevel::Error, "cannot listen",
                  {{"reason", Error.what()}});
    Process->stop();
    return adapters::exitStatus(model::ResultCode::AddressInUse);
  }
  adapters::log(adapters::LogLevel::Info, "listening",
                {{"port", Bound.Listen_},
                 {"adminPort", Bound.Admin_},
                 {"version", CUMINGAUGE_VERSION}});
  if (!writePorts(PortFile, Bound)) {
    Process->stop();
    return adapters::exitStatus(model::ResultCode::InternalError);
  }
  Io.run();
  Process->stop();
  adapters::log(adapters::LogLevel::Info, "stopped");
  adapters::flushLog();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  const adapters::Arguments Args = adapters::parseArguments(Usage, Argc, Argv);
  const docopt::value &File = Args.at("--port-file");
  const std::string PortFile = File ? File.asString() : "";
  return adapters::runWithSettings<DaemonSettings>(
      Args, [&](const DaemonSettings &Settings) {
        return serve(Settings, Args, PortFile);
      });
}
