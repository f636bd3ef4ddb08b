#include "adapters/refusallog.h"
#include "adapters/log.h"

namespace cumingauge::adapters {

namespace {

/// Pairs of address and reason that are remembered. When there are more, all
/// are forgotten, and refusals may be logged again before the interval has
/// passed.
constexpr std::size_t MaxRemembered = 1024;

} // namespace

bool RefusalLog::record(const std::string &Peer, model::ResultCode Reason,
                        model::TimePoint Now) {
  const PeerAndReason Key{Peer, Reason};
  const auto Known = LastLogged_.find(Key);
  if (Known != LastLogged_.end() && Now - Known->second < Interval)
    return false;
  if (LastLogged_.size() >= MaxRemembered)
    LastLogged_.clear();
  LastLogged_[Key] = Now;
  log(LogLevel::Warning, "peer refused",
      {{"peer", Peer},
       {"code", static_cast<int>(Reason)},
       {"reason", std::string(model::nameOf(Reason))}});
  return true;
}

} // namespace cumingauge::adapters
