#include "codec/describedjson.h"
#include "model/change.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;

namespace {

model::Preset samplePreset() {
  model::Preset Out;
  Out.Name_ = "ordinary";
  Out.Routes_ = {{"search", "/catalogue/search", "catalogue", true,
                  model::Priority::Urgent, model::milliseconds(300), 4096}};
  return Out;
}

class ReadingAPreset : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadingAPreset);
  CPPUNIT_TEST(givesBackWhatWasWritten);
  CPPUNIT_TEST(namesEveryFaultWithItsPath);
  CPPUNIT_TEST_SUITE_END();

public:
  void givesBackWhatWasWritten() {
    const model::Change Written{"id-1", "ops", 7, 1000,
                                model::PutPreset{samplePreset()}};
    model::Change Read;
    model::Problems Found;
    codec::fromJson(codec::toJson(Written), "", Read, Found);
    CPPUNIT_ASSERT(Found.empty());
    CPPUNIT_ASSERT(Read == Written);
  }

  void namesEveryFaultWithItsPath() {
    codec::Json Document = codec::toJson(samplePreset());
    Document["colour"] = "red";
    Document["routes"][0]["deadlineMs"] = "soon";
    Document["queue"]["maxQueued"] = -1;
    Document["pick"] = "dice";
    model::Preset Read;
    model::Problems Found;
    codec::fromJson(Document, "", Read, Found);
    std::set<std::string> Paths;
    for (const model::Problem &Fault : Found)
      Paths.insert(Fault.Path_);
    const std::set<std::string> Expected = {
        "/colour", "/pick", "/queue/maxQueued", "/routes/0/deadlineMs"};
    CPPUNIT_ASSERT(Paths == Expected);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReadingAPreset);

} // namespace
