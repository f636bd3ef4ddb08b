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
  std::array<model::TimePoint, 8> Sends_{}; ///< own latest, as a ring
  unsigned NextSend_ = 0;
};

/// Takes a report. One with older figures than the last is dropped.
void takeReport(ReportMemory &Memory, const model::LoadReport &Report,
                model::TimePoint Now);

void noteSend(ReportMemory &Memory, model::TimePoint Now);

/// How the age of a report is weighed.
struct ReportAging {
  model::Duration Relaxation_; ///< time in which a report loses most weight
  model::Duration MaxAge_;     ///< an older report counts for nothing
};

/// Calls that are expected to be at the server now. A report loses weight in
/// favour of \p Usual with its age; own sends since then are added. A report
/// that never changes counts for nothing.
/// \param Usual backlog of a server of this size when nothing is known.
/// \param OwnInFlight own attempts there, which are certain.
double expectedBacklog(const ReportMemory &Memory, double Usual,
                       unsigned OwnInFlight, const ReportAging &Aging,
                       model::TimePoint Now);

} // namespace cumingauge::policy
