#pragma once

#include "model/describe.h"
#include <cstdint>

namespace cumingauge::control {

using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;
using boost::describe::operators::operator<;
using boost::describe::operators::operator>;
using boost::describe::operators::operator<=;
using boost::describe::operators::operator>=;

/// Position in the history of a directory. The directory may come back from a
/// copy: its era then rises, and it gives out its revisions again. So positions
/// are ordered by era first.
struct DirectoryRevision {
  std::uint64_t Era_ = 0; ///< 0: unknown
  std::uint64_t Number_ = 0;
};
BOOST_DESCRIBE_STRUCT(DirectoryRevision, (), (Era_, Number_))

} // namespace cumingauge::control
