#include "adapters/log.h"
#include "adapters/programmain.h"
#include "context.h"
#include "presetcommands.h"
#include "servercommands.h"
#include "statuscommand.h"
#include "text.h"
#include "timelinecommand.h"
#include "zonecommands.h"
#include <iostream>

namespace {

using namespace cumingauge;
using adapters::Arguments;
using ctl::CommandResult;
using ctl::Context;
using model::ResultCode;

constexpr const char *Usage = R"(cumingaugectl drives a cumingauge fleet.

Usage:
  cumingaugectl [options] [--set=ITEM]... preset list
  cumingaugectl [options] [--set=ITEM]... preset show NAME
  cumingaugectl [options] [--set=ITEM]... preset check FILE
  cumingaugectl [options] [--set=ITEM]... preset put FILE
  cumingaugectl [options] [--set=ITEM]... preset choose NAME
  cumingaugectl [options] [--set=ITEM]... server list
  cumingaugectl [options] [--set=ITEM]... server put FILE
  cumingaugectl [options] [--set=ITEM]... server leave NAME
  cumingaugectl [options] [--set=ITEM]... server return NAME
  cumingaugectl [options] [--set=ITEM]... server remove NAME
  cumingaugectl [options] [--set=ITEM]... zone list
  cumingaugectl [options] [--set=ITEM]... zone evacuate NAME
  cumingaugectl [options] [--set=ITEM]... zone return NAME
  cumingaugectl [options] [--set=ITEM]... init FILE
  cumingaugectl [options] [--set=ITEM]... status
  cumingaugectl [options] [--set=ITEM]... change show ID
  cumingaugectl [options] [--set=ITEM]... timeline
  cumingaugectl --help
  cumingaugectl --version

Options:
  --settings=FILE   JSON settings: store, peers, key, author.
  --set=ITEM        Overrides a setting, written path=value. May be repeated.
  --json            Print JSON.
  --wait            After choose and evacuate: until in force on every VM. After
                    leave: also until no VM has a call in flight at the server.
  --confirm         Insist on taking the last server of a service away, or the
                    only zone with servers of a service.
  --seen=VERSION    Refuse with a conflict when the same preset or server was
                    changed after this version.
  --change-id=ID    Repeat a change whose outcome was unknown; it is accepted
                    at most once.
  --vm=NAME         timeline: only events of this entry VM.
  --server=NAME     timeline: only events about this backend server.
  --change=ID       timeline: only events about this change id or version.
  --kind=KIND       timeline: only events of this kind, such as changeApplied.
  --since=TIME      timeline: only events of the last 90s, 15m or 2h.
  --html=FILE       timeline: write a page with a lane per process.
  -h --help         Show this text.
  --version         Show the version.

Exit status: 0 when done or accepted, otherwise the number of the result code
(docs/RESULT-CODES.md): 30 refused, 31 conflict, 32 outcome unknown, 33 not
found, 35 confirmation needed, 36 wait timed out, 50 store unavailable, 70 key
refused, 74 no entry process reached.
)";

bool isFlagSet(const Arguments &Args, const std::string &Name) {
  const auto Found = Args.find(Name);
  return Found != Args.end() && Found->second.isBool() &&
         Found->second.asBool();
}

std::string argumentText(const Arguments &Args, const std::string &Name) {
  const auto Found = Args.find(Name);
  return Found != Args.end() && Found->second.isString()
             ? Found->second.asString()
             : std::string();
}

boost::leaf::result<ctl::SubmitOptions> submitOptions(const Arguments &Args) {
  ctl::SubmitOptions Out;
  Out.Confirmed_ = isFlagSet(Args, "--confirm");
  Out.ChangeId_ = argumentText(Args, "--change-id");
  const std::string Seen = argumentText(Args, "--seen");
  if (Seen.empty())
    return Out;
  constexpr std::size_t MaxDigits = 18;
  if (Seen.find_first_not_of("0123456789") != std::string::npos ||
      Seen.size() > MaxDigits)
    return ctl::fail(ResultCode::UsageInvalid,
                     "--seen takes a version of up to 18 digits");
  Out.SeenVersion_ = std::stoull(Seen);
  return Out;
}

CommandResult runPreset(const Context &Ctx, const Arguments &Args) {
  BOOST_LEAF_AUTO(Options, submitOptions(Args));
  if (isFlagSet(Args, "list"))
    return ctl::listPresets(Ctx);
  if (isFlagSet(Args, "show"))
    return ctl::showPreset(Ctx, argumentText(Args, "NAME"));
  if (isFlagSet(Args, "check"))
    return ctl::checkPresetFile(Ctx, argumentText(Args, "FILE"));
  if (isFlagSet(Args, "put"))
    return ctl::putPreset(Ctx, argumentText(Args, "FILE"), Options);
  return ctl::choosePreset(Ctx, argumentText(Args, "NAME"), Options,
                           isFlagSet(Args, "--wait"));
}

