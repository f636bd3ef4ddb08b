#include "control/creditasker.h"
#include <algorithm>
#include <tuple>

namespace cumingauge::control {

namespace {

using model::milliseconds;
using model::TimePoint;

constexpr unsigned MaxFailures = 2;
constexpr model::seconds AvoidTime{1};
/// Time without a question after which an earlier silence counts no longer.
constexpr model::seconds UntriedTime{5};
/// Time without an answer after which further calls go to other parts.
constexpr model::milliseconds SlowAnswer{100};

bool owesAnswer(const CreditAsker &Asker, unsigned Part, TimePoint Now) {
  const auto &Since = Asker.OwesSince_[Part];
  return Since && Now - *Since > SlowAnswer;
}

/// Returns whether a part is left out while others can be asked.
bool isAvoided(const CreditAsker &Asker, unsigned Part, TimePoint Now) {
  return Asker.AvoidUntil_[Part] > Now ||
         (owesAnswer(Asker, Part, Now) &&
          Now - *Asker.OwesSince_[Part] < AvoidTime);
}

/// Returns whether a part has not answered for so long that a call is not to
/// wait for it, as another one tries it.
bool isSilent(const CreditAsker &Asker, unsigned Part, TimePoint Now) {
  const auto &Since = Asker.OwesSince_[Part];
  return Since && Now - *Since >= AvoidTime && Asker.AvoidUntil_[Part] > Now;
}

/// Records that a part is asked. While it owes an answer, no other call is to
/// wait for it.
void recordQuestion(CreditAsker &Asker, unsigned Part, TimePoint Now) {
  auto &Since = Asker.OwesSince_[Part];
  // It may have come back since it was last tried.
  if (Since && Now - std::max(*Since, Asker.AvoidUntil_[Part]) >= UntriedTime)
    Since.reset();
  if (owesAnswer(Asker, Part, Now))
    Asker.AvoidUntil_[Part] = Now + AvoidTime;
  if (!Since)
    Since = Now;
}

/// Keeps for a call the shortest time after which a part is to have credit.
void shortenRetry(CreditWant &Want, milliseconds RetryAfter) {
  const bool IsFirst = Want.Refusals_ == 0 && !Want.IsKnownEmpty_;
  Want.RetryAfter_ =
      IsFirst ? RetryAfter : std::min(Want.RetryAfter_, RetryAfter);
}

/// Takes what closed parts have said for their answers to a call.
void applyKnownRefusals(CreditWant &Want, const CreditTurn &Turn,
                        const PartSet &Usable, TimePoint Now) {
  for (unsigned Part = 0; Part < CreditParts; ++Part) {
    const CreditOutlook &Outlook = Turn.Outlooks_[Part];
    if (!Usable[Part] || Want.Tried_[Part] || Now >= Outlook.ClosedUntil_)
      continue;
    const auto Left =
        std::chrono::ceil<milliseconds>(Outlook.EmptyUntil_ - Now);
    shortenRetry(Want, std::max(Left, milliseconds(1)));
    Want.IsKnownEmpty_ = true;
  }
}

/// Ends the question to the present part.
void closeStep(CreditWant &Want) {
  Want.Part_.reset();
  Want.Message_ = 0;
}

} // namespace

bool choosePart(CreditAsker &Asker, CreditWant &Want, const PartSet &Usable,
                unsigned Start, TimePoint Now) {
  CreditTurn &Turn =
      Asker.Turns_.try_emplace(Want.Workspace_, CreditTurn{Start, {}})
          .first->second;
  const auto Rank = [&](unsigned Part) {
    return std::make_tuple(isAvoided(Asker, Part, Now),
                           Turn.Outlooks_[Part].EmptyUntil_ > Now,
                           (Part + CreditParts - Turn.Next_) % CreditParts);
  };
  std::optional<unsigned> Best;
  bool HasRefused = Want.Refusals_ > 0;
  for (unsigned Part = 0; Part < CreditParts; ++Part) {
    if (!Usable[Part] || Want.Tried_[Part])
      continue;
    const bool IsClosed = Now < Turn.Outlooks_[Part].ClosedUntil_;
    HasRefused = HasRefused || IsClosed;
    if (!IsClosed && (!Best || Rank(Part) < Rank(*Best)))
      Best = Part;
  }
  if (!Best || isSilent(Asker, *Best, Now) ||
      (Want.Refusals_ >= MaxCreditRefusals &&
       Turn.Outlooks_[*Best].ClosedUntil_ != TimePoint()) ||
      (HasRefused && isAvoided(Asker, *Best, Now))) {
    applyKnownRefusals(Want, Turn, Usable, Now);
    return false;
  }
  TimePoint &ClosedUntil = Turn.Outlooks_[*Best].ClosedUntil_;
  if (ClosedUntil != TimePoint())
    ClosedUntil = Now + CreditTimeout;
  Turn.Next_ = (*Best + 1) % CreditParts;
  Want.Part_ = Best;
  Want.AskedAt_ = Now;
  Want.Tried_.set(*Best);
  recordQuestion(Asker, *Best, Now);
  return true;
}

bool areSilent(const CreditAsker &Asker, const PartSet &Usable, TimePoint Now) {
  for (unsigned Part = 0; Part < CreditParts; ++Part)
    if (Usable[Part] && !isSilent(Asker, Part, Now))
      return false;
  return Usable.any();
}

void forgetSilence(CreditAsker &Asker, unsigned Part) {
  Asker.OwesSince_[Part].reset();
  Asker.AvoidUntil_[Part] = {};
}

std::optional<CreditDecision> applyCreditAnswer(CreditAsker &Asker,
                                                CreditWant &Want,
                                                const CreditDecision &Answer,
                                                TimePoint Now) {
  if (Answer.Answer_ == CreditAnswer::Unknown)
    return applyCreditFailure(Asker, Want, Now);
  Asker.AvoidUntil_[*Want.Part_] = Now;
  Asker.OwesSince_[*Want.Part_].reset();
  CreditOutlook &Outlook = Asker.Turns_[Want.Workspace_].Outlooks_[*Want.Part_];
  if (Answer.Answer_ == CreditAnswer::Granted) {
    Outlook = {};
    return Answer;
  }
  Outlook.EmptyUntil_ = Now + Answer.RetryAfter_;
  Outlook.ClosedUntil_ = Now + std::min(Answer.RetryAfter_, MaxClosedTime);
  shortenRetry(Want, Answer.RetryAfter_);
  ++Want.Refusals_;
  closeStep(Want);
  return std::nullopt;
}

std::optional<CreditDecision>
applyCreditFailure(CreditAsker &Asker, CreditWant &Want, TimePoint Now) {
  Asker.AvoidUntil_[*Want.Part_] = Now + AvoidTime;
  ++Want.Failures_;
  closeStep(Want);
  if (Want.Failures_ >= MaxFailures)
    return concludeWant(Want);
  return std::nullopt;
}

CreditDecision concludeWant(const CreditWant &Want) {
  if (Want.Refusals_ == 0 && !Want.IsKnownEmpty_)
    return {};
  return {CreditAnswer::Refused, Want.RetryAfter_};
}

bool isOverdue(const CreditWant &Want, TimePoint Now) {
  return Now - (Want.Part_ ? Want.AskedAt_ : Want.WantedAt_) > CreditTimeout;
}

} // namespace cumingauge::control
