#include "zonecommands.h"
#include "codec/describedjson.h"
#include "configreader.h"
#include "table.h"
#include "text.h"
#include "waiting.h"
#include <map>
#include <ostream>

namespace cumingauge::ctl {

namespace {

using codec::Json;
using model::ResultCode;

std::map<std::string, unsigned> serversByZone(const model::ConfigState &State) {
  std::map<std::string, unsigned> Out;
  for (const std::string &Zone : State.EvacuatedZones_)
    Out[Zone] = 0;
  for (const auto &Entry : State.Servers_)
    ++Out[Entry.second.Zone_];
  return Out;
}

} // namespace

CommandResult listZones(const Context &Ctx) {
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  const model::ConfigState &State = Reader.State_;
  if (Ctx.Json_) {
    Json Out{{"version", State.Version_}};
    Out["evacuatedZones"] = codec::toJson(State.EvacuatedZones_);
    Ctx.Out_ << printable(Out) << "\n";
    return ResultCode::Ok;
  }
  Table Out{{"ZONE", "SERVERS", "STATE"}, {}};
  for (const auto &[Zone, Servers] : serversByZone(State))
    Out.Rows_.push_back(
        {Zone, std::to_string(Servers),
         State.EvacuatedZones_.count(Zone) > 0 ? "evacuated" : "in use"});
  print(Ctx.Out_, Out);
  return ResultCode::Ok;
}

CommandResult evacuateZone(const Context &Ctx, const std::string &Zone,
                           const SubmitOptions &Options, bool Wait) {
  const control::WriteOutcome Outcome =
      submit(Ctx, model::EvacuateZone{Zone}, Options);
  return finishChange(Ctx, Outcome, Wait, WaitTarget{});
}

CommandResult returnZone(const Context &Ctx, const std::string &Zone,
                         const SubmitOptions &Options) {
  return change(Ctx, model::ReturnZone{Zone}, Options);
}

} // namespace cumingauge::ctl
