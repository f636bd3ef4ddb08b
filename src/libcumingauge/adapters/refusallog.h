#pragma once

#include "model/resultcode.h"
#include "model/time.h"
#include <map>
#include <string>
#include <utility>

namespace cumingauge::adapters {

/// Logs refused peers, at most once per peer address and reason in an interval.
class RefusalLog {
public:
  static constexpr model::seconds Interval{60};

  /// Logs a refusal unless the same one was logged within the interval.
  /// \returns whether the refusal was logged.
  bool record(const std::string &Peer, model::ResultCode Reason,
              model::TimePoint Now);

private:
  /// Peer address and reason.
  using PeerAndReason = std::pair<std::string, model::ResultCode>;
  std::map<PeerAndReason, model::TimePoint> LastLogged_;
};

} // namespace cumingauge::adapters
