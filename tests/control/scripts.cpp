#include "scripts.h"
#include "samples.h"
#include <algorithm>

namespace cumingauge::fakes {

namespace {

using model::milliseconds;
using model::seconds;

constexpr const char *Presets[] = {"ordinary", "peak", "maintenance"};
constexpr double ScriptScale = 0.4; ///< scripts of up to 40 lines
constexpr unsigned Servers = 4;
constexpr unsigned Zones = 3;
constexpr seconds RecoveryTime{40};

std::string serverName(unsigned Index) {
  return "s" + std::to_string(Index % Servers);
}

/// Prepares the configuration that the scripts work on.
void setUp(FakeFleet &Fleet) {
  for (unsigned I = 0; I < Fleet.Processes_.size(); ++I)
    Fleet.start(I);
  Fleet.run(seconds(2));
  model::PutServers All;
  for (unsigned I = 0; I < Servers; ++I)
    All.Servers_.push_back(samples::server(serverName(I)));
  Fleet.write(All, "setup");
  Fleet.run(seconds(1));
  for (const char *Name : Presets) {
    Fleet.write(model::PutPreset{samples::preset(Name)}, "setup");
    Fleet.run(seconds(1));
  }
}

/// Executes the lines of a script.
class ScriptRunner {
public:
  explicit ScriptRunner(FakeFleet &Fleet) : Fleet_(Fleet) {}

  void execute(const ScriptLine &Line) {
    const unsigned Which = Line.Which_;
    const unsigned Index = Which % count();
    const milliseconds Lasts(Line.LastsMs_);
    switch (Line.Action_) {
    case ScriptAction::Choose:
      choose(Which, "ann");
      return;
    case ScriptAction::Race:
      choose(Which, "ann");
      choose(Which + 1, "bob");
      return;
    case ScriptAction::Put:
      Fleet_.write(model::PutPreset{changedPreset(Which)}, "ann", true);
      return;
    case ScriptAction::Leave:
      Fleet_.write(model::MarkLeaving{serverName(Which), vmOf(Which)}, "ann",
                   Which % 2 == 0, true);
      return;
    case ScriptAction::Return:
      Fleet_.write(model::ReturnServer{serverName(Which), vmOf(Which)}, "bob");
      return;
    case ScriptAction::Replace:
      replace(Which);
      return;
    case ScriptAction::Pause:
      Fleet_.pause(Index);
      Fleet_.runAfter(Lasts, [this, Index] { Fleet_.resume(Index); });
      return;
    case ScriptAction::Restart:
      Fleet_.kill(Index);
      Fleet_.runAfter(Lasts, [this, Index] { Fleet_.start(Index); });
      return;
    case ScriptAction::Goodbye:
      Fleet_.stop(Index);
      Fleet_.runAfter(Lasts, [this, Index] { Fleet_.start(Index); });
      return;
    case ScriptAction::Split:
      split(Which, /*HasStore=*/true, Lasts);
      return;
    case ScriptAction::SplitStore:
      split(Which, /*HasStore=*/false, Lasts);
      return;
    case ScriptAction::Isolate:
      cutOff(Index, /*HasStore=*/false);
      Fleet_.runAfter(Lasts, [this, Index] { reconnect(Index); });
      return;
    case ScriptAction::StoreOutage:
      setStore(false);
      Fleet_.runAfter(Lasts, [this] { setStore(true); });
      return;
    case ScriptAction::LoseZone:
      loseZone(Which, Lasts);
      return;
    case ScriptAction::LossyLinks:
      Fleet_.Faults_.DropMessage_ = Which % 20;
      Fleet_.Faults_.RepeatMessage_ = Which % 30;
      Fleet_.Faults_.DelayMessage_ = Which % 40;
      Fleet_.runAfter(Lasts, [this] { clearLinkFaults(); });
      return;
    case ScriptAction::LossyStore:
      Fleet_.Faults_.LoseAnswer_ = Which % 40;
      Fleet_.Faults_.ApplyLate_ = Which % 30;
      Fleet_.Faults_.RefuseCall_ = Which % 20;
      Fleet_.runAfter(Lasts, [this] { clearStoreFaults(); });
      return;
    case ScriptAction::Wait:
      return;
    }
  }

  /// Ends every failure that is still going on.
  void endFailures() {
    clearLinkFaults();
    clearStoreFaults();
    setStore(true);
    for (unsigned I = 0; I < count(); ++I) {
      reconnect(I);
      Fleet_.resume(I);
      Fleet_.start(I);
    }
  }

private:
  unsigned count() const {
    return static_cast<unsigned>(Fleet_.Processes_.size());
  }

  void choose(unsigned Which, const std::string &Author) {
    Fleet_.write(model::ChoosePreset{Presets[Which % std::size(Presets)]},
                 Author, Which % 3 == 0);
  }

  model::Preset changedPreset(unsigned Which) {
    model::Preset Out = samples::preset(Presets[Which % std::size(Presets)]);
    Out.Summary_ = "changed " + std::to_string(Fleet_.Writes_.size());
    return Out;
  }

  std::string vmOf(unsigned Which) {
    const auto Found = Vms_.find(serverName(Which));
    return Found == Vms_.end() ? "vm-1" : Found->second;
  }

  void replace(unsigned Which) {
    const std::string Name = serverName(Which);
    Vms_[Name] = "vm-" + std::to_string(Fleet_.Writes_.size() + 2);
    Fleet_.write(model::PutServer{samples::server(Name, Vms_[Name])}, "ann");
  }

  void cutOff(unsigned Index, bool HasStore) {
    Fleet_.disturb(Index);
    Fleet_.Processes_[Index].Partition_ = Index + 100;
    Fleet_.Processes_[Index].HasStore_ = HasStore;
  }

