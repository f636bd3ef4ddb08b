#pragma once

#include "model/loadreport.h"
#include "model/time.h"
#include <array>
#include <cstdint>

/// Load reports of a backend server, and what they still say as they age.
namespace cumingauge::policy {

/// The last load report of one server and this thread's own calls around it.
struct ReportRecord {
  bool Known_ = false;
  double Backlog_ = 0;          ///< calls running and waiting at the server
  model::TimePoint MeasuredAt_; ///< when the server measured the load
  model::TimePoint HeardAt_;    ///< last report, even an outdated one, or probe
  unsigned UnchangedReports_ = 0; ///< in a row with the same backlog
  bool Suspect_ = false;          ///< the last report seems to lack own calls
  /// Times of the latest own calls, as a ring.
  std::array<model::TimePoint, 8> Sends_{};
  unsigned NextSend_ = 0;
};

/// Applies a report. One that was measured before the last is dropped. A report
/// that lacks own calls which must have reached the server by then is older
/// than it states.
/// \param OwnInFlight own attempts in flight to the server.
/// \return whether the previous report is proved to be such.
bool acceptReport(ReportRecord &Record, const model::LoadReport &Report,
                  unsigned OwnInFlight, model::TimePoint Now);

/// Records that this thread sends a call to the server now.
void recordSend(ReportRecord &Record, model::TimePoint Now);

/// Returns when this thread last sent a call to the server; the epoch before
/// the first one.
model::TimePoint lastSend(const ReportRecord &Record);

/// How the weight of a report depends on its age.
struct ReportAging {
  model::Duration Relaxation_; ///< time to lose most weight
  model::Duration MaxAge_;     ///< an older report has no weight
  double Trust_ = 1;           ///< factor on every weight
};

/// An estimated backlog and how far it rests on a report.
struct BacklogEstimate {
  double Calls_ = 0;  ///< calls expected at the server now
  double Weight_ = 0; ///< weight of the last report in it, 0 to 1
};

/// Estimates the calls at the server now. With its age a report loses weight in
/// favour of \p MeanBacklog; own calls sent since then are added. A report that
/// never changes has no weight.
/// \param MeanBacklog backlog to expect at a server of this size when nothing
/// is known about it.
/// \param OwnInFlight own attempts in flight there, which are certain.
BacklogEstimate expectedBacklog(const ReportRecord &Record, double MeanBacklog,
                                unsigned OwnInFlight, const ReportAging &Aging,
                                model::TimePoint Now);

} // namespace cumingauge::policy
