#pragma once

#include "model/describe.h"
#include <cstdint>
#include <string>

namespace cumingauge::model {

/// One attempt of a call and what was known of its server when it was chosen,
/// for the log.
struct AttemptTrace {
  std::string Server_;
  std::string Vm_;
  std::uint32_t AtMs_ = 0;   ///< after the arrival of the call
  std::uint32_t TookMs_ = 0; ///< until it ended
  std::string End_;          ///< name of policy::AttemptEnd; empty: none yet
  unsigned Status_ = 0;      ///< of the answer, 0 without one
  unsigned InFlight_ = 0;    ///< own attempts there, this one included
  double Backlog_ = 0;       ///< calls there by its last report
  double Pace_ = 1;          ///< time that work takes, of the usual
  std::int64_t ReportAgeMs_ = -1; ///< of that report; -1: never heard of
};
BOOST_DESCRIBE_STRUCT(AttemptTrace, (),
                      (Server_, Vm_, AtMs_, TookMs_, End_, Status_, InFlight_,
                       Backlog_, Pace_, ReportAgeMs_))

} // namespace cumingauge::model
