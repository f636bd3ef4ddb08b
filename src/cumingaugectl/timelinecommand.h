#pragma once

#include "context.h"
#include "model/event.h"
#include <cstdint>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Selects the events to show. Empty strings and 0 match all events.
struct TimelineFilter {
  std::string Vm_;     ///< entry VM that recorded the event
  std::string Server_; ///< backend server that it concerns
  std::string Change_; ///< id or version of a change
  std::string Kind_;   ///< as in JSON, such as "changeApplied"
  std::uint64_t SinceMs_ = 0;
};

/// Returns the events that match the filter, sorted by their hybrid timestamp
/// and then by process.
std::vector<model::Event> filterAndSort(std::vector<model::Event> Events,
                                        const TimelineFilter &Filter);

/// Parses a duration such as "90s", "15m" or "2h".
/// \returns the wall clock time in ms that lies this long before \p NowMs, at
/// least 0. Fails with a CtlError.
boost::leaf::result<std::uint64_t> parseSince(const std::string &Text,
                                              std::uint64_t NowMs);

/// `timeline`: prints the events of all entry processes. Writes an HTML page
/// when \p HtmlFile is not empty.
CommandResult showTimeline(const Context &Ctx, const TimelineFilter &Filter,
                           const std::string &HtmlFile);

} // namespace cumingauge::ctl
