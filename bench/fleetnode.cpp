#include "adapters/controlruntime.h"
#include "adapters/log.h"
#include "adapters/programmain.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>

/// Runs the control side of an entry process without traffic, to measure a
/// fleet of them. Logs its counters every second.
namespace {

using namespace cumingauge;

constexpr const char *Usage = R"(The control side of an entry process.

Usage:
  bench-fleetnode [--settings=FILE] [--set=ITEM]... [--check]

Options:
  --settings=FILE  JSON settings of the control side.
  --set=ITEM       Overrides a setting, written path=value.
  --check          Only checks the settings.
)";

/// Returns the resident memory of this process in KB.
std::uint64_t residentKb() {
  std::ifstream Status("/proc/self/status");
  std::string Word;
  while (Status >> Word)
    if (Word == "VmRSS:") {
      std::uint64_t Kb = 0;
      Status >> Kb;
      return Kb;
    }
  return 0;
}

void logStats(const adapters::ControlStats &Stats) {
  std::uint64_t StoreCalls = 0;
  for (const auto &Entry : Stats.StoreCalls_)
    StoreCalls += Entry.second;
  adapters::log(adapters::LogLevel::Info, "figures",
                {{"storeCalls", StoreCalls},
                 {"messagesSent", Stats.PeerMessagesSent_},
                 {"messagesReceived", Stats.PeerMessagesReceived_},
                 {"bytesSent", Stats.PeerBytesSent_},
                 {"bytesReceived", Stats.PeerBytesReceived_},
                 {"cpuMicros", Stats.ThreadCpuMicros_},
                 {"version", Stats.Version_},
                 {"links", Stats.Links_},
                 {"fleetSize", Stats.FleetSize_},
                 {"residentKb", residentKb()}});
}

/// Returns an activity without calls for each server of the view.
std::vector<model::ServerActivity>
idleActivity(const std::shared_ptr<const model::ControlView> &View) {
  std::vector<model::ServerActivity> Out;
  if (!View)
    return Out;
  for (const auto &[Name, Server] : View->Config_->Servers_)
    Out.push_back(
        {Name, Server.Vm_, 0, 0, View->LeavingServers_.count(Name) > 0});
  return Out;
}

int run(const adapters::ControlSettings &Settings) {
  adapters::startLog({}, Settings.Process_);
  // Accessed by the control thread only.
  std::shared_ptr<const model::ControlView> View;
  adapters::ControlRuntime::Hooks Hooks;
  Hooks.OnView_ = [&](std::shared_ptr<const model::ControlView> Next) {
    View = std::move(Next);
  };
  Hooks.Activity_ = [&] { return idleActivity(View); };
  const auto Ring = std::make_shared<adapters::EventRing>(
      Settings.Process_, Settings.EventRingSize_);
  const auto Control = adapters::startControl(Settings, Hooks, Ring);

  boost::asio::io_context Io{1};
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Io.stop(); });
  boost::asio::steady_timer Timer(Io);
  std::function<void()> Tick = [&] {
    logStats(Control->stats());
    Timer.expires_after(std::chrono::seconds(1));
    Timer.async_wait([&](const boost::system::error_code &Stopped) {
      if (!Stopped)
        Tick();
    });
  };
  Tick();
  Io.run();
  Control->stop();
  return 0;
}

} // namespace

namespace cumingauge::adapters {

/// Called by readSettings through argument-dependent lookup.
model::Problems checkSettings(const ControlSettings &Settings) {
  return checkControlSettings(Settings, "");
}

} // namespace cumingauge::adapters

int main(int Argc, char **Argv) {
  return adapters::runWithSettings<adapters::ControlSettings>(
      adapters::parseArguments(Usage, Argc, Argv), run);
}
