#include "control/fold.h"
#include <algorithm>
#include <set>

namespace cumingauge::control {

namespace {

/// Presets, servers and zones that an action affects. Selecting a preset and
/// replacing that preset both affect its name, so that they conflict.
struct Subject {
  std::set<std::string> Presets_;
  std::set<std::string> Servers_;
  bool SelectsPreset_ = false; ///< the action selects the preset in force
  std::string Zone_;           ///< evacuated or returned zone; empty: none
};

/// Returns the subject of an action of any kind.
struct SubjectOf {
  Subject operator()(const model::PutPreset &Action) const {
    return {{Action.Preset_.Name_}, {}, false, ""};
  }
  Subject operator()(const model::ChoosePreset &Action) const {
    return {{Action.Name_}, {}, true, ""};
  }
  Subject operator()(const model::PutServer &Action) const {
    return {{}, {Action.Server_.Name_}, false, ""};
  }
  Subject operator()(const model::PutServers &Action) const {
    Subject Out;
    for (const model::BackendServer &Server : Action.Servers_)
      Out.Servers_.insert(Server.Name_);
    return Out;
  }
  Subject operator()(const model::RemoveServer &Action) const {
    return {{}, {Action.Name_}, false, ""};
  }
  Subject operator()(const model::MarkLeaving &Action) const {
    return {{}, {Action.Name_}, false, ""};
  }
  Subject operator()(const model::ReturnServer &Action) const {
    return {{}, {Action.Name_}, false, ""};
  }
  Subject operator()(const model::EvacuateZone &Action) const {
    return {{}, {}, false, Action.Zone_};
  }
  Subject operator()(const model::ReturnZone &Action) const {
    return {{}, {}, false, Action.Zone_};
  }
};

bool haveCommonElement(const std::set<std::string> &Left,
                       const std::set<std::string> &Right) {
  return std::any_of(Left.begin(), Left.end(), [&](const std::string &Name) {
    return Right.count(Name) > 0;
  });
}

} // namespace

bool isSameSubject(const model::ChangeAction &Left,
                   const model::ChangeAction &Right) {
  const Subject L = std::visit(SubjectOf{}, Left);
  const Subject R = std::visit(SubjectOf{}, Right);
  return (L.SelectsPreset_ && R.SelectsPreset_) ||
         (!L.Zone_.empty() && L.Zone_ == R.Zone_) ||
         haveCommonElement(L.Presets_, R.Presets_) ||
         haveCommonElement(L.Servers_, R.Servers_);
}

} // namespace cumingauge::control
