#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cumingauge::ctl {

/// Table of text cells.
struct Table {
  std::vector<std::string> Headers_;
  std::vector<std::vector<std::string>> Rows_;
};

/// Prints the table with each column as wide as its longest cell.
void print(std::ostream &Out, const Table &Value);

} // namespace cumingauge::ctl
