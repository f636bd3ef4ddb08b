#pragma once

#include "model/resultcode.h"
#include "model/time.h"
#include <map>
#include <string>
#include <utility>

namespace cumingauge::adapters {

/// Logs refused peers once per peer address, reason and interval.
class RefusalLog {
public:
  static constexpr model::seconds Interval{60};

  /// \returns whether the refusal was logged.
  bool note(const std::string &Peer, model::ResultCode Reason,
            model::TimePoint Now);

private:
  using Subject = std::pair<std::string, model::ResultCode>;
  std::map<Subject, model::TimePoint> LastNoted_;
};

} // namespace cumingauge::adapters