CommandResult runServer(const Context &Ctx, const Arguments &Args) {
  BOOST_LEAF_AUTO(Options, submitOptions(Args));
  const std::string Name = argumentText(Args, "NAME");
  if (isFlagSet(Args, "list"))
    return ctl::listServers(Ctx);
  if (isFlagSet(Args, "put"))
    return ctl::putServers(Ctx, argumentText(Args, "FILE"), Options);
  if (isFlagSet(Args, "leave"))
    return ctl::leaveServer(Ctx, Name, Options, isFlagSet(Args, "--wait"));
  if (isFlagSet(Args, "return"))
    return ctl::returnServer(Ctx, Name, Options);
  return ctl::removeServer(Ctx, Name, Options);
}

CommandResult runZone(const Context &Ctx, const Arguments &Args) {
  BOOST_LEAF_AUTO(Options, submitOptions(Args));
  const std::string Name = argumentText(Args, "NAME");
  if (isFlagSet(Args, "list"))
    return ctl::listZones(Ctx);
  if (isFlagSet(Args, "evacuate"))
    return ctl::evacuateZone(Ctx, Name, Options, isFlagSet(Args, "--wait"));
  return ctl::returnZone(Ctx, Name, Options);
}

CommandResult runTimeline(const Context &Ctx, const Arguments &Args) {
  ctl::TimelineFilter Filter;
  Filter.Vm_ = argumentText(Args, "--vm");
  Filter.Server_ = argumentText(Args, "--server");
  Filter.Change_ = argumentText(Args, "--change");
  Filter.Kind_ = argumentText(Args, "--kind");
  const std::string Since = argumentText(Args, "--since");
  if (!Since.empty()) {
    BOOST_LEAF_AUTO(SinceMs, ctl::parseSince(Since, ctl::wallMs()));
    Filter.SinceMs_ = SinceMs;
  }
  return ctl::showTimeline(Ctx, Filter, argumentText(Args, "--html"));
}

CommandResult runCommand(const Context &Ctx, const Arguments &Args) {
  if (isFlagSet(Args, "preset"))
    return runPreset(Ctx, Args);
  if (isFlagSet(Args, "server"))
    return runServer(Ctx, Args);
  if (isFlagSet(Args, "zone"))
    return runZone(Ctx, Args);
  if (isFlagSet(Args, "status"))
    return ctl::showStatus(Ctx);
  if (isFlagSet(Args, "change"))
    return ctl::showChange(Ctx, argumentText(Args, "ID"));
  if (isFlagSet(Args, "timeline"))
    return runTimeline(Ctx, Args);
  BOOST_LEAF_AUTO(Options, submitOptions(Args));
  return ctl::initialize(Ctx, argumentText(Args, "FILE"), Options);
}

void report(const ctl::CtlError &Error, bool Json) {
  if (Json) {
    codec::Json Out{{"code", static_cast<int>(Error.Code_)},
                    {"name", model::nameOf(Error.Code_)},
                    {"message", Error.Message_}};
    Out["problems"] = codec::toJson(Error.Problems_);
    std::cout << ctl::printable(Out) << "\n";
  }
  std::cerr << model::nameOf(Error.Code_) << ": " << Error.Message_ << "\n";
  for (const model::Problem &Problem : Error.Problems_)
    std::cerr << "  " << (Problem.Path_.empty() ? "/" : Problem.Path_) << ": "
              << Problem.Message_ << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  const Arguments Args = adapters::parseArguments(Usage, Argc, Argv);
  const bool Json = isFlagSet(Args, "--json");
  adapters::LogSettings Log;
  Log.Level_ = adapters::LogLevel::Error;
  adapters::startLog(Log, "cumingaugectl");
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        // `preset check` reads only the file and needs no settings.
        if (isFlagSet(Args, "check")) {
          const Context Ctx{{}, Json, std::cout, std::cerr};
          BOOST_LEAF_AUTO(Code, runCommand(Ctx, Args));
          return adapters::exitStatus(Code);
        }
        BOOST_LEAF_AUTO(Settings, adapters::readSettings<ctl::CtlSettings>(
                                      argumentText(Args, "--settings"),
                                      Args.at("--set").asStringList()));
        const Context Ctx{Settings, Json, std::cout, std::cerr};
        BOOST_LEAF_AUTO(Code, runCommand(Ctx, Args));
        return adapters::exitStatus(Code);
      },
      [&](const ctl::CtlError &Error) {
        report(Error, Json);
        return adapters::exitStatus(Error.Code_);
      },
      [&](const adapters::SettingsError &Error) {
        adapters::printProblems(Error);
        return adapters::exitStatus(Error.Code_);
      },
      [] { return adapters::exitStatus(ResultCode::InternalError); });
}
