#include "policy/reports.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Reports in a row with equal figures after which they are taken for stuck.
constexpr unsigned StuckAfter = 12;

unsigned sendsAfter(const ReportMemory &Memory, model::TimePoint Since) {
  return static_cast<unsigned>(
      std::count_if(Memory.Sends_.begin(), Memory.Sends_.end(),
                    [&](model::TimePoint Sent) { return Sent > Since; }));
}

/// Close to exp(-X) for X >= 0 and cheaper.
double decay(double X) { return 1 / (1 + X + 0.5 * X * X); }

} // namespace

void takeReport(ReportMemory &Memory, const model::LoadReport &Report,
                model::TimePoint Now) {
  const model::TimePoint TrueAt = Now - Report.Age_;
  Memory.HeardAt_ = Now;
  if (Memory.Known_ && TrueAt < Memory.TrueAt_)
    return;
  const double Backlog = Report.InFlight_ + Report.Queued_;
  const bool Same = Memory.Known_ && Backlog == Memory.Backlog_;
  Memory.SameInRow_ = Same ? Memory.SameInRow_ + 1 : 0;
  Memory.Known_ = true;
  Memory.Backlog_ = Backlog;
  Memory.TrueAt_ = TrueAt;
}

void noteSend(ReportMemory &Memory, model::TimePoint Now) {
  Memory.Sends_[Memory.NextSend_] = Now;
  Memory.NextSend_ =
      (Memory.NextSend_ + 1) % static_cast<unsigned>(Memory.Sends_.size());
}

double expectedBacklog(const ReportMemory &Memory, double Usual,
                       unsigned OwnInFlight, const ReportAging &Aging,
                       model::TimePoint Now) {
  const double Own = OwnInFlight;
  const model::Duration Age = Now - Memory.TrueAt_;
  const bool Useless =
      !Memory.Known_ || Age > Aging.MaxAge_ || Memory.SameInRow_ >= StuckAfter;
  if (Useless)
    return Usual + Own;
  const double Weight = decay(
      static_cast<double>(Age.count()) /
      static_cast<double>(std::max<long long>(Aging.Relaxation_.count(), 1)));
  const unsigned Since =
      std::min(sendsAfter(Memory, Memory.TrueAt_), OwnInFlight);
  const double Expected = Usual + (Memory.Backlog_ - Usual) * Weight + Since;
  return std::max(Expected, Own);
}

} // namespace cumingauge::policy
