#pragma once

#include "model/time.h"
#include <string>
#include <typeinfo>

namespace cumingauge::adapters {

/// Watches whether the ticks of a thread run in time, and logs those that are
/// late. To be used on that thread only.
class TickWatch {
public:
  /// \param Thread name of the thread in the log.
  explicit TickWatch(std::string Thread) : Thread_(std::move(Thread)) {}

  /// Records that a tick which was due runs now.
  void recordTick(model::TimePoint Due, model::TimePoint Now);

  /// Records how long one step of the thread took.
  void recordStep(const std::type_info &Input, model::Duration Took);

  /// Returns how late the latest tick was.
  model::Duration lateness() const { return Late_; }

private:
  const std::string Thread_;
  model::Duration Late_{0};
  model::TimePoint NextLine_;
  unsigned LeftOut_ = 0;           ///< late ticks since the last line
  model::Duration LongestStep_{0}; ///< since the last line
  const std::type_info *LongestStepInput_ = nullptr;
  model::Duration CpuTime_{0}; ///< of the thread, at the latest tick
};

} // namespace cumingauge::adapters
