#include "policy/reports.h"
#include <algorithm>

namespace cumingauge::policy {

namespace {

/// Reports in a row with an unchanged backlog after which the reports count as
/// stuck.
constexpr unsigned StuckReportCount = 12;
/// Time within which a call has certainly reached its server.
constexpr model::Duration ArrivalTime = model::milliseconds(5);

/// Returns how many of the latest own calls were sent after \p Since.
unsigned sendsAfter(const ReportRecord &Record, model::TimePoint Since) {
  return static_cast<unsigned>(
      std::count_if(Record.Sends_.begin(), Record.Sends_.end(),
                    [&](model::TimePoint Sent) { return Sent > Since; }));
}

/// Compares a report with the own calls that it must contain. A missing call
/// may be one whose response is on its way, so a suspect report counts as
/// proved wrong only when no other report came soon after it.
/// \return whether the previous report is now proved wrong.
bool checkOwnCalls(ReportRecord &Record, double Backlog, unsigned OwnInFlight,
                   model::TimePoint MeasuredAt, model::TimePoint Now) {
  const bool IsProvedWrong =
      Record.Suspect_ && Now - Record.HeardAt_ > ArrivalTime;
  const unsigned Recent = sendsAfter(Record, MeasuredAt - ArrivalTime);
  // The call whose response brought this report may still count as in flight.
  const unsigned MaxMissing = Recent + 1;
  const unsigned MustContain =
      OwnInFlight > MaxMissing ? OwnInFlight - MaxMissing : 0;
  Record.Suspect_ = Backlog < MustContain;
  return IsProvedWrong;
}

/// Approximates exp(-X) for X >= 0 at a lower cost.
double decay(double X) { return 1 / (1 + X + 0.5 * X * X); }

} // namespace

bool acceptReport(ReportRecord &Record, const model::LoadReport &Report,
                  unsigned OwnInFlight, model::TimePoint Now) {
  const model::TimePoint MeasuredAt = Now - Report.Age_;
  if (Record.Known_ && MeasuredAt < Record.MeasuredAt_) {
    Record.HeardAt_ = Now;
    return false;
  }
  const double Backlog = Report.InFlight_ + Report.Queued_;
  const bool IsProvedWrong =
      checkOwnCalls(Record, Backlog, OwnInFlight, MeasuredAt, Now);
  Record.HeardAt_ = Now;
  const bool Same = Record.Known_ && Backlog == Record.Backlog_;
  Record.UnchangedReports_ = Same ? Record.UnchangedReports_ + 1 : 0;
  Record.Known_ = true;
  Record.Backlog_ = Backlog;
  Record.MeasuredAt_ = MeasuredAt;
  return IsProvedWrong;
}

void recordSend(ReportRecord &Record, model::TimePoint Now) {
  Record.Sends_[Record.NextSend_] = Now;
  Record.NextSend_ =
      (Record.NextSend_ + 1) % static_cast<unsigned>(Record.Sends_.size());
}

model::TimePoint lastSend(const ReportRecord &Record) {
  const auto Size = static_cast<unsigned>(Record.Sends_.size());
  return Record.Sends_[(Record.NextSend_ + Size - 1) % Size];
}

BacklogEstimate expectedBacklog(const ReportRecord &Record, double MeanBacklog,
                                unsigned OwnInFlight, const ReportAging &Aging,
                                model::TimePoint Now) {
  const double Own = OwnInFlight;
  const model::Duration Age = Now - Record.MeasuredAt_;
  const bool IsUseless = !Record.Known_ || Age > Aging.MaxAge_ ||
                         Record.UnchangedReports_ >= StuckReportCount;
  if (IsUseless)
    return {MeanBacklog + Own, 0};
  const double Weight =
      Aging.Trust_ * decay(static_cast<double>(Age.count()) /
                           static_cast<double>(std::max<long long>(
                               Aging.Relaxation_.count(), 1)));
  const unsigned Since =
      OwnInFlight == 0
          ? 0
          : std::min(sendsAfter(Record, Record.MeasuredAt_), OwnInFlight);
  const double Expected =
      MeanBacklog + (Record.Backlog_ - MeanBacklog) * Weight + Since;
  return {std::max(Expected, Own), Weight};
}

} // namespace cumingauge::policy
