#include "control/creditcalls.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/rendezvous.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::ResultCode;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryResponse;
using ports::ListedClaim;

constexpr model::milliseconds ReadPeriod{1200};
constexpr model::milliseconds SecondReadPeriod{3000};
constexpr model::milliseconds MaxReadPeriod{5000};
constexpr model::milliseconds ReadTimeout{1000};
constexpr model::seconds ForgetFruitless{10};
constexpr model::milliseconds RankPeriod{1000};
/// Members of the first ranks of a part that read its claim without being in
/// need of it.
constexpr unsigned Candidates = 2;
constexpr model::milliseconds SecondDelay{300};
constexpr model::milliseconds OtherDelay{1500};

const model::Member &selfOf(const CoreState &State) {
  return State.Settings_.Self_;
}

std::string keyOf(unsigned Part) { return "credit/" + std::to_string(Part); }

void rankParts(CoreState &State) {
  CreditState &Credit = State.Credit_;
  if (!State.Directory_.Members_.Read_ ||
      !isDue(Credit.RankedAt_, RankPeriod, State.Now_))
    return;
  Credit.RankedAt_ = State.Now_;
  for (unsigned Part = 0; Part < CreditParts; ++Part) {
    const std::string Key = keyOf(Part);
    const std::uint64_t Own = rendezvousWeight(Key, selfOf(State).Process_);
    std::uint64_t Largest = 0;
    unsigned Rank = 0;
    for (const model::Member &Other : State.Directory_.ListedMembers_) {
      const std::uint64_t Weight = rendezvousWeight(Key, Other.Process_);
      Rank += Weight > Own ? 1 : 0;
      if (Weight >= Largest)
        Credit.First_[Part] = {Other.Process_, Other.Incarnation_, Other.Host_,
                               Other.Port_, 0};
      Largest = std::max(Largest, Weight);
    }
    Credit.Ranks_[Part] = Rank;
  }
}

bool isCandidate(const CoreState &State, unsigned Part) {
  const auto &Rank = State.Credit_.Ranks_[Part];
  return Rank && *Rank < Candidates;
}

ClaimPolicy policyOf(CoreState &State, unsigned Part) {
  const DirectoryEra &Era = State.Directory_.Era_;
  ClaimPolicy Out;
  // A directory without eras loses nothing, so what is absent never was.
  Out.IsAbsentNew_ =
      Era.Number_ == 0 || (State.Settings_.IsFirstStart_ && Era.Restores_ == 0);
  Out.IsFormerSelfLatest_ = Era.Number_ == 0;
  if (!isCandidate(State, Part))
    Out.Delay_ = State.Credit_.Delays_[Part];
  else if (*State.Credit_.Ranks_[Part] > 0)
    Out.Delay_ = SecondDelay;
  return Out;
}

/// Forgets claims of an earlier era. What the directory has lost shows neither
/// who issues nor since when.
void forgetEarlierEra(CoreState &State) {
  CreditState &Credit = State.Credit_;
  const std::uint64_t Era = State.Directory_.Era_.Number_;
  if (Credit.Era_ == Era)
    return;
  Credit.Era_ = Era;
  Credit.Parts_ = {};
  Credit.Read_ = {};
}

/// Returns whether this process needs to know the claims now.
bool needsClaims(const CoreState &State) {
  const ClaimsRead &Read = State.Credit_.Read_;
  // A process that has run before may find a claim of its own.
  const bool IsRestarted = !State.Settings_.IsFirstStart_;
  if (Read.IsWanted_ || (!Read.NextAt_ && IsRestarted))
    return true;
  for (unsigned Part = 0; Part < CreditParts; ++Part)
    if (isCandidate(State, Part) &&
        !mayIssue(State.Credit_.Parts_[Part], State.Now_))
      return true;
  return false;
}

