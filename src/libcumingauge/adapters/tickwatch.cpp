#include "adapters/tickwatch.h"
#include "adapters/log.h"
#include <algorithm>
#include <boost/core/demangle.hpp>
#include <ctime>
#include <utility>

namespace cumingauge::adapters {

namespace {

constexpr model::milliseconds LoggedLateness{200};
constexpr model::seconds LineInterval{1};

auto toMs(model::Duration Value) {
  return std::chrono::duration_cast<model::milliseconds>(Value).count();
}

/// Returns the CPU time that the calling thread has used.
model::Duration threadCpuTime() {
  timespec Used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return std::chrono::duration_cast<model::Duration>(
      std::chrono::seconds(Used.tv_sec) +
      std::chrono::nanoseconds(Used.tv_nsec));
}

} // namespace

void TickWatch::recordTick(model::TimePoint Due, model::TimePoint Now) {
  Late_ = std::max(Now - Due, model::Duration(0));
  const model::Duration CpuBefore = std::exchange(CpuTime_, threadCpuTime());
  if (Late_ < LoggedLateness)
    return;
  if (Now < NextLine_) {
    ++LeftOut_;
    return;
  }
  NextLine_ = Now + LineInterval;
  const std::string Input =
      LongestStepInput_ ? boost::core::demangle(LongestStepInput_->name()) : "";
  log(LogLevel::Warning, "thread was held up",
      {{"thread", Thread_},
       {"lateMs", toMs(Late_)},
       {"cpuMs", toMs(CpuTime_ - CpuBefore)},
       {"longestStepMs", toMs(std::exchange(LongestStep_, model::Duration(0)))},
       {"longestStep", Input},
       {"leftOut", std::exchange(LeftOut_, 0)}});
  LongestStepInput_ = nullptr;
}

void TickWatch::recordStep(const std::type_info &Input, model::Duration Took) {
  if (Took <= LongestStep_)
    return;
  LongestStep_ = Took;
  LongestStepInput_ = &Input;
}

} // namespace cumingauge::adapters
