#include "policy/reports.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Reports in a row with equal figures after which they are taken for stuck.
constexpr unsigned StuckAfter = 12;
/// Within this time a call has certainly reached its server.
constexpr model::Duration ArrivalTime = model::milliseconds(5);

unsigned sendsAfter(const ReportMemory &Memory, model::TimePoint Since) {
  return static_cast<unsigned>(
      std::count_if(Memory.Sends_.begin(), Memory.Sends_.end(),
                    [&](model::TimePoint Sent) { return Sent > Since; }));
}

/// Compares a report with the own calls that it must contain. A call whose
/// answer is on its way explains the difference, so a doubt counts only when
/// no other answer came soon.
/// \return whether the report before is now proved wrong.
bool judge(ReportMemory &Memory, double Backlog, unsigned OwnInFlight,
           model::TimePoint TrueAt, model::TimePoint Now) {
  const bool Proved = Memory.Doubted_ && Now - Memory.HeardAt_ > ArrivalTime;
  const unsigned Recent = sendsAfter(Memory, TrueAt - ArrivalTime);
  // The call whose answer brought the report may still count as own.
  const unsigned Excused = Recent + 1;
  const unsigned MustContain =
      OwnInFlight > Excused ? OwnInFlight - Excused : 0;
  Memory.Doubted_ = Backlog < MustContain;
  return Proved;
}

/// Close to exp(-X) for X >= 0 and cheaper.
double decay(double X) { return 1 / (1 + X + 0.5 * X * X); }

} // namespace

bool takeReport(ReportMemory &Memory, const model::LoadReport &Report,
                unsigned OwnInFlight, model::TimePoint Now) {
  const model::TimePoint TrueAt = Now - Report.Age_;
  if (Memory.Known_ && TrueAt < Memory.TrueAt_) {
    Memory.HeardAt_ = Now;
    return false;
  }
  const double Backlog = Report.InFlight_ + Report.Queued_;
  const bool Proved = judge(Memory, Backlog, OwnInFlight, TrueAt, Now);
  Memory.HeardAt_ = Now;
  const bool Same = Memory.Known_ && Backlog == Memory.Backlog_;
  Memory.SameInRow_ = Same ? Memory.SameInRow_ + 1 : 0;
  Memory.Known_ = true;
  Memory.Backlog_ = Backlog;
  Memory.TrueAt_ = TrueAt;
  return Proved;
}

void noteSend(ReportMemory &Memory, model::TimePoint Now) {
  Memory.Sends_[Memory.NextSend_] = Now;
  Memory.NextSend_ =
      (Memory.NextSend_ + 1) % static_cast<unsigned>(Memory.Sends_.size());
}

BacklogEstimate expectedBacklog(const ReportMemory &Memory, double Usual,
                                unsigned OwnInFlight, const ReportAging &Aging,
                                model::TimePoint Now) {
  const double Own = OwnInFlight;
  const model::Duration Age = Now - Memory.TrueAt_;
  const bool Useless =
      !Memory.Known_ || Age > Aging.MaxAge_ || Memory.SameInRow_ >= StuckAfter;
  if (Useless)
    return {Usual + Own, 0};
  const double Weight =
      Aging.Trust_ * decay(static_cast<double>(Age.count()) /
                           static_cast<double>(std::max<long long>(
                               Aging.Relaxation_.count(), 1)));
  const unsigned Since =
      OwnInFlight == 0
          ? 0
          : std::min(sendsAfter(Memory, Memory.TrueAt_), OwnInFlight);
  const double Expected = Usual + (Memory.Backlog_ - Usual) * Weight + Since;
  return {std::max(Expected, Own), Weight};
}

} // namespace cumingauge::policy
