#include "changecommands.h"
#include "codec/describedjson.h"
#include "peer/localfleet.h"
#include "presetcommands.h"
#include "servercommands.h"
#include "statuscommand.h"
#include "zonecommands.h"
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

/// Runs commands of cumingaugectl, with JSON output, on a fleet or store of the
/// test.
class Operator {
public:
  Operator(const LocalFleet &Fleet, const std::string &Author)
      : Operator(Fleet.Store_, Author) {
    for (const std::uint16_t Port : Fleet.ports())
      Ctx_.Settings_.Peers_.push_back({"127.0.0.1", Port});
  }

  Operator(const testing::LocalStore &Store, const std::string &Author)
      : Ctx_{{}, true, Out_, Err_} {
    Ctx_.Settings_.Store_.Port_ = Store.port();
    Ctx_.Settings_.Key_ = testing::LocalFleetKey;
    Ctx_.Settings_.Author_ = Author;
  }

  /// Runs a command. Returns its code, also when it failed.
  ResultCode run(const std::function<ctl::CommandResult()> &Command) {
    Out_.str("");
    return boost::leaf::try_handle_all(
        Command, [](const ctl::CtlError &Error) { return Error.Code_; },
        [] { return ResultCode::InternalError; });
  }

  ResultCode choose(const std::string &Preset, bool Wait = false) {
    return run([&] { return ctl::choosePreset(Ctx_, Preset, {}, Wait); });
  }

  ResultCode leave(const std::string &Server, bool Wait = false) {
    return run([&] { return ctl::leaveServer(Ctx_, Server, {}, Wait); });
  }

  ResultCode status() {
    return run([&] { return ctl::showStatus(Ctx_); });
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
        run([&] { return ctl::initialize(Ctx_, File, {}); });
    std::remove(File.c_str());
    CPPUNIT_ASSERT(Code == ResultCode::Ok);
  }

  /// Returns the last line printed by the last command.
  Json lastOutput() const {
    std::istringstream Lines(Out_.str());
    std::string Line;
    Json Out;
    while (std::getline(Lines, Line))
      Out = Json::parse(Line);
    return Out;
  }

  std::ostringstream Out_;
  std::ostringstream Err_;
  ctl::Context Ctx_;
};

class AnOperator : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnOperator);
  CPPUNIT_TEST(putsAPresetInForceOnEveryVm);
  CPPUNIT_TEST(retiresAServer);
  CPPUNIT_TEST(mustConfirmToRetireTheLastServer);
  CPPUNIT_TEST(evacuatesAZoneOnEveryVm);
  CPPUNIT_TEST(seesVersionAndAuthorOfAConflict);
  CPPUNIT_TEST(getsUnknownOnlyWhenEveryAnswerIsLost);
  CPPUNIT_TEST(isRefusedWhileTheStoreIsDown);
  CPPUNIT_TEST(getsAChangeInForceThoughTheStoreFailsRightAfterwards);
  CPPUNIT_TEST(looksUpAChangeById);
  CPPUNIT_TEST(isRefusedWithAnotherKey);
  CPPUNIT_TEST_SUITE_END();

