#pragma once

#include "model/describe.h"

namespace cumingauge::emulator {

// Comparison and equality for every described value type of this namespace.
using boost::describe::operators::operator==;
using boost::describe::operators::operator!=;

} // namespace cumingauge::emulator
