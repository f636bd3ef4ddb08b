#pragma once

#include "model/loadreport.h"
#include "model/time.h"
#include <array>
#include <cstdint>

/// What the load reports of a backend server are still worth.
namespace cumingauge::policy {

/// The last load report of one server and the own sends around it.
struct ReportMemory {
  bool Known_ = false;
  double Backlog_ = 0;       ///< calls running and waiting at the server
  model::TimePoint TrueAt_;  ///< when the figures were true
  model::TimePoint HeardAt_; ///< when this process last heard anything
  unsigned SameInRow_ = 0;   ///< reports in a row with the same figures
  bool Doubted_ = false;     ///< the last report left out own calls
  std::array<model::TimePoint, 8> Sends_{}; ///< own latest, as a ring
  unsigned NextSend_ = 0;
};

/// Takes a report. One with older figures than the last is dropped. A report
/// that leaves out own calls which must have reached the server by then is
/// older than it says.
/// \param OwnInFlight own attempts at the server.
/// \return whether the report before this one is proved to be such.
bool takeReport(ReportMemory &Memory, const model::LoadReport &Report,
                unsigned OwnInFlight, model::TimePoint Now);

void noteSend(ReportMemory &Memory, model::TimePoint Now);

/// How the age of a report is weighed.
struct ReportAging {
  model::Duration Relaxation_; ///< time in which a report loses most weight
  model::Duration MaxAge_;     ///< an older report counts for nothing
  double Trust_ = 1;           ///< factor on every weight
};

struct BacklogEstimate {
  double Calls_ = 0;  ///< expected at the server now
  double Weight_ = 0; ///< of the last report in it, 0 to 1
};

/// Calls that are expected to be at the server now. A report loses weight in
/// favour of \p Usual with its age; own sends since then are added. A report
/// that never changes counts for nothing.
/// \param Usual backlog of a server of this size when nothing is known.
/// \param OwnInFlight own attempts there, which are certain.
BacklogEstimate expectedBacklog(const ReportMemory &Memory, double Usual,
                                unsigned OwnInFlight, const ReportAging &Aging,
                                model::TimePoint Now);

} // namespace cumingauge::policy
