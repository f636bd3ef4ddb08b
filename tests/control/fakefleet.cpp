#include "fakefleet.h"
#include <algorithm>

namespace cumingauge::fakes {

using namespace control;
using model::milliseconds;
using model::seconds;

namespace {

constexpr std::size_t MaxViolations = 20;
constexpr milliseconds TickPeriod{100};
constexpr const char *Zones[] = {"milano-a", "torino-b", "bologna-c"};

/// Guaranteed time from the commit until a change is in force everywhere.
constexpr seconds InForceBound{3};
/// Time without disturbance after which a disturbed fleet must have recovered.
constexpr seconds SettleTime{20};
/// Number of processes that may be disturbed while the others must meet
/// InForceBound.
constexpr unsigned MaxDisturbed = 1;
/// Maximum time in which work may still be dispatched to a server that is
/// marked as leaving: the time to distribute the mark, then the longest age of
/// an exchange with the grace of an isolated process.
constexpr seconds DispatchBound{8};

} // namespace

bool FakeFleet::Later::operator()(const Scheduled &Left,
                                  const Scheduled &Right) const {
  return std::tie(Left.At_, Left.Order_) > std::tie(Right.At_, Right.Order_);
}

FakeFleet::FakeFleet(unsigned Processes, std::uint64_t Seed) : Random_(Seed) {
  Store_.OnWritten_ = [this](const std::string &Key) { answerWatches(Key); };
  Store_.OnCommitted_ = [this](const model::Change &Entry) {
    recordCommit(Entry);
  };
  std::vector<model::Member> Seeds;
  for (unsigned I = 0; I < Processes; ++I) {
    FakeProcess Process;
    model::Member &Self = Process.Settings_.Self_;
    Self.Process_ = "entry-" + std::to_string(I);
    Self.Zone_ = Zones[I % std::size(Zones)];
    Self.Region_ = "nord-italia";
    Self.Host_ = "10.0.0.1";
    Self.Port_ = static_cast<std::uint16_t>(FirstPort + I);
    Process.Settings_.SnapshotEvery_ = 4;
    Process.Settings_.EntryMargin_ = 2;
    Process.Settings_.KeptEntries_ = 6;
    Process.Settings_.EntryRetention_ = seconds(20);
    Seeds.push_back(Self);
    Processes_.push_back(std::move(Process));
    Store_.Vms_.push_back({Self.Process_, false, "cumingauge"});
  }
  for (FakeProcess &Process : Processes_)
    Process.Settings_.SeedPeers_ = Seeds;
}

void FakeFleet::start(unsigned Index) {
  FakeProcess &Process = Processes_[Index];
  if (Process.Core_)
    return;
  disturb(Index);
  ++Process.Generation_;
  Process.View_ = nullptr;
  Process.IsPaused_ = false;
  Process.Settings_.Self_.Incarnation_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(Now_.time_since_epoch())
          .count());
  Process.Core_ = makeCore(Process.Settings_, Random_());
  feed(Index, Started{});
  const unsigned Generation = Process.Generation_;
  runAfter(milliseconds(Random_(100)),
           [this, Index, Generation] { tick(Index, Generation); });
}

void FakeFleet::kill(unsigned Index) {
  FakeProcess &Process = Processes_[Index];
  if (!Process.Core_)
    return;
  disturb(Index);
  Process.Core_.reset();
  Process.IsPaused_ = false;
  Process.PendingInputs_.clear();
  std::vector<LinkId> Open;
  for (const auto &[Id, End] : Links_)
    if (End.Process_ == Index)
      Open.push_back(Id);
  for (const LinkId Id : Open)
    closeLink(Index, Id);
}

void FakeFleet::stop(unsigned Index) {
  if (Processes_[Index].Core_ && !Processes_[Index].IsPaused_)
    feed(Index, Stopping{});
  kill(Index);
}

void FakeFleet::pause(unsigned Index) {
  disturb(Index);
  Processes_[Index].IsPaused_ = Processes_[Index].Core_ != nullptr;
}