  void reconnect(unsigned Index) {
    if (Fleet_.Processes_[Index].Partition_ == 0)
      return;
    Fleet_.disturb(Index);
    Fleet_.Processes_[Index].Partition_ = 0;
    Fleet_.Processes_[Index].HasStore_ = true;
  }

  void split(unsigned Which, bool HasStore, milliseconds Lasts) {
    std::vector<unsigned> Away;
    for (unsigned I = 0; I < count(); ++I)
      if ((Which >> I) % 2 == 1)
        Away.push_back(I);
    for (const unsigned Index : Away) {
      cutOff(Index, HasStore);
      Fleet_.Processes_[Index].Partition_ = 1;
    }
    Fleet_.runAfter(Lasts, [this, Away] {
      for (const unsigned Index : Away)
        reconnect(Index);
    });
  }

  void setStore(bool IsUp) {
    if (Fleet_.IsStoreUp_ == IsUp)
      return;
    Fleet_.disturbAll();
    Fleet_.IsStoreUp_ = IsUp;
  }

  void loseZone(unsigned Which, milliseconds Lasts) {
    for (unsigned I = Which % Zones; I < count(); I += Zones) {
      Fleet_.kill(I);
      Fleet_.runAfter(Lasts, [this, I] { Fleet_.start(I); });
    }
  }

  void clearLinkFaults() {
    Fleet_.Faults_.DropMessage_ = 0;
    Fleet_.Faults_.RepeatMessage_ = 0;
    Fleet_.Faults_.DelayMessage_ = 0;
  }

  void clearStoreFaults() {
    Fleet_.Faults_.LoseAnswer_ = 0;
    Fleet_.Faults_.ApplyLate_ = 0;
    Fleet_.Faults_.RefuseCall_ = 0;
  }

  FakeFleet &Fleet_;
  /// VMs of replaced servers by server name.
  std::map<std::string, std::string> Vms_;
};

} // namespace

std::ostream &operator<<(std::ostream &Out, const ScriptLine &Line) {
  return Out << boost::describe::enum_to_string(Line.Action_, "?") << " "
             << Line.Which_ << " for " << Line.LastsMs_ << " ms, next after "
             << Line.NextMs_ << " ms\n";
}

rc::Gen<std::vector<ScriptLine>> scripts() {
  const auto Last = static_cast<int>(ScriptAction::Wait) + 1;
  return rc::gen::scale(
      ScriptScale,
      rc::gen::container<std::vector<ScriptLine>>(rc::gen::build<ScriptLine>(
          rc::gen::set(
              &ScriptLine::Action_,
              rc::gen::map(rc::gen::inRange(0, Last),
                           [](int Kind) { return ScriptAction(Kind); })),
          rc::gen::set(&ScriptLine::Which_, rc::gen::inRange(0U, 1000U)),
          rc::gen::set(&ScriptLine::LastsMs_, rc::gen::inRange(0U, 20000U)),
          rc::gen::set(&ScriptLine::NextMs_, rc::gen::inRange(0U, 5000U)))));
}

std::vector<std::string> checkOutcomes(const FakeFleet &Fleet) {
  std::vector<std::string> Out;
  std::map<std::string, std::vector<std::uint64_t>> Versions;
  for (const auto &[Version, Entry] : Fleet.Store_.Committed_)
    Versions[Entry.Id_].push_back(Version);
  for (const FakeWrite &Write : Fleet.Writes_) {
    const std::string &Id = Write.Request_.Id_;
    const auto &Found = Versions[Id];
    if (!Write.IsDone_)
      Out.push_back(Id + " got no answer");
    if (Found.size() > 1)
      Out.push_back(Id + " was accepted twice");
    if (const auto *Accepted =
            std::get_if<control::WriteAccepted>(&Write.Outcome_)) {
      if (Found.empty() || Found[0] != Accepted->Change_.Version_)
        Out.push_back(Id + " was not accepted as reported");
    } else if (const auto *Conflict =
                   std::get_if<control::WriteConflict>(&Write.Outcome_)) {
      const auto Other = Fleet.Store_.Committed_.find(Conflict->Version_);
      if (Other == Fleet.Store_.Committed_.end() ||
          Other->second.Author_ != Conflict->Author_ || !Found.empty())
        Out.push_back(Id + " had no conflict as reported");
    } else if (std::holds_alternative<control::WriteRefused>(Write.Outcome_) &&
               Write.IsDone_ && !Found.empty()) {
      Out.push_back(Id + " was reported as refused but accepted");
    }
  }
  return Out;
}

ScriptResult runScript(const std::vector<ScriptLine> &Script,
                       unsigned Processes, std::uint64_t Seed) {
  FakeFleet Fleet(Processes, Seed);
  setUp(Fleet);
  ScriptRunner Runner(Fleet);
  for (const ScriptLine &Line : Script) {
    Runner.execute(Line);
    if (Line.Action_ == ScriptAction::Wait)
      Fleet.run(milliseconds(Line.LastsMs_) + seconds(10));
    Fleet.run(milliseconds(Line.NextMs_));
  }
  Fleet.run(seconds(20)); // failures end by themselves
  Runner.endFailures();
  Fleet.run(RecoveryTime);
  for (unsigned I = 0; I < Processes; ++I)
    if (Fleet.version(I) != Fleet.Store_.lastVersion())
      Fleet.Violations_.push_back("process " + std::to_string(I) +
                                  " ends at version " +
                                  std::to_string(Fleet.version(I)));
  for (const std::string &What : checkOutcomes(Fleet))
    Fleet.Violations_.push_back(What);
  return {Fleet.Violations_, Fleet.InForceChecks_, Fleet.DispatchChecks_};
}

} // namespace cumingauge::fakes
