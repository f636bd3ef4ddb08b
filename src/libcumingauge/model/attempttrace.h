#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// One attempt of a call, with what the load balancer knew about the backend
/// server when it chose it. Written to the call log.
struct AttemptTrace {
  std::string Server_;
  std::string Vm_;
  std::uint32_t AtMs_ = 0;   ///< start, counted from the arrival of the call
  std::uint32_t TookMs_ = 0; ///< from start to end
  std::string End_;       ///< name of policy::AttemptEnd; empty while running
  unsigned Status_ = 0;   ///< HTTP status of the response; 0 without one
  unsigned InFlight_ = 0; ///< own attempts at the server, including this one
  double Backlog_ = 0;    ///< calls at the server by its last load report
  double Pace_ = 1;       ///< reported service time, relative to the usual one
  std::int64_t ReportAgeMs_ = -1; ///< age of that report; -1: no report yet
  std::uint16_t LocalPort_ = 0;   ///< of the connection; 0: none was opened
};
BOOST_DESCRIBE_STRUCT(AttemptTrace, (),
                      (Server_, Vm_, AtMs_, TookMs_, End_, Status_, InFlight_,
                       Backlog_, Pace_, ReportAgeMs_, LocalPort_))

} // namespace cumingauge::model