void FakeFleet::resume(unsigned Index) {
  FakeProcess &Process = Processes_[Index];
  if (!Process.IsPaused_)
    return;
  disturb(Index);
  Process.IsPaused_ = false;
  checkDispatch(Index); // traffic threads may run before the control thread
  const auto Waiting = std::exchange(Process.PendingInputs_, {});
  for (const CoreInput &Input : Waiting)
    feed(Index, Input);
  if (Process.Core_)
    feed(Index, Ticked{});
}

void FakeFleet::run(model::Duration Time) {
  const TimePoint End = Now_ + Time;
  while (!Queue_.empty() && Queue_.top().At_ <= End) {
    const Scheduled Next = Queue_.top();
    Queue_.pop();
    Now_ = std::max(Now_, Next.At_);
    Next.Action_();
  }
  Now_ = End;
}

void FakeFleet::runAfter(model::Duration Delay, std::function<void()> Action) {
  Queue_.push({Now_ + Delay, ++LastOrder_, std::move(Action)});
}

void FakeFleet::tick(unsigned Index, unsigned Generation) {
  FakeProcess &Process = Processes_[Index];
  if (!Process.Core_ || Process.Generation_ != Generation)
    return;
  if (!Process.IsPaused_) {
    feed(Index, Ticked{});
    checkDispatch(Index);
  }
  runAfter(TickPeriod, [this, Index, Generation] { tick(Index, Generation); });
}

void FakeFleet::feed(unsigned Index, const CoreInput &Input) {
  FakeProcess &Process = Processes_[Index];
  if (!Process.Core_)
    return;
  if (Process.IsPaused_) {
    Process.PendingInputs_.push_back(Input);
    return;
  }
  for (const CoreCommand &Command : step(*Process.Core_, Input, Now_))
    execute(Index, Command);
}

void FakeFleet::execute(unsigned Index, const CoreCommand &Command) {
  if (const auto *Call = std::get_if<CallStore>(&Command))
    callStore(Index, *Call);
  else if (const auto *Open = std::get_if<OpenLink>(&Command))
    openLink(Index, *Open);
  else if (const auto *Close = std::get_if<CloseLink>(&Command))
    closeLink(Index, Close->Link_);
  else if (const auto *Send = std::get_if<SendPeer>(&Command))
    sendPeer(Index, *Send);
  else if (const auto *Publish = std::get_if<PublishView>(&Command))
    checkView(Index, Publish->View_);
  else if (const auto *Event = std::get_if<RecordEvent>(&Command))
    recordEvent(Index, *Event);
}

void FakeFleet::recordEvent(unsigned Index, const RecordEvent &Event) {
  FakeProcess &Process = Processes_[Index];
  Process.Events_.push_back(Event);
  trace(Process.Settings_.Self_.Process_ + " " +
        boost::describe::enum_to_string(Event.Kind_, "?") + " " +
        Event.Subject_ + " version " + std::to_string(Event.Version_) + " " +
        std::string(nameOf(Event.Reason_)) + " " + Event.Detail_);
}

void FakeFleet::trace(const std::string &Line) {
  Trace_.push_back(timeText() + Line);
}

std::string FakeFleet::timeText() const {
  return std::to_string(std::chrono::duration_cast<milliseconds>(
                            Now_.time_since_epoch() - std::chrono::hours(1))
                            .count()) +
         " ms: ";
}

void FakeFleet::checkView(
    unsigned Index, const std::shared_ptr<const model::ControlView> &View) {
  FakeProcess &Process = Processes_[Index];
  const model::ConfigState &Config = *View->Config_;
  const std::string Who = Process.Settings_.Self_.Process_ + " at version " +
                          std::to_string(Config.Version_);
  if (Process.View_ && Process.View_->Config_->Version_ > Config.Version_)
    reportViolation(Who + " went back");
  Process.View_ = View;
  trace(Who + " in force: " + Config.PresetInForce_ +
        (View->Confirmed_ ? "" : " (unconfirmed)"));
  if (Config.Version_ == 0)
    return;
  const auto Committed = Store_.Committed_.find(Config.Version_);
  if (Committed == Store_.Committed_.end() ||
      Committed->second.Id_ != Config.RecentChangeIds_.back())
    reportViolation(Who + " applied a change that was not accepted");
  auto &Known = States_[Config.Version_];
  if (!Known)
    Known = View->Config_;
  else if (Known != View->Config_ && *Known != Config)
    reportViolation(Who + " has a state that differs from other processes'");
}

