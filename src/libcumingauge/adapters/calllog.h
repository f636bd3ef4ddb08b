#pragma once

#include "model/attempttrace.h"
#include "model/resultcode.h"
#include "model/time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::adapters {

/// What the log tells of a call that has ended.
struct CallRecord {
  std::string Call_;
  std::string Route_;
  std::string Service_;
  model::ResultCode Code_ = model::ResultCode::Ok;
  model::milliseconds Took_{0};
  model::milliseconds Allowed_{0}; ///< from arrival to deadline
  bool Late_ = false;              ///< past the route's objective
  std::uint64_t ConfigVersion_ = 0;
  std::vector<model::AttemptTrace> Attempts_;
};

/// Writes one line for a call: for every one that was refused, failed, tried
/// again or late, and for a sample of the others. At most some lines a second;
/// the next line tells how many were left out. For one thread.
class CallLog {
public:
  void note(const CallRecord &Record, model::TimePoint Now);

  /// A request that did not become a call.
  void noteRefused(const std::string &Call, const std::string &Target,
                   model::ResultCode Code, model::TimePoint Now);

private:
  bool mayWrite(model::TimePoint Now);

  model::TimePoint Window_;
  unsigned InWindow_ = 0;
  std::uint64_t LeftOut_ = 0;
  std::uint64_t Ordinary_ = 0;
};

} // namespace cumingauge::adapters
