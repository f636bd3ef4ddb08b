#include "fakefleet.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace cumingauge;
using namespace cumingauge::fakes;
using model::milliseconds;
using model::seconds;

namespace {

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

/// Compares a session's trace with its golden file. UPDATE_GOLDEN=1 in the
/// environment writes the file instead.
void compareWithGolden(const FakeFleet &Fleet, const std::string &Name) {
  const std::string Path =
      std::string(TEST_DATA_DIR) + "/golden/" + Name + ".txt";
  std::string Trace;
  for (const std::string &Line : Fleet.Trace_)
    Trace += Line + "\n";
  if (std::getenv("UPDATE_GOLDEN"))
    std::ofstream(Path) << Trace;
  CPPUNIT_ASSERT_EQUAL(readFile(Path), Trace);
  CPPUNIT_ASSERT(Fleet.Violations_.empty());
}

class AWholeSession : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AWholeSession);
  CPPUNIT_TEST(ofTwoOperatorsWhoRace);
  CPPUNIT_TEST(ofARestartDuringAStoreOutage);
  CPPUNIT_TEST_SUITE_END();

public:
  void ofTwoOperatorsWhoRace() {
    FakeFleet Fleet(3, 51);
    start(Fleet);
    Fleet.Faults_.LoseAnswer_ = 60;
    Fleet.write(model::ChoosePreset{"peak"}, "ann");
    Fleet.write(model::ChoosePreset{"ordinary"}, "bob");
    Fleet.run(seconds(20));
    compareWithGolden(Fleet, "race");
  }

  void ofARestartDuringAStoreOutage() {
    FakeFleet Fleet(3, 52);
    start(Fleet);
    Fleet.write(model::ChoosePreset{"peak"}, "ann");
    Fleet.run(seconds(1));
    Fleet.IsStoreUp_ = false;
    Fleet.run(seconds(5));
    Fleet.kill(1);
    Fleet.run(seconds(10));
    Fleet.start(1);
    Fleet.run(seconds(10));
    Fleet.write(model::ChoosePreset{"ordinary"}, "bob");
    Fleet.run(seconds(20));
    Fleet.IsStoreUp_ = true;
    Fleet.run(seconds(20));
    Fleet.write(model::ChoosePreset{"ordinary"}, "bob");
    Fleet.run(seconds(2));
    compareWithGolden(Fleet, "restart-while-store-away");
  }

private:
  static void start(FakeFleet &Fleet) {
    for (unsigned I = 0; I < Fleet.Processes_.size(); ++I)
      Fleet.start(I);
    Fleet.run(seconds(5));
    for (const char *Name : {"ordinary", "peak"}) {
      Fleet.write(model::PutPreset{samples::preset(Name)}, "setup");
      Fleet.run(seconds(1));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AWholeSession);

} // namespace