std::size_t FakeFleet::write(model::ChangeAction Action,
                             const std::string &Author, bool HandOver,
                             bool Confirmed) {
  const std::size_t Index = Writes_.size();
  FakeWrite Write;
  Write.Request_.Id_ = "id-" + std::to_string(Index);
  Write.Request_.Author_ = Author;
  Write.Request_.Action_ = std::move(Action);
  Write.Request_.Confirmed_ = Confirmed;
  Write.Request_.SeenVersion_ = Store_.lastVersion();
  Writes_.push_back(Write);
  auto Writer = std::make_shared<ChangeWriter>(
      startWrite(Write.Request_, WriteLimits(), Now_));
  continueWrite(Index, Writer, HandOver);
  return Index;
}

void FakeFleet::continueWrite(std::size_t Index,
                              const std::shared_ptr<ChangeWriter> &Writer,
                              bool HandOver) {
  const WriterStep Step = nextStep(*Writer, Now_);
  if (Step.Outcome_) {
    Writes_[Index].Outcome_ = *Step.Outcome_;
    Writes_[Index].IsDone_ = true;
    trace(Writes_[Index].Request_.Author_ + " is told " +
          std::string(nameOf(codeOf(*Step.Outcome_))) + " for " +
          Writes_[Index].Request_.Id_);
    const auto *Accepted = std::get_if<WriteAccepted>(&*Step.Outcome_);
    if (HandOver && Accepted)
      handOver(Accepted->Change_);
    return;
  }
  const auto Answer = [this, Index, Writer,
                       HandOver](const ports::StoreResponse &Response) {
    handleResponse(*Writer, Response, Now_);
    continueWrite(Index, Writer, HandOver);
  };
  const milliseconds Extra{Random_(5)};
  runAfter(Step.Delay_ + Extra, [this, Request = *Step.Request_, Answer] {
    callAsOperator(Request, Answer);
  });
}

void FakeFleet::callAsOperator(
    const ports::StoreRequest &Request,
    const std::function<void(const ports::StoreResponse &)> &Answer) {
  ports::StoreResponse Failure;
  Failure.Code_ = model::ResultCode::StoreUnavailable;
  if (!IsStoreUp_ || chance(Faults_.RefuseCall_)) {
    runAfter(StoreLatency, [Answer, Failure] { Answer(Failure); });
    return;
  }
  Failure.Code_ = model::ResultCode::StoreTimeout;
  if (chance(Faults_.ApplyLate_)) {
    runAfter(milliseconds(500 + Random_(8000)),
             [this, Request] { Store_.execute(Request); });
    runAfter(LostAnswerTimeout, [Answer, Failure] { Answer(Failure); });
    return;
  }
  const bool IsLost = chance(Faults_.LoseAnswer_);
  runAfter(StoreLatency, [this, Request, Answer, Failure, IsLost] {
    const ports::StoreResponse Response = Store_.execute(Request);
    if (IsLost)
      runAfter(LostAnswerTimeout, [Answer, Failure] { Answer(Failure); });
    else
      runAfter(StoreLatency, [Answer, Response] { Answer(Response); });
  });
}

void FakeFleet::handOver(const model::Change &Entry) {
  const unsigned Index = Random_(static_cast<unsigned>(Processes_.size()));
  const LinkId Id = ++LastLink_;
  feed(Index, LinkOpened{Id, {}, true, false});
  feed(Index, PeerMessageReceived{Id, Entries{{Entry}, {}}});
  feed(Index, LinkClosed{Id});
}