public:
  void putsAPresetInForceOnEveryVm() {
    LocalFleet Fleet(3);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    CPPUNIT_ASSERT(Anna.choose("peak", /*Wait=*/true) == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.status() == ResultCode::Ok);
    const Json Summary = Anna.lastOutput()["summary"];
    CPPUNIT_ASSERT_EQUAL(3, Summary["vmsAtNewest"].get<int>());
    CPPUNIT_ASSERT(Summary["presets"] == Json({"peak"}));
  }

  void retiresAServer() {
    LocalFleet Fleet(2);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    // One call is in flight on one VM and ends once the leaving mark has
    // reached that VM.
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

  void mustConfirmToRetireTheLastServer() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    CPPUNIT_ASSERT(Anna.leave("catalogue-1") == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.leave("catalogue-2") == ResultCode::ConfirmationNeeded);
    ctl::SubmitOptions Confirming;
    Confirming.Confirmed_ = true;
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::leaveServer(Anna.Ctx_, "catalogue-2", Confirming, false);
    }) == ResultCode::Ok);
  }

  void evacuatesAZoneOnEveryVm() {
    LocalFleet Fleet(2);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    const auto Evacuate = [&](bool Confirmed) {
      ctl::SubmitOptions Options;
      Options.Confirmed_ = Confirmed;
      return Anna.run([&] {
        return ctl::evacuateZone(Anna.Ctx_, "zone-a", Options, /*Wait=*/true);
      });
    };
    CPPUNIT_ASSERT(Evacuate(false) == ResultCode::ConfirmationNeeded);
    CPPUNIT_ASSERT(Evacuate(true) == ResultCode::Ok);
    for (const auto &Process : Fleet.Processes_)
      CPPUNIT_ASSERT_EQUAL(
          std::size_t(1),
          Process->view()->Config_->EvacuatedZones_.count("zone-a"));
    CPPUNIT_ASSERT(Anna.status() == ResultCode::Ok);
    CPPUNIT_ASSERT_EQUAL(
        2, Anna.lastOutput()["summary"]["evacuatedZones"]["zone-a"].get<int>());
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::returnZone(Anna.Ctx_, "zone-a", {});
    }) == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.run([&] { return ctl::listZones(Anna.Ctx_); }) ==
                   ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.lastOutput()["evacuatedZones"].empty());
  }

  void seesVersionAndAuthorOfAConflict() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Operator Bruno(Store, "bruno");
    Anna.deploy();
    CPPUNIT_ASSERT(Bruno.choose("peak") == ResultCode::Ok);
    const std::uint64_t Version = Bruno.lastOutput()["version"];
    ctl::SubmitOptions Outdated;
    Outdated.SeenVersion_ = Version - 1;
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::choosePreset(Anna.Ctx_, "ordinary", Outdated, false);
    }) == ResultCode::ChangeConflict);
    CPPUNIT_ASSERT_EQUAL(Version,
                         Anna.lastOutput()["version"].get<std::uint64_t>());
    CPPUNIT_ASSERT(Anna.lastOutput()["author"] == "bruno");
  }

  void getsUnknownOnlyWhenEveryAnswerIsLost() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    Store.injectFaults({{"loseAnswers", 1}});
    CPPUNIT_ASSERT(Anna.choose("peak") == ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.lastOutput()["outcome"] == "accepted");
    // Every answer of the store to this write is lost, so its outcome is
    // unknown.
    Anna.Ctx_.Settings_.ChangeTimeout_ = model::milliseconds(500);
    Store.injectFaults({{"loseAnswers", 1000000}});
    CPPUNIT_ASSERT(Anna.choose("ordinary") == ResultCode::ChangeOutcomeUnknown);
    const std::string Id = Anna.lastOutput()["changeId"];
    Store.injectFaults({{"loseAnswers", 0}});
    CPPUNIT_ASSERT(Anna.run([&] { return ctl::showChange(Anna.Ctx_, Id); }) ==
                   ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.lastOutput()["outcome"] == "accepted");
  }

  void isRefusedWhileTheStoreIsDown() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    Anna.Ctx_.Settings_.ChangeTimeout_ = model::milliseconds(300);
    Store.injectFaults({{"down", true}});
    CPPUNIT_ASSERT(Anna.choose("peak") == ResultCode::StoreUnavailable);
    CPPUNIT_ASSERT(Anna.lastOutput()["outcome"] == "refused");
  }

  void getsAChangeInForceThoughTheStoreFailsRightAfterwards() {
    LocalFleet Fleet(3);
    Operator Anna(Fleet, "anna");
    Anna.deploy();
    const std::uint64_t Before = Anna.lastOutput()["version"];
    CPPUNIT_ASSERT(Fleet.reaches(Before));
    const control::WriteOutcome Outcome = ctl::submit(
        Anna.Ctx_, model::MarkLeaving{"catalogue-1", "catalogue-1-vm"}, {});
    Fleet.Store_.injectFaults({{"down", true}});
    ctl::reportOutcome(Anna.Ctx_, Outcome);
    CPPUNIT_ASSERT(Fleet.reaches(Before + 1));
    CPPUNIT_ASSERT(Anna.status() == ResultCode::Ok);
  }

  void looksUpAChangeById() {
    const testing::LocalStore Store;
    Operator Anna(Store, "anna");
    Anna.deploy();
    const std::string Id = Anna.lastOutput()["changeId"];
    CPPUNIT_ASSERT(Anna.run([&] { return ctl::showChange(Anna.Ctx_, Id); }) ==
                   ResultCode::Ok);
    CPPUNIT_ASSERT(Anna.lastOutput()["change"]["author"] == "anna");
    CPPUNIT_ASSERT(Anna.run([&] {
      return ctl::showChange(Anna.Ctx_, "never-written");
    }) == ResultCode::ChangeNotFound);
  }

  void isRefusedWithAnotherKey() {
    LocalFleet Fleet(2);
    Operator Unauthorized(Fleet, "stranger");
    Unauthorized.Ctx_.Settings_.Key_ = "another key of some length";
    CPPUNIT_ASSERT(Unauthorized.status() == ResultCode::PeerKeyInvalid);
    CPPUNIT_ASSERT(Unauthorized.lastOutput()["processes"][0]["process"] == "");
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AnOperator);

} // namespace
