#pragma once

#include "context.h"
#include "model/event.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Which events are shown. Empty texts and 0 take all.
struct TimelineFilter {
  std::string Vm_;     ///< entry VM that recorded the event
  std::string Server_; ///< backend server that it concerns
  std::string Change_; ///< id or version of a change
  std::string Kind_;   ///< as in JSON, such as "changeApplied"
  std::uint64_t SinceMs_ = 0;
};

/// Filters events and puts them into their order over all processes.
std::vector<model::Event> arrange(std::vector<model::Event> Events,
                                  const TimelineFilter &Filter);

/// Reads "90s", "15m" or "2h" as the wall time so long ago. Fails with a
/// CtlError.
boost::leaf::result<std::uint64_t> sinceTime(const std::string &Text,
                                             std::uint64_t NowMs);

/// `timeline`: events of all entry processes. With \p HtmlFile, a page.
CommandResult showTimeline(const Context &With, const TimelineFilter &Filter,
                           const std::string &HtmlFile);

} // namespace cumingauge::ctl
