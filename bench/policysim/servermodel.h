#pragma once

#include "model/loadreport.h"
#include "policysim/scenario.h"
#include <deque>

namespace cumingauge::bench {

/// A modelled backend server: slots, a FIFO queue and a speed.
struct ServerModel {
  std::string Name_;
  unsigned Generation_ = 0; ///< counts the VMs that have had the name
  unsigned Service_ = 0;
  unsigned Zone_ = 0;
  unsigned Slots_ = 3;
  unsigned Running_ = 0;
  std::deque<unsigned> Queue_; ///< waiting attempts
  double Speed_ = 1;
  bool Failing_ = false;
  SimTime FailingUntil_ = 0; ///< after a crash
  bool Draining_ = false;
  bool Stuck_ = false;
  SimTime ColdUntil_ = 0;
  std::deque<SimTime> ColdCalls_; ///< arrivals of the last second while cold
  /// Load figures by time, oldest first, for reports that lag.
  std::deque<std::pair<SimTime, unsigned>> History_;
};

/// Adds the current load to the history and drops entries that are too old.
inline void recordLoad(ServerModel &Server, SimTime Now) {
  constexpr SimTime Kept = 600 * Ms;
  if (Server.Stuck_)
    return;
  Server.History_.push_back(
      {Now, Server.Running_ + static_cast<unsigned>(Server.Queue_.size())});
  while (Server.History_.size() > 1 && Server.History_[1].first < Now - Kept)
    Server.History_.pop_front();
}

/// Returns the server's load report as of \p Lag before \p Now.
/// \param ReportsAge whether the report says how old it is.
inline model::LoadReport reportOf(const ServerModel &Server, SimTime Now,
                                  SimTime Lag, bool ReportsAge) {
  unsigned Load = 0;
  if (Server.Stuck_ && !Server.History_.empty())
    Load = Server.History_.back().second;
  else
    for (auto Entry = Server.History_.rbegin(); Entry != Server.History_.rend();
         ++Entry)
      if (Entry->first <= Now - Lag) {
        Load = Entry->second;
        break;
      }
  model::LoadReport Report;
  Report.Slots_ = Server.Slots_;
  Report.InFlight_ = std::min(Load, Server.Slots_);
  Report.Queued_ = Load - Report.InFlight_;
  Report.Age_ = model::milliseconds(ReportsAge ? Lag / Ms : 0);
  Report.Draining_ = Server.Draining_;
  Report.Cold_ = Now < Server.ColdUntil_;
  return Report;
}

} // namespace cumingauge::bench
