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

enum class Colour { DarkRed, Green };
BOOST_DESCRIBE_ENUM(Colour, DarkRed, Green)
CUMINGAUGE_OUTER_NAMES(Colour, {"DarkRed", "crimson"})

struct Inner {
  Colour Colour_ = Colour::Green;
  model::milliseconds ProbeTimeout_{4};
  model::milliseconds ReportMaxAge_{20};
};
BOOST_DESCRIBE_STRUCT(Inner, (), (Colour_, ProbeTimeout_, ReportMaxAge_))
CUMINGAUGE_OUTER_NAMES(Inner, {"Colour_", "tint"},
                       {"ProbeTimeout_", "lookWaitMs"})

struct Outer : Inner {
  std::vector<Inner> Parts_;
  std::optional<unsigned> Width_;
};
BOOST_DESCRIBE_STRUCT(Outer, (Inner), (Parts_, Width_))
CUMINGAUGE_OUTER_NAMES(Outer, {"Width_", "breadth"})

static_assert(!model::isDescribed<Outer>("Colour_") &&
                  !model::isDescribed<Colour>("crimson"),
              "outer names are checked against the described names");

Outer sampleOuter() {
  Outer Out;
  Out.Colour_ = Colour::DarkRed;
  Out.Parts_ = {{Colour::DarkRed, model::milliseconds(7)}, {}};
  Out.Width_ = 3;
  return Out;
}

const codec::Json OuterDocument = codec::Json::parse(R"({
  "tint": "crimson", "lookWaitMs": 4, "reportMaxAgeMs": 20,
  "parts": [{"tint": "crimson", "lookWaitMs": 7, "reportMaxAgeMs": 20},
            {"tint": "green", "lookWaitMs": 4, "reportMaxAgeMs": 20}],
  "breadth": 3})");

class NamesGivenForJson : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NamesGivenForJson);
  CPPUNIT_TEST(areWrittenInPlaceOfTheDerivedNames);
  CPPUNIT_TEST(areReadFromJsonAndCbor);
  CPPUNIT_TEST(replaceTheDerivedNamesWhenReading);
  CPPUNIT_TEST(standInThePathsOfProblems);
  CPPUNIT_TEST_SUITE_END();

public:
  void areWrittenInPlaceOfTheDerivedNames() {
    CPPUNIT_ASSERT_EQUAL(OuterDocument.dump(),
                         codec::toJson(sampleOuter()).dump());
  }

  void areReadFromJsonAndCbor() {
    const codec::Json Written = codec::toJson(sampleOuter());
    const codec::Json FromCbor =
        codec::Json::from_cbor(codec::Json::to_cbor(Written));
    for (const codec::Json &Document :
         {codec::Json::parse(Written.dump()), FromCbor}) {
      Outer Read;
      CPPUNIT_ASSERT(problems(Document, Read).empty());
      CPPUNIT_ASSERT(Read.Colour_ == Colour::DarkRed);
      CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Parts_.size());
      CPPUNIT_ASSERT(Read.Parts_[0].Colour_ == Colour::DarkRed);
      CPPUNIT_ASSERT(Read.Parts_[0].ProbeTimeout_ == model::milliseconds(7));
      CPPUNIT_ASSERT(Read.Parts_[1].Colour_ == Colour::Green);
      CPPUNIT_ASSERT(Read.Width_ == 3U);
    }
  }

  void replaceTheDerivedNamesWhenReading() {
    Outer Read;
    const model::Problems Found =
        problems(codec::Json::parse(R"({"colour": "green", "probeTimeoutMs": 7,
                               "lookWait": 7, "width": 3,
                               "parts": [{"tint": "darkRed"}]})"),
                 Read);
    const std::set<std::string> Expected = {
        "/colour is not a known key", "/lookWait is not a known key",
        "/parts/0/tint must be one of crimson, green",
        "/probeTimeoutMs is not a known key", "/width is not a known key"};
    CPPUNIT_ASSERT(texts(Found) == Expected);
  }

  void standInThePathsOfProblems() {
    Outer Read;
    const model::Problems Found =
        problems(codec::Json::parse(R"({"tint": 1, "breadth": -1,
                                        "parts": [{"lookWaitMs": "soon"}]})"),
                 Read);
    const std::set<std::string> Expected = {
        "/breadth must be between 0 and 4294967295",
        "/parts/0/lookWaitMs must be a whole number",
        "/tint must be one of crimson, green"};
    CPPUNIT_ASSERT(texts(Found) == Expected);
  }

private:
  static model::Problems problems(const codec::Json &Document, Outer &Read) {
    model::Problems Found;
    codec::fromJson(Document, "", Read, Found);
    return Found;
  }

  static std::set<std::string> texts(const model::Problems &Found) {
    std::set<std::string> Out;
    for (const model::Problem &Fault : Found)
      Out.insert(Fault.Path_ + " " + Fault.Message_);
    return Out;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(NamesGivenForJson);

class ReadingAPreset : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadingAPreset);
  CPPUNIT_TEST(readsWhatWasWritten);
  CPPUNIT_TEST(reportsEveryProblemWithItsPath);
  CPPUNIT_TEST_SUITE_END();

public:
  void readsWhatWasWritten() {
    const model::Change Written{"id-1", "ops", 7, 1000,
                                model::PutPreset{samplePreset()}};
    model::Change Read;
    model::Problems Found;
    codec::fromJson(codec::toJson(Written), "", Read, Found);
    CPPUNIT_ASSERT(Found.empty());
    CPPUNIT_ASSERT(Read == Written);
  }

  void reportsEveryProblemWithItsPath() {
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
