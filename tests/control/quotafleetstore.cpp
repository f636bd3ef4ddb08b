#include "control/quotafleet.h"

namespace cumingauge::control::fakes {

using model::milliseconds;
using ports::DirectoryOperation;
using ports::DirectoryTopic;

namespace {

/// Time after which the client of the store gives up a call.
constexpr model::seconds AnswerTimeout{2};

bool isAboutClaims(const ports::DirectoryRequest &Asked) {
  return Asked.Operation_ == DirectoryOperation::Claim ||
         Asked.Topic_ == DirectoryTopic::CreditClaims;
}

ports::DirectoryResponse failed(model::ResultCode Code) {
  ports::DirectoryResponse Out;
  Out.Code_ = Code;
  return Out;
}

} // namespace

void QuotaFleet::slowStore(unsigned Number, milliseconds Time) {
  Processes_[Number].StoreDelay_ = Time;
}

void QuotaFleet::restoreStore(milliseconds Age) {
  const auto Later = Copies_.upper_bound(Now_ - Age);
  Stored_ = Later == Copies_.begin() ? Content() : std::prev(Later)->second;
  Copies_.erase(Later, Copies_.end());
  ConfigurationRevision_ = ++Stored_.Revision_;
  ++Era_;
}

void QuotaFleet::configure(double Factor) {
  Factors_.push_back(Factor);
  ConfigurationRevision_ = ++Stored_.Revision_;
}

void QuotaFleet::execute(unsigned Number, const CallDirectory &Command) {
  const std::uint64_t Incarnation = Processes_[Number].Incarnation_;
  ClaimCalls_ += isAboutClaims(Command.Request_) ? 1 : 0;
  model::Duration Delay = delay();
  // A call without a response may be carried out seconds later.
  if (Store_ == StoreFault::Silent)
    Delay += milliseconds(draw(6000));
  if (Processes_[Number].IsCutFromStore_ || Store_ == StoreFault::Unavailable)
    return after(Delay, [=, this] {
      feed(Number, Incarnation,
           DirectoryResponseReceived{
               Command.Call_, failed(model::ResultCode::StoreUnavailable)});
    });
  after(Delay, [=, this] { arriveAtStore(Number, Incarnation, Command); });
}

void QuotaFleet::arriveAtStore(unsigned Number, std::uint64_t Incarnation,
                               const CallDirectory &Command) {
  const ports::DirectoryRequest &Asked = Command.Request_;
  const bool IsWatch = Asked.Operation_ == DirectoryOperation::Watch;
  if (IsWatch && !hasNews(Asked))
    return after(milliseconds(50), [=, this] {
      if (Processes_[Number].Incarnation_ == Incarnation)
        arriveAtStore(Number, Incarnation, Command);
    });
  ports::DirectoryResponse Response = answer(Asked);
  Response.Era_ = Era_;
  const bool IsLost = Store_ == StoreFault::Silent ||
                      Processes_[Number].IsCutFromStore_ ||
                      (Store_ == StoreFault::LosesResponses && draw(2) == 0);
  if (IsLost)
    return after(AnswerTimeout, [=, this] {
      feed(Number, Incarnation,
           DirectoryResponseReceived{Command.Call_,
                                     failed(model::ResultCode::StoreTimeout)});
    });
  const auto MostSlow =
      static_cast<std::uint32_t>(Processes_[Number].StoreDelay_.count());
  after(delay() + milliseconds(draw(MostSlow + 1)), [=, this] {
    feed(Number, Incarnation,
         DirectoryResponseReceived{Command.Call_, Response});
  });
}

bool QuotaFleet::hasNews(const ports::DirectoryRequest &Asked) const {
  return Asked.Topic_ == DirectoryTopic::Configuration &&
         ConfigurationRevision_ > Asked.After_;
}

ports::DirectoryResponse
QuotaFleet::answer(const ports::DirectoryRequest &Asked) {
  ports::DirectoryResponse Out;
  if (Asked.Operation_ == DirectoryOperation::Claim) {
    ports::ListedClaim &Stored = Stored_.Claims_[Asked.Claim_.Part_];
    if (Stored.Revision_ != Asked.Claim_.Revision_) {
      Out.IsConflict_ = true;
      Out.Claims_.push_back(Stored);
      return Out;
    }
    Stored = Asked.Claim_;
    Out.Revision_ = Stored.Revision_ = ++Stored_.Revision_;
    Copies_[Now_] = Stored_;
    return Out;
  }
  if (Asked.Operation_ == DirectoryOperation::Announce) {
    Members_[Asked.Self_.Process_] = Asked.Self_;
    ++Stored_.Revision_;
  }
  Out.Revision_ = Stored_.Revision_;
  if (Asked.Topic_ == DirectoryTopic::Members)
    for (const auto &Entry : Members_)
      Out.Members_.push_back(Entry.second);
  if (Asked.Topic_ == DirectoryTopic::CreditClaims)
    for (const auto &Entry : Stored_.Claims_)
      if (Entry.second.Revision_ > 0)
        Out.Claims_.push_back(Entry.second);
  const bool IsRead = Asked.Operation_ == DirectoryOperation::Read;
  if (Asked.Topic_ == DirectoryTopic::Configuration &&
      (IsRead || hasNews(Asked))) {
    Out.Configuration_.emplace();
    Out.Configuration_->Version_ = Factors_.size();
    std::vector<model::Workspace> Listed;
    for (unsigned I = 0; I < Workspaces; ++I)
      Listed.push_back({nameOf(I), {}, std::nullopt});
    for (unsigned I = 0; I < Workspaces && Limits_ == Quotas::With; ++I)
      Listed[I].Quota_ = quotaOf(I, Factors_.back());
    Out.Configuration_->Preset_.Name_ = std::to_string(Factors_.size());
    Out.Configuration_->Preset_.Workspaces_ = Listed;
  }
  return Out;
}

} // namespace cumingauge::control::fakes
