#include "adapters/refusallog.h"
#include "adapters/log.h"

namespace cumingauge::adapters {

namespace {

/// Pairs of address and reason that are remembered. When there are more, all
/// are forgotten, and refusals may be logged again before the interval has
/// passed.
constexpr std::size_t MaxSubjects = 1024;

} // namespace

bool RefusalLog::record(const std::string &Peer, model::ResultCode Reason,
                        model::TimePoint Now) {
  const Subject Key{Peer, Reason};
  const auto Known = LastNoted_.find(Key);
  if (Known != LastNoted_.end() && Now - Known->second < Interval)
    return false;
  if (LastNoted_.size() >= MaxSubjects)
    LastNoted_.clear();
  LastNoted_[Key] = Now;
  log(LogLevel::Warning, "peer refused",
      {{"peer", Peer},
       {"code", static_cast<int>(Reason)},
       {"reason", std::string(model::nameOf(Reason))}});
  return true;
}

} // namespace cumingauge::adapters
