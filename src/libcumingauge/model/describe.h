#pragma once

#include <boost/describe.hpp>

namespace cumingauge::model {

// Comparison and equality for every described value type of this namespace.
using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;
using boost::describe::operators::operator<;

} // namespace cumingauge::model
