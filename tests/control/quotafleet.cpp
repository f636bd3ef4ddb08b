#include "control/quotafleet.h"
#include "control/corestate.h"
#include <algorithm>
#include <tuple>

namespace cumingauge::control::fakes {

using model::milliseconds;
using model::TimePoint;

namespace {

constexpr milliseconds TickPeriod{200};
constexpr model::seconds ConnectTimeout{1};

bool isAboutCredit(const PeerMessage &Message) {
  return std::holds_alternative<CreditRequest>(Message) ||
         std::holds_alternative<CreditReply>(Message);
}

} // namespace

QuotaFleet::QuotaFleet(unsigned Processes, std::uint64_t Seed, Quotas Limits,
                       std::uint64_t Era)
    : Limits_(Limits), Random_(Seed), Processes_(Processes),
      Era_(Era), Factors_{1} {
  for (unsigned I = 0; I < Processes; ++I) {
    Processes_[I].ClockRate_ =
        1 + ClockError * (static_cast<double>(draw(2001)) - 1000) / 1000;
    start(I, /*IsFirst=*/true);
  }
}

model::CallQuota QuotaFleet::quotaOf(unsigned Workspace, double Factor) {
  constexpr model::CallQuota Quotas[Workspaces] = {{2, 4}, {20, 60}, {80, 5}};
  return {Quotas[Workspace].RequestsPerSecond_ * Factor,
          Quotas[Workspace].Burst_ * Factor};
}

std::string QuotaFleet::nameOf(unsigned Workspace) {
  return "workspace-" + std::to_string(Workspace);
}

model::Member QuotaFleet::memberOf(unsigned Number) const {
  model::Member Out;
  Out.Process_ = "front-" + std::to_string(Number);
  Out.Incarnation_ = Processes_[Number].Incarnation_;
  Out.Zone_ = "zone-a";
  Out.Host_ = std::to_string(Number);
  Out.Port_ = 7000;
  Out.LinkMbps_ = 100;
  return Out;
}

model::Duration QuotaFleet::delay() {
  return milliseconds(1) + model::microseconds(draw(4000));
}

void QuotaFleet::after(model::Duration Time, std::function<void()> Action) {
  Events_.push({Now_ + Time, ++LastOrder_, std::move(Action)});
}

void QuotaFleet::run(milliseconds Time) {
  const TimePoint End = Now_ + Time;
  while (!Events_.empty() && Events_.top().At_ <= End) {
    const Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.At_;
    Next.Action_();
  }
  Now_ = End;
}

TimePoint QuotaFleet::ownTime(const Process &Of) const {
  return TimePoint(std::chrono::duration_cast<model::Duration>(
      Now_.time_since_epoch() * Of.ClockRate_));
}

unsigned QuotaFleet::issuers(unsigned Part) const {
  return static_cast<unsigned>(std::count_if(
      Processes_.begin(), Processes_.end(), [&](const Process &Each) {
        return Each.Core_ &&
               mayIssue(Each.Core_->Credit_.Parts_[Part], ownTime(Each));
      }));
}

void QuotaFleet::start(unsigned Number, bool IsFirst) {
  Process &Started = Processes_[Number];
  ++Started.Incarnation_;
  CoreSettings Settings;
  Settings.Self_ = memberOf(Number);
  Settings.FollowsDirectory_ = true;
  Settings.IsFirstStart_ = IsFirst;
  Started.Core_ = makeCore(Settings, Random_());
  const std::uint64_t Incarnation = Started.Incarnation_;
  after(milliseconds(draw(100)), [this, Number, Incarnation] {
    feed(Number, Incarnation, control::Started{});
    tick(Number, Incarnation);
  });
}

void QuotaFleet::tick(unsigned Number, std::uint64_t Incarnation) {
  if (Processes_[Number].Incarnation_ != Incarnation)
    return;
  feed(Number, Incarnation, Ticked{});
  after(TickPeriod, [this, Number, Incarnation] { tick(Number, Incarnation); });
}

void QuotaFleet::feed(unsigned Number, std::uint64_t Incarnation,
                      const CoreInput &Input) {
  Process &Fed = Processes_[Number];
  if (!Fed.Core_ || Fed.Incarnation_ != Incarnation)
    return;
  if (Fed.PausedUntil_ > Now_)
    return after(Fed.PausedUntil_ - Now_, [this, Number, Incarnation, Input] {
      feed(Number, Incarnation, Input);
    });
  for (const CoreCommand &Command : step(*Fed.Core_, Input, ownTime(Fed)))
    std::visit([&](const auto &What) { execute(Number, What); }, Command);
}

void QuotaFleet::feedInTurn(unsigned Number, std::uint64_t Incarnation,
                            const CoreInput &Input) {
  if (CreditCost_ == model::Duration::zero())
    return feed(Number, Incarnation, Input);
  TimePoint &BusyUntil = Processes_[Number].BusyUntil_;
  BusyUntil = std::max(BusyUntil, Now_) + CreditCost_;
  after(BusyUntil - Now_, [this, Number, Incarnation, Input] {
    feed(Number, Incarnation, Input);
  });
}

void QuotaFleet::restart(unsigned Number, milliseconds Away) {
  Process &Ended = Processes_[Number];
  if (!Ended.Core_)
    return;
  Ended.Core_.reset();
  Ended.Factor_ = 0;
  recordFactors();
  for (auto It = Waiting_.begin(); It != Waiting_.end();)
    It = It->second.Process_ == Number ? Waiting_.erase(It) : std::next(It);
  closeLinksOf(Number);
  after(Away, [this, Number] { start(Number, /*IsFirst=*/false); });
}

void QuotaFleet::pause(unsigned Number, milliseconds Time) {
  Processes_[Number].PausedUntil_ = Now_ + Time;
}

void QuotaFleet::cutFromPeers(unsigned Number, bool IsCut) {
  Processes_[Number].IsCutFromPeers_ = IsCut;
}

void QuotaFleet::cutFromStore(unsigned Number, bool IsCut) {
  Processes_[Number].IsCutFromStore_ = IsCut;
}

bool QuotaFleet::isCut(const OpenedLink &Link) const {
  return Processes_[Link.From_].IsCutFromPeers_ ||
         Processes_[Link.To_].IsCutFromPeers_;
}

void QuotaFleet::closeLinksOf(unsigned Number) {
  for (auto It = Links_.begin(); It != Links_.end();) {
    const auto [Id, Closed] = *It;
    if (Closed.From_ != Number && Closed.To_ != Number) {
      ++It;
      continue;
    }
    const unsigned Peer = Closed.From_ == Number ? Closed.To_ : Closed.From_;
    const std::uint64_t Incarnation = Processes_[Peer].Incarnation_;
    after(delay(), [this, Peer, Incarnation, Id = Id] {
      feed(Peer, Incarnation, LinkClosed{Id});
    });
    It = Links_.erase(It);
  }
}

void QuotaFleet::execute(unsigned Number, const PublishView &Command) {
  const std::uint64_t Version = Command.View_->Config_->Version_;
  Processes_[Number].Factor_ = Version == 0 ? 0 : Factors_[Version - 1];
  recordFactors();
}

void QuotaFleet::recordFactors() {
  double Largest = 0;
  for (const Process &Each : Processes_)
    Largest = std::max(Largest, Each.Factor_);
  LargestFactors_[Now_] = Largest;
}

void QuotaFleet::execute(unsigned Number, const OpenLink &Command) {
  const auto To = static_cast<unsigned>(std::stoul(Command.Host_));
  const std::uint64_t Incarnation = Processes_[Number].Incarnation_;
  const OpenedLink Opened{Number, To, Now_};
  const bool IsLost = isCut(Opened);
  after(IsLost ? model::Duration(ConnectTimeout) : 2 * delay(), [=, this] {
    if (Processes_[Number].Incarnation_ != Incarnation ||
        !Processes_[Number].Core_)
      return;
    if (IsLost || !Processes_[To].Core_)
      return feed(Number, Incarnation,
                  LinkFailed{Command.Host_, Command.Port_});
    const LinkId Id = ++LastLink_;
    Links_[Id] = Opened;
    feed(To, Processes_[To].Incarnation_,
         LinkOpened{Id, memberOf(Number), false, false});
    feed(Number, Incarnation, LinkOpened{Id, memberOf(To), false, true});
  });
}

void QuotaFleet::execute(unsigned Number, const CloseLink &Command) {
  const auto Found = Links_.find(Command.Link_);
  if (Found == Links_.end())
    return;
  const unsigned Peer =
      Found->second.From_ == Number ? Found->second.To_ : Found->second.From_;
  Links_.erase(Found);
  const std::uint64_t Incarnation = Processes_[Peer].Incarnation_;
  after(delay(),
        [=, this] { feed(Peer, Incarnation, LinkClosed{Command.Link_}); });
}

void QuotaFleet::execute(unsigned Number, const SendPeer &Command) {
  const auto Found = Links_.find(Command.Link_);
  if (Found == Links_.end())
    return;
  OpenedLink &Used = Found->second;
  const unsigned To = Used.From_ == Number ? Used.To_ : Used.From_;
  const std::uint64_t Incarnation = Processes_[To].Incarnation_;
  if (std::holds_alternative<DirectorySubscription>(*Command.Message_))
    Subscribed_.insert(Command.Link_);
  model::Duration Delay = delay();
  unsigned Copies = 1;
  if (isAboutCredit(*Command.Message_)) {
    ++Messages_;
    if (draw(100) < CreditFaults_)
      Copies = draw(3);
    if (draw(100) < CreditFaults_)
      Delay += milliseconds(draw(3000));
  } else {
    // Links keep the order of these messages.
    Used.LastArrival_ = std::max(Used.LastArrival_, Now_ + Delay);
    Delay = Used.LastArrival_ - Now_;
  }
  if (std::holds_alternative<CreditReply>(*Command.Message_))
    Delay = std::max(Delay, HeldUntil_ - Now_);
  // What is sent into a cut arrives after it or never.
  if (isCut(Used))
    Delay += milliseconds(draw(10000));
  for (unsigned I = 0; I < Copies; ++I)
    after(Delay * (I + 1), [=, this] {
      if (!Links_.count(Command.Link_))
        return;
      const PeerMessageReceived Input{Command.Link_, *Command.Message_};
      if (isAboutCredit(*Command.Message_))
        feedInTurn(To, Incarnation, Input);
      else
        feed(To, Incarnation, Input);
    });
}

void QuotaFleet::call(unsigned Workspace, unsigned Returns) {
  const unsigned First = draw(size());
  for (unsigned I = 0; I < size(); ++I) {
    const unsigned Number = (First + I) % size();
    // Callers reach processes that have a configuration.
    if (!Processes_[Number].Core_ || Processes_[Number].Factor_ == 0)
      continue;
    const std::uint64_t Request = ++LastRequest_;
    Waiting_[Request] = {Number, Workspace, Returns, Now_};
    return feedInTurn(Number, Processes_[Number].Incarnation_,
                      CreditWanted{Request, nameOf(Workspace)});
  }
}

void QuotaFleet::execute(unsigned Number, const DecideCredit &Command) {
  const auto Found = Waiting_.find(Command.Request_);
  if (Found == Waiting_.end() || Found->second.Process_ != Number) {
    ++ExcessDecisions_;
    return;
  }
  const auto [Process, Workspace, Returns, Since] = Found->second;
  Waiting_.erase(Found);
  Decisions_.push_back({Workspace, Command.Decision_.Answer_, Now_ - Since});
  if (Command.Decision_.Answer_ == CreditAnswer::Granted)
    Starts_.push_back({Now_, Workspace});
  else if (Command.Decision_.Answer_ == CreditAnswer::Refused)
    ++Refused_;
  else
    ++Unknown_;
  if (Command.Decision_.Answer_ == CreditAnswer::Refused && Returns > 0)
    after(Command.Decision_.RetryAfter_,
          [this, Workspace = Workspace, Returns = Returns] {
            call(Workspace, Returns - 1);
          });
}

} // namespace cumingauge::control::fakes