bool isFirstCandidate(const CoreState &State) {
  for (unsigned Part = 0; Part < CreditParts; ++Part)
    if (State.Credit_.Ranks_[Part] == 0U &&
        !mayIssue(State.Credit_.Parts_[Part], State.Now_))
      return true;
  return false;
}

void scheduleRead(CoreState &State) {
  ClaimsRead &Read = State.Credit_.Read_;
  model::Duration Period = ReadPeriod;
  if (!isFirstCandidate(State))
    Period = Read.IsWanted_ ? ReadPeriod * (1 << std::min(Read.Fruitless_, 2U))
                            : SecondReadPeriod;
  Period = std::min<model::Duration>(
      MaxReadPeriod, Period * (1 << std::min(Read.Failures_, 3U)));
  Read.NextAt_ = State.Now_ + jittered(State, Period);
}

void readClaims(CoreState &State) {
  ClaimsRead &Read = State.Credit_.Read_;
  if (Read.Call_ != 0 && State.Now_ - Read.IssuedAt_ >= ReadTimeout) {
    Read.Call_ = 0;
    ++Read.Failures_;
    scheduleRead(State);
  }
  const bool IsTooEarly = Read.NextAt_ && State.Now_ < *Read.NextAt_;
  if (Read.Call_ != 0 || IsTooEarly || !needsClaims(State))
    return;
  DirectoryRequest Request;
  Request.Topic_ = ports::DirectoryTopic::CreditClaims;
  if (Read.NextAt_ && State.Now_ - *Read.NextAt_ >= ForgetFruitless)
    Read.Fruitless_ = 0;
  Read.IssuedAt_ = State.Now_;
  Read.Call_ = callDirectory(State, std::move(Request));
  scheduleRead(State);
}

void sendClaims(CoreState &State) {
  if (State.IsStopping_)
    return;
  CreditState &Credit = State.Credit_;
  for (unsigned I = 0; I < CreditParts; ++I) {
    CreditPart &Part = Credit.Parts_[I];
    const ClaimPolicy Policy = policyOf(State, I);
    if (!isClaimDue(Part, selfOf(State), Policy, State.Now_))
      continue;
    DirectoryRequest Request;
    Request.Operation_ = DirectoryOperation::Claim;
    // The id that callDirectory gives to the call.
    Request.Claim_ =
        sendClaim(Part, selfOf(State), Policy, ++Credit.LastNumber_,
                  State.LastCall_ + 1, State.Now_);
    callDirectory(State, std::move(Request));
  }
}

/// Records in the events when this process becomes the issuer of a part, and
/// when it no longer is.
class TenureChange {
public:
  TenureChange(CoreState &State, unsigned Part)
      : State_(State), Part_(Part), HadTenure_(hasTenure()) {}
  ~TenureChange() {
    if (hasTenure() != HadTenure_)
      record(State_,
             HadTenure_ ? model::EventKind::CreditIssueEnded
                        : model::EventKind::CreditIssueBegan,
             keyOf(Part_), versionOf(State_));
  }
  TenureChange(const TenureChange &) = delete;
  TenureChange &operator=(const TenureChange &) = delete;

private:
  bool hasTenure() const {
    return State_.Credit_.Parts_[Part_].Tenure_.has_value();
  }

  CoreState &State_;
  unsigned Part_;
  bool HadTenure_;
};

/// Takes over the claims that a response shows; a part that it leaves out has
/// none.
void observeClaims(CoreState &State, const DirectoryResponse &Response,
                   unsigned First, unsigned End, model::TimePoint IssuedAt) {
  for (unsigned I = First; I < End; ++I) {
    const auto Found = std::find_if(
        Response.Claims_.begin(), Response.Claims_.end(),
        [&](const ListedClaim &Claim) { return Claim.Part_ == I; });
    ListedClaim Absent;
    Absent.Part_ = I;
    const TenureChange Change(State, I);
    // Without a draw of their own all that are left would write together.
    if (State.Credit_.Parts_[I].Known_ !=
        (Found == Response.Claims_.end() ? Absent : *Found))
      State.Credit_.Delays_[I] = jittered(State, OtherDelay);
    observeClaim(State.Credit_.Parts_[I],
                 Found == Response.Claims_.end() ? Absent : *Found,
                 selfOf(State), IssuedAt, State.Now_);
  }
}

