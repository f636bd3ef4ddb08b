#include "support/knownred.h"
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

namespace cumingauge::test {

namespace {

/// Start of an entry, which is followed by the name of the test.
const std::string EntryStart = "- ";

std::set<std::string> readKnownRed() {
  std::set<std::string> Out;
  const char *File = std::getenv("CUMINGAUGE_KNOWN_RED");
  if (!File)
    return Out;
  std::ifstream In(File);
  for (std::string Line; std::getline(In, Line);)
    if (Line.rfind(EntryStart, 0) == 0) {
      const std::size_t Begin = EntryStart.size();
      Out.insert(Line.substr(Begin, Line.find(' ', Begin) - Begin));
    }
  return Out;
}

/// Returns the name of a test without its namespace and fixture.
std::string shortName(const std::string &Name) {
  const std::size_t At = Name.rfind("::");
  return At == std::string::npos ? Name : Name.substr(At + 2);
}

} // namespace

bool areAllKnownRed(
    const CppUnit::TestResultCollector::TestFailures &Failures) {
  const std::set<std::string> Known = readKnownRed();
  bool Out = true;
  for (const CppUnit::TestFailure *Failure : Failures) {
    const std::string Name = shortName(Failure->failedTestName());
    if (Known.count(Name) == 0) {
      Out = false;
      continue;
    }
    std::cout << "known red: " << Name << "\n";
    if (const char *File = std::getenv("CUMINGAUGE_PASSED_OVER"))
      std::ofstream(File, std::ios::app) << Name << "\n";
  }
  return Out;
}

} // namespace cumingauge::test
