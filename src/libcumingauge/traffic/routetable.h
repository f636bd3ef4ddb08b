#pragma once

#include "model/route.h"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cumingauge::traffic {

/// The routes of a preset, found by the longest matching path prefix.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(const std::vector<model::Route> &Routes);

  /// Null when no prefix matches.
  std::shared_ptr<const model::Route> find(std::string_view Path) const;

private:
  std::map<std::string, std::shared_ptr<const model::Route>, std::less<>>
      ByPrefix_;
};

} // namespace cumingauge::traffic