/// Returns the issuers of the parts, each in its present incarnation.
std::vector<std::string> issuers(const CoreState &State) {
  std::vector<std::string> Out;
  for (const CreditPart &Part : State.Credit_.Parts_)
    Out.push_back(Part.Known_
                      ? Part.Known_->Claim_.Process_ + " " +
                            std::to_string(Part.Known_->Claim_.Incarnation_)
                      : "");
  return Out;
}

void handleRead(CoreState &State, const DirectoryResponse &Response) {
  ClaimsRead &Read = State.Credit_.Read_;
  Read.Call_ = 0;
  if (Response.Code_ != ResultCode::Ok) {
    ++Read.Failures_;
    return scheduleRead(State);
  }
  Read.Failures_ = 0;
  const std::vector<std::string> Before = issuers(State);
  observeClaims(State, Response, 0, CreditParts, Read.IssuedAt_);
  Read.Fruitless_ =
      Read.IsWanted_ && issuers(State) == Before ? Read.Fruitless_ + 1 : 0;
  Read.IsWanted_ = false;
}

void handleWrite(CoreState &State, unsigned Index,
                 const DirectoryResponse &Response) {
  CreditPart &Part = State.Credit_.Parts_[Index];
  if (Response.Code_ != ResultCode::Ok)
    return; // sent again
  if (Response.IsConflict_)
    return observeClaims(State, Response, Index, Index + 1,
                         Part.Write_->FirstSentAt_);
  const TenureChange Change(State, Index);
  const model::Duration Spread = MaxRenewPeriod - MinRenewPeriod;
  constexpr std::uint32_t Steps = 100;
  confirmClaim(Part, Response.Revision_,
               MinRenewPeriod + Spread * State.Random_(Steps) / Steps,
               State.Now_);
}

} // namespace

void followClaims(CoreState &State) {
  forgetEarlierEra(State);
  rankParts(State);
  readClaims(State);
  sendClaims(State);
}

bool handleClaimResponse(CoreState &State, StoreCallId Call,
                         const DirectoryResponse &Response) {
  forgetEarlierEra(State);
  CreditState &Credit = State.Credit_;
  if (Call != 0 && Credit.Read_.Call_ == Call) {
    handleRead(State, Response);
    sendClaims(State);
    return true;
  }
  for (unsigned I = 0; I < CreditParts; ++I) {
    const auto &Write = Credit.Parts_[I].Write_;
    if (!Write || std::find(Write->Calls_.begin(), Write->Calls_.end(), Call) ==
                      Write->Calls_.end())
      continue;
    handleWrite(State, I, Response);
    return true;
  }
  return false;
}

void wantClaims(CoreState &State) { State.Credit_.Read_.IsWanted_ = true; }

void releaseClaims(CoreState &State) {
  for (unsigned I = 0; I < CreditParts; ++I) {
    CreditPart &Part = State.Credit_.Parts_[I];
    const TenureChange Change(State, I);
    const bool IsHeld = Part.Known_ && Part.Tenure_ && !Part.Write_ &&
                        isOwnClaim(Part.Known_->Claim_, selfOf(State));
    Part.Tenure_.reset();
    Part.Write_.reset();
    if (!IsHeld)
      continue;
    DirectoryRequest Request;
    Request.Operation_ = DirectoryOperation::Claim;
    Request.Claim_ = {I, {}, Part.Known_->Revision_};
    Request.Claim_.Claim_.Number_ = ++State.Credit_.LastNumber_;
    callDirectory(State, std::move(Request));
  }
}

} // namespace cumingauge::control
