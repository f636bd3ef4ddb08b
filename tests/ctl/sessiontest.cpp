#include "changecommands.h"
#include "codec/describedjson.h"
#include "peer/localfleet.h"
#include "presetcommands.h"
#include "servercommands.h"
#include "statuscommand.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace cumingauge;
using codec::Json;
using model::ResultCode;
using testing::LocalFleet;

namespace {

/// An operator at work on a fleet of this test.
class Operator {
public:
  Operator(const LocalFleet &Fleet, const std::string &Author)
      : Operator(Fleet.Store_, Author) {
    for (const std::uint16_t Port : Fleet.ports())
      With_.Settings_.Peers_.push_back({"127.0.0.1", Port});
  }

  Operator(const testing::LocalStore &Store, const std::string &Author)
      : With_{{}, true, Out_, Notes_} {
    With_.Settings_.Store_.Port_ = Store.port();
    With_.Settings_.Key_ = testing::LocalFleetKey;
    With_.Settings_.Author_ = Author;
  }

  /// Runs a command; its code, also when it failed.
  ResultCode run(const std::function<ctl::CommandResult()> &Command) {
    Out_.str("");
    return boost::leaf::try_handle_all(
        Command, [](const ctl::CtlError &Error) { return Error.Code_; },
        [] { return ResultCode::InternalError; });
  }

  ResultCode choose(const std::string &Preset, bool Wait = false) {
    return run([&] { return ctl::choosePreset(With_, Preset, {}, Wait); });
  }

  ResultCode leave(const std::string &Server, bool Wait = false) {
    return run([&] { return ctl::leaveServer(With_, Server, {}, Wait); });
  }

  ResultCode status() {
    return run([&] { return ctl::showStatus(With_); });
  }

  /// Writes two presets and two servers and chooses the first preset.
  void deploy() {
    Json Document = {{"choose", "ordinary"}};
    for (const char *Name : {"ordinary", "peak"}) {
      model::Preset Preset;
      Preset.Name_ = Name;
      Preset.Routes_ = {{"search", "/catalogue/", "catalogue"}};
      Document["presets"].push_back(codec::toJson(Preset));
    }
    for (const char *Name : {"catalogue-1", "catalogue-2"})
      Document["servers"].push_back(codec::toJson(
          model::BackendServer{Name, std::string(Name) + "-vm", "catalogue",
                               "zone-a", "127.0.0.1", 9000, 3}));
    const std::string File =
        (std::filesystem::temp_directory_path() /
         ("cumingauge-deployment-" + std::to_string(getpid()) + ".json"))
            .string();
    std::ofstream(File) << Document;
    const ResultCode Code =
        run([&] { return ctl::initialize(With_, File, {}); });
    std::remove(File.c_str());
    CPPUNIT_ASSERT(Code == ResultCode::Ok);
  }

  /// The last line that the last command printed.
  Json said() const {
    std::istringstream Lines(Out_.str());
    std::string Line;
    Json Out;
    while (std::getline(Lines, Line))
      Out = Json::parse(Line);
    return Out;
  }

