#include "control/creditasker.h"
#include <algorithm>
#include <tuple>

namespace cumingauge::control {

namespace {

using model::TimePoint;

constexpr unsigned MaxFailures = 2;
constexpr model::seconds AvoidTime{1};

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
    return std::make_tuple(Asker.AvoidUntil_[Part] > Now,
                           Turn.EmptyUntil_[Part] > Now,
                           (Part + CreditParts - Turn.Next_) % CreditParts);
  };
  std::optional<unsigned> Best;
  for (unsigned Part = 0; Part < CreditParts; ++Part)
    if (Usable[Part] && !Want.Tried_[Part] &&
        (!Best || Rank(Part) < Rank(*Best)))
      Best = Part;
  if (!Best ||
      (Want.Refusals_ >= MaxCreditRefusals && Turn.EmptyUntil_[*Best] > Now))
    return false;
  Turn.Next_ = (*Best + 1) % CreditParts;
  Want.Part_ = Best;
  Want.AskedAt_ = Now;
  Want.Tried_.set(*Best);
  return true;
}

std::optional<CreditDecision> applyCreditAnswer(CreditAsker &Asker,
                                                CreditWant &Want,
                                                const CreditDecision &Answer,
                                                TimePoint Now) {
  if (Answer.Answer_ == CreditAnswer::Unknown)
    return applyCreditFailure(Asker, Want, Now);
  Asker.AvoidUntil_[*Want.Part_] = Now;
  if (Answer.Answer_ == CreditAnswer::Granted)
    return Answer;
  Asker.Turns_[Want.Workspace_].EmptyUntil_[*Want.Part_] =
      Now + Answer.RetryAfter_;
  Want.RetryAfter_ = Want.Refusals_ == 0
                         ? Answer.RetryAfter_
                         : std::min(Want.RetryAfter_, Answer.RetryAfter_);
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
  if (Want.Refusals_ == 0)
    return {};
  return {CreditAnswer::Refused, Want.RetryAfter_};
}

bool isOverdue(const CreditWant &Want, TimePoint Now) {
  return Now - (Want.Part_ ? Want.AskedAt_ : Want.WantedAt_) > CreditTimeout;
}

} // namespace cumingauge::control
