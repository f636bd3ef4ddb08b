#pragma once

#include <cppunit/TestResultCollector.h>

namespace cumingauge::test {

/// Returns whether each of the failed tests is in the list of known failures
/// that the environment variable CUMINGAUGE_KNOWN_RED names, and prints those
/// that are. Their names are also appended to the file that the environment
/// variable CUMINGAUGE_PASSED_OVER names. Without the first variable, or if the
/// list cannot be read, none is known.
bool areAllKnownRed(const CppUnit::TestResultCollector::TestFailures &Failures);

} // namespace cumingauge::test
