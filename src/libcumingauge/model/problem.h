#pragma once

#include "model/describe.h"
#include <string>
#include <vector>

namespace cumingauge::model {

/// One problem found in a document: where it is and what is wrong.
struct Problem {
  std::string Path_; ///< JSON path such as "/routes/2/deadlineMs"
  std::string Message_;
};
BOOST_DESCRIBE_STRUCT(Problem, (), (Path_, Message_))

using Problems = std::vector<Problem>;

} // namespace cumingauge::model
