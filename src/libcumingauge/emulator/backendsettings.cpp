#include "emulator/backendsettings.h"
#include <set>

namespace cumingauge::emulator {

namespace {

constexpr unsigned MaxThreads = 64;

} // namespace

model::Problems checkSettings(const BackendSettings &Settings) {
  model::Problems Found = checkBehaviour(Settings.Behaviour_, "/behaviour");
  if (Settings.Threads_ < 1 || Settings.Threads_ > MaxThreads)
    Found.push_back({"/threads", "must be between 1 and 64"});
  if (Settings.JournalEntries_ < 1)
    Found.push_back({"/journalEntries", "must be at least 1"});
  if (Settings.Servers_.empty())
    Found.push_back({"/servers", "must have a server"});
  std::set<std::string> Names;
  for (std::size_t I = 0; I < Settings.Servers_.size(); ++I) {
    const ServerSettings &Server = Settings.Servers_[I];
    const std::string Path = "/servers/" + std::to_string(I);
    if (Server.Name_.empty() || !Names.insert(Server.Name_).second)
      Found.push_back({Path + "/name", "must be unique and not empty"});
    Behaviour Merged = Settings.Behaviour_;
    codec::fromJson(Server.Behaviour_, Path + "/behaviour", Merged, Found);
    for (model::Problem &OwnProblem :
         checkBehaviour(Merged, Path + "/behaviour"))
      Found.push_back(std::move(OwnProblem));
  }
  return Found;
}

Behaviour behaviourOf(const BackendSettings &Settings,
                      const ServerSettings &Server) {
  Behaviour Merged = Settings.Behaviour_;
  model::Problems Ignored; // already reported by checkSettings
  codec::fromJson(Server.Behaviour_, "", Merged, Ignored);
  return Merged;
}

} // namespace cumingauge::emulator
