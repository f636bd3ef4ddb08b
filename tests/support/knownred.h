#pragma once

#include <cppunit/TestResultCollector.h>

namespace cumingauge::test {

/// Returns whether each of the failed tests is in the list of known failures
/// that the environment variable CUMINGAUGE_KNOWN_RED names, and prints those
/// that are. Without the variable, or if the file cannot be read, none is.
bool areAllKnownRed(const CppUnit::TestResultCollector::TestFailures &Failures);

} // namespace cumingauge::test