void FakeFleet::recordCommit(const model::Change &Entry) {
  if (const auto *Put = std::get_if<model::MarkLeaving>(&Entry.Action_))
    Marks_[Put->Name_] = {Entry.Version_, Now_};
  if (const auto *Back = std::get_if<model::ReturnServer>(&Entry.Action_))
    Marks_.erase(Back->Name_);
  if (const auto *Other = std::get_if<model::PutServer>(&Entry.Action_))
    Marks_.erase(Other->Server_.Name_);
  runAfter(InForceBound, [this, Version = Entry.Version_, At = Now_] {
    checkInForce(Version, At);
  });
}

void FakeFleet::checkInForce(std::uint64_t Version, TimePoint AcceptedAt) {
  unsigned Disturbed = 0;
  for (const FakeProcess &Process : Processes_)
    Disturbed += Process.LastDisturbedAt_ + SettleTime > AcceptedAt ? 1 : 0;
  if (Disturbed > MaxDisturbed)
    return;
  for (unsigned I = 0; I < Processes_.size(); ++I) {
    const FakeProcess &Process = Processes_[I];
    if (!Process.Core_ || Process.LastDisturbedAt_ + SettleTime > AcceptedAt ||
        !reachesStore(I))
      continue;
    ++InForceChecks_;
    if (version(I) < Version)
      reportViolation("version " + std::to_string(Version) +
                      " is late on process " + std::to_string(I));
  }
}

bool FakeFleet::isInPartitionWithoutStore(unsigned Index) const {
  const FakeProcess &Process = Processes_[Index];
  unsigned Others = 0;
  bool HasStore = false;
  for (unsigned I = 0; I < Processes_.size(); ++I) {
    const FakeProcess &Peer = Processes_[I];
    if (Peer.Partition_ != Process.Partition_ || !Peer.Core_ || Peer.IsPaused_)
      continue;
    Others += I != Index ? 1 : 0;
    HasStore = HasStore || reachesStore(I);
  }
  return Others > 0 &&
         (!HasStore || Now_ - Process.LastDisturbedAt_ < SettleTime);
}

void FakeFleet::checkDispatch(unsigned Index) {
  FakeProcess &Process = Processes_[Index];
  // A part of the fleet that lost the store and the rest continues with what it
  // knows; see docs/design/isolation.md.
  if (isInPartitionWithoutStore(Index))
    Process.CutOffAt_ = Now_;
  if (!Process.View_ || !mayDispatch(Index))
    return;
  for (const auto &[Server, Value] : Marks_) {
    const TimePoint Due = std::max(Value.At_, Process.CutOffAt_);
    if (Now_ - Due <= DispatchBound)
      continue;
    ++DispatchChecks_;
    if (!Process.View_->LeavingServers_.count(Server))
      reportViolation("process " + std::to_string(Index) +
                      " may still dispatch to " + Server);
  }
}

void FakeFleet::disturb(unsigned Index) {
  Processes_[Index].LastDisturbedAt_ = Now_;
}

void FakeFleet::disturbAll() {
  for (unsigned I = 0; I < Processes_.size(); ++I)
    disturb(I);
}

std::uint64_t FakeFleet::version(unsigned Index) const {
  const auto &View = Processes_[Index].View_;
  return View ? View->Config_->Version_ : 0;
}

bool FakeFleet::mayDispatch(unsigned Index) const {
  return control::mayDispatch(freshnessFacts(*Processes_[Index].Core_),
                              Freshness_, Now_);
}

bool FakeFleet::chance(unsigned Percent) {
  return Percent > 0 && Random_(100) < Percent;
}

bool FakeFleet::areConnected(unsigned Left, unsigned Right) const {
  return Processes_[Left].Partition_ == Processes_[Right].Partition_;
}

bool FakeFleet::reachesStore(unsigned Index) const {
  return IsStoreUp_ && Processes_[Index].HasStore_;
}

void FakeFleet::reportViolation(const std::string &What) {
  if (Violations_.size() >= MaxViolations)
    return;
  Violations_.push_back(timeText() + What);
}

} // namespace cumingauge::fakes
