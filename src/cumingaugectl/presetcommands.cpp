#include "presetcommands.h"
#include "codec/describedjson.h"
#include "configreader.h"
#include "documents.h"
#include "table.h"
#include "text.h"
#include "waiting.h"
#include <ostream>

namespace cumingauge::ctl {

using codec::Json;
using model::ResultCode;

CommandResult listPresets(const Context &Ctx) {
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  const model::ConfigState &State = Reader.State_;
  if (Ctx.Json_) {
    Json Out{{"version", State.Version_}, {"inForce", State.PresetInForce_}};
    Out["presets"] = codec::toJson(State.Presets_);
    Ctx.Out_ << printable(Out) << "\n";
    return ResultCode::Ok;
  }
  Table Out{{"PRESET", "IN FORCE", "SUMMARY"}, {}};
  for (const auto &[Name, Preset] : State.Presets_)
    Out.Rows_.push_back(
        {Name, Name == State.PresetInForce_ ? "yes" : "", Preset.Summary_});
  print(Ctx.Out_, Out);
  return ResultCode::Ok;
}

CommandResult showPreset(const Context &Ctx, const std::string &Name) {
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  const auto Found = Reader.State_.Presets_.find(Name);
  if (Found == Reader.State_.Presets_.end())
    return fail(ResultCode::ChangeNotFound, "there is no preset " + Name);
  const Json Out = codec::toJson(Found->second);
  Ctx.Out_ << (Ctx.Json_ ? printable(Out) : Out.dump(2)) << "\n";
  return ResultCode::Ok;
}

CommandResult checkPresetFile(const Context &Ctx, const std::string &File) {
  BOOST_LEAF_AUTO(Preset, readPreset(File));
  if (Ctx.Json_)
    Ctx.Out_ << "{\"code\":0,\"problems\":[]}\n";
  else
    Ctx.Out_ << "preset " << Preset.Name_ << " is valid\n";
  return ResultCode::Ok;
}

CommandResult putPreset(const Context &Ctx, const std::string &File,
                        const SubmitOptions &Options) {
  BOOST_LEAF_AUTO(Preset, readPreset(File));
  return change(Ctx, model::PutPreset{Preset}, Options);
}

CommandResult choosePreset(const Context &Ctx, const std::string &Name,
                           const SubmitOptions &Options, bool Wait) {
  const control::WriteOutcome Outcome =
      submit(Ctx, model::ChoosePreset{Name}, Options);
  return finishChange(Ctx, Outcome, Wait, WaitTarget{});
}

} // namespace cumingauge::ctl