  std::ostringstream Out_;
  std::ostringstream Notes_;
  ctl::Context With_;
};

class AnOperator : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnOperator);
  CPPUNIT_TEST(putsAPresetInForceOnEveryVm);
  CPPUNIT_TEST(retiresAServer);
  CPPUNIT_TEST(isWarnedOfTheLastServer);
  CPPUNIT_TEST(isToldOfAConflict);
  CPPUNIT_TEST(isNotToldAGuessWhenAnAnswerIsLost);
  CPPUNIT_TEST(isToldThatNothingWasWrittenWhileTheStoreIsAway);
  CPPUNIT_TEST(seesItsChangeInForceThoughTheStoreFailsAtOnce);
  CPPUNIT_TEST(learnsWhatBecameOfAChange);
  CPPUNIT_TEST(isRefusedWithAnotherKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void putsAPresetInForceOnEveryVm() {
    LocalFleet Fleet(3);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    CPPUNIT_ASSERT(Anna.choose("peak", /*Wait=*/true) == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.status() == ResultCode::Ok);
    const Json Sum = Anna.said()["summary"];
    CPPUNIT_ASSERT_EQUAL(3, Sum["vmsAtNewest"].get<int>());
    CPPUNIT_ASSERT(Sum["presets"] == Json({"peak"}));
  }

  void retiresAServer() {
    LocalFleet Fleet(2);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    // One call is in flight on one VM and ends after the mark is seen.
    Fleet.Processes_[0]->setActivity(
        {{"catalogue-1", "catalogue-1-vm", 1, 1, true}});
    std::thread Ending([&] {
      testing::waitFor([&] {
        const auto View = Fleet.Processes_[0]->view();
        return View && View->LeavingServers_.count("catalogue-1") > 0;
      });
      Fleet.Processes_[0]->setActivity(
          {{"catalogue-1", "catalogue-1-vm", 0, 0, true}});
    });
    const ResultCode Code = Anna.leave("catalogue-1", /*Wait=*/true);
    Ending.join();
    CPPUNIT_ASSERT(Code == ResultCode::Ok);
    for (const auto &Process : Fleet.Processes_)
      CPPUNIT_ASSERT_EQUAL(
          std::size_t(1),
          Process->view()->LeavingServers_.count("catalogue-1"));
  }

  void isWarnedOfTheLastServer() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    CPPUNIT_ASSERT(Anna.leave("catalogue-1") == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.leave("catalogue-2") == ResultCode::ConfirmationNeeded);
    ctl::SubmitOptions Insisting;
    Insisting.Confirmed_ = true;
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::leaveServer(Anna.With_, "catalogue-2", Insisting, false);
    }) == ResultCode::Ok);
  }

  void isToldOfAConflict() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Operator Bruno(Store, "bruno");
    Anna.deploy();
    CPPUNIT_ASSERT(Bruno.choose("peak") == ResultCode::Ok);
    const std::uint64_t Version = Bruno.said()["version"];
    ctl::SubmitOptions Earlier;
    Earlier.SeenVersion_ = Version - 1;
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::choosePreset(Anna.With_, "ordinary", Earlier, false);
    }) == ResultCode::ChangeConflict);
    CPPUNIT_ASSERT_EQUAL(Version, Anna.said()["version"].get<std::uint64_t>());
    CPPUNIT_ASSERT(Anna.said()["author"] == "bruno");
  }

  void isNotToldAGuessWhenAnAnswerIsLost() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    Store.injectFaults({{"loseAnswers", 1}});
    CPPUNIT_ASSERT(Anna.choose("peak") == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.said()["outcome"] == "accepted");
    // Every answer of this write is lost: nothing definite can be said.
    Anna.With_.Settings_.ChangeTimeout_ = model::milliseconds(500);
    Store.injectFaults({{"loseAnswers", 1000000}});
    CPPUNIT_ASSERT(Anna.choose("ordinary") == ResultCode::ChangeOutcomeUnknown);
    const std::string Id = Anna.said()["changeId"];
    Store.injectFaults({{"loseAnswers", 0}});
    CPPUNIT_ASSERT(Anna.run([&] { return ctl::showChange(Anna.With_, Id); }) ==
                   ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.said()["outcome"] == "accepted");
  }

  void isToldThatNothingWasWrittenWhileTheStoreIsAway() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    Anna.With_.Settings_.ChangeTimeout_ = model::milliseconds(300);
    Store.injectFaults({{"down", true}});
    CPPUNIT_ASSERT(Anna.choose("peak") == ResultCode::StoreUnavailable);
    CPPUNIT_ASSERT(Anna.said()["outcome"] == "refused");
  }

  void seesItsChangeInForceThoughTheStoreFailsAtOnce() {
    LocalFleet Fleet(3);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    const std::uint64_t Before = Anna.said()["version"];
    CPPUNIT_ASSERT(Fleet.reaches(Before));
    const control::WriteOutcome Outcome = ctl::submit(
        Anna.With_, model::MarkLeaving{"catalogue-1", "catalogue-1-vm"}, {});
    Fleet.Store_.injectFaults({{"down", true}});
    ctl::announce(Anna.With_, Outcome);
    CPPUNIT_ASSERT(Fleet.reaches(Before + 1));
    CPPUNIT_ASSERT(Anna.status() == ResultCode::Ok);
  }

  void learnsWhatBecameOfAChange() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    const std::string Id = Anna.said()["changeId"];
    CPPUNIT_ASSERT(Anna.run([&] { return ctl::showChange(Anna.With_, Id); }) ==
                   ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.said()["change"]["author"] == "anna");
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::showChange(Anna.With_, "never-written");
    }) == ResultCode::ChangeNotFound);
  }

  void isRefusedWithAnotherKey() {
    LocalFleet Fleet(2);
    Operator Stranger(Fleet, "stranger");
    Stranger.With_.Settings_.Key_ = "another key of some length";
    CPPUNIT_ASSERT(Stranger.status() == ResultCode::PeerKeyInvalid);
    CPPUNIT_ASSERT(Stranger.said()["processes"][0]["process"] == "");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnOperator);

} // namespace
