#include "adapters/log.h"
#include "support/knownred.h"
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <iostream>

/// Runs all registered test suites, or the test whose path is the first
/// argument. The environment variable RC_PARAMS overrides the fixed seed of the
/// property tests. With CUMINGAUGE_KNOWN_RED, the path of a list of tests that
/// fail for a known fault, failures of just these tests are passed over and
/// printed.
int main(int Argc, char **Argv) {
  setenv("RC_PARAMS", "seed=20261204", /*overwrite=*/0);
  using namespace cumingauge::adapters;
  using cumingauge::test::areAllKnownRed;
  startLog({LogLevel::Error, LogFormat::Text}, "test");
  CppUnit::TestResult Result;
  CppUnit::TestResultCollector Collector;
  CppUnit::BriefTestProgressListener Progress;
  Result.addListener(&Collector);
  Result.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Result, Argc > 1 ? Argv[1] : "");
  CppUnit::CompilerOutputter(&Collector, std::cerr).write();
  const bool Passed =
      Collector.wasSuccessful() || areAllKnownRed(Collector.failures());
  return Passed && Collector.runTests() > 0 ? 0 : 1;
}
