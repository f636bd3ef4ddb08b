#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Text in columns as wide as their longest cell.
struct Table {
  std::vector<std::string> Heads_;
  std::vector<std::vector<std::string>> Rows_;
};

void print(std::ostream &Out, const Table &Value);

} // namespace cumingauge::ctl
