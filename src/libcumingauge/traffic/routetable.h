#pragma once

#include "model/route.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cumingauge::traffic {

/// The routes of a preset, found by host and the longest matching path prefix.
class RouteTable {
public:
  RouteTable() = default;
  /// \param Phase where the turns of shared routes begin, 0 to 1, so that
  /// processes that start together do not take the same turns.
  explicit RouteTable(const std::vector<model::Route> &Routes,
                      double Phase = 0);

  /// Null when no prefix matches.
  /// \param Host without a port; routes of any host are found too.
  std::shared_ptr<const model::Route> find(std::string_view Path,
                                           std::string_view Host = {}) const;

  /// The same for a call that is going to be sent. Of a route whose calls
  /// several services share, the one whose turn it is.
  std::shared_ptr<const model::Route> choose(std::string_view Host,
                                             std::string_view Path);

private:
  struct Entry {
    std::shared_ptr<const model::Route> Route_;
    /// One for each service, with the upper end of its part of 0 to 1.
    std::vector<std::pair<double, std::shared_ptr<const model::Route>>> Parts_;
    double Turn_ = 0;
  };
  using ByPrefix = std::map<std::string, Entry, std::less<>>;

  static const Entry *findIn(const ByPrefix &Routes, std::string_view Path);
  const Entry *findEntry(std::string_view Host, std::string_view Path) const;

  std::map<std::string, ByPrefix, std::less<>> ByHost_;
};

} // namespace cumingauge::traffic
