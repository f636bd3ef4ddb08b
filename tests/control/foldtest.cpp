#include "control/fold.h"
#include "control/changelog.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;

namespace {

model::ResultCode resultOfCheck(const model::ChangeAction &Action,
                                const model::ConfigState &State,
                                bool Confirmed = false) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<model::ResultCode> {
        BOOST_LEAF_CHECK(checkAction(Action, State, Confirmed));
        return model::ResultCode::Ok;
      },
      [](const ChangeFault &Fault) { return Fault.Code_; },
      []() { return model::ResultCode::InternalError; });
}

model::Change entryOn(const model::ConfigState &State,
                      model::ChangeAction Action) {
  const std::uint64_t Version = State.Version_ + 1;
  return {"id-" + std::to_string(Version),
          "ops",
          Version,
          0,
          std::move(Action),
          State.LogDigest_};
}

/// Returns a log with two servers and two presets, the first preset in force.
ChangeLog sampleLog() {
  ChangeLog Log;
  const auto Add = [&](model::ChangeAction Action) {
    const auto Entry = entryOn(*Log.State_, std::move(Action));
    CPPUNIT_ASSERT(appendEntries(Log, {Entry}) == AppendResult::Applied);
  };
  Add(model::PutPreset{samples::preset("ordinary")});
  Add(model::PutPreset{samples::preset("peak")});
  Add(model::ChoosePreset{"ordinary"});
  Add(model::PutServers{
      {samples::server("s1"), samples::server("s2", "vm-2")}});
  return Log;
}

class FoldingTheChangeLog : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FoldingTheChangeLog);
  CPPUNIT_TEST(refusesInvalidActions);
  CPPUNIT_TEST(needsConfirmationToMarkTheLastServer);
  CPPUNIT_TEST(clearsALeavingMarkWhenTheVmChanges);
  CPPUNIT_TEST(evacuatesAZoneUntilItReturns);
  CPPUNIT_TEST(needsConfirmationToEvacuateTheOnlyZone);
  CPPUNIT_TEST(appliesOnlyTheNextVersion);
  CPPUNIT_TEST(detectsADivergedLog);
  CPPUNIT_TEST_SUITE_END();

public:
  void refusesInvalidActions() {
    const ChangeLog Log = sampleLog();
    const auto Refused = model::ResultCode::ChangeRefused;
    model::Preset Bad = samples::preset("bad");
    Bad.Retry_.Ratio_ = 2;
    CPPUNIT_ASSERT(resultOfCheck(model::ChoosePreset{"none"}, *Log.State_) ==
                   Refused);
    CPPUNIT_ASSERT(resultOfCheck(model::PutPreset{Bad}, *Log.State_) ==
                   Refused);
    CPPUNIT_ASSERT(resultOfCheck(model::MarkLeaving{"s9", "vm-1"},
                                 *Log.State_) == Refused);
    CPPUNIT_ASSERT(resultOfCheck(model::MarkLeaving{"s1", "vm-9"},
                                 *Log.State_) == Refused);
    CPPUNIT_ASSERT(resultOfCheck(model::ReturnServer{"s1", "vm-1"},
                                 *Log.State_) == Refused);
    CPPUNIT_ASSERT(resultOfCheck(model::PutServers{}, *Log.State_) == Refused);
  }

  void needsConfirmationToMarkTheLastServer() {
    ChangeLog Log = sampleLog();
    const model::MarkLeaving First{"s1", "vm-1"};
    CPPUNIT_ASSERT(resultOfCheck(First, *Log.State_) == model::ResultCode::Ok);
    appendEntries(Log, {entryOn(*Log.State_, First)});
    const model::MarkLeaving Last{"s2", "vm-2"};
    CPPUNIT_ASSERT(resultOfCheck(Last, *Log.State_) ==
                   model::ResultCode::ConfirmationNeeded);
    CPPUNIT_ASSERT(resultOfCheck(Last, *Log.State_, true) ==
                   model::ResultCode::Ok);
  }

  void clearsALeavingMarkWhenTheVmChanges() {
    ChangeLog Log = sampleLog();
    appendEntries(Log,
                  {entryOn(*Log.State_, model::MarkLeaving{"s1", "vm-1"})});
    CPPUNIT_ASSERT(isMarkedLeaving(*Log.State_, samples::server("s1")));
    const auto Replaced = samples::server("s1", "vm-3");
    appendEntries(Log, {entryOn(*Log.State_, model::PutServer{Replaced})});
    CPPUNIT_ASSERT(!isMarkedLeaving(*Log.State_, Replaced));
  }

  void evacuatesAZoneUntilItReturns() {
    ChangeLog Log = sampleLog();
    const std::string Zone = Log.State_->Servers_.at("s1").Zone_;
    const auto Refused = model::ResultCode::ChangeRefused;
    CPPUNIT_ASSERT(resultOfCheck(model::EvacuateZone{"nowhere"}, *Log.State_,
                                 true) == Refused);
    CPPUNIT_ASSERT(resultOfCheck(model::ReturnZone{Zone}, *Log.State_) ==
                   Refused);
    appendEntries(Log, {entryOn(*Log.State_, model::EvacuateZone{Zone})});
    CPPUNIT_ASSERT(isEvacuated(*Log.State_, Log.State_->Servers_.at("s1")));
    appendEntries(Log, {entryOn(*Log.State_, model::ReturnZone{Zone})});
    CPPUNIT_ASSERT(!isEvacuated(*Log.State_, Log.State_->Servers_.at("s1")));
  }

  void needsConfirmationToEvacuateTheOnlyZone() {
    ChangeLog Log = sampleLog();
    const std::string Zone = Log.State_->Servers_.at("s1").Zone_;
    CPPUNIT_ASSERT(resultOfCheck(model::EvacuateZone{Zone}, *Log.State_) ==
                   model::ResultCode::ConfirmationNeeded);
    model::BackendServer Elsewhere = samples::server("s3");
    Elsewhere.Zone_ = "another zone";
    appendEntries(Log, {entryOn(*Log.State_, model::PutServer{Elsewhere})});
    CPPUNIT_ASSERT(resultOfCheck(model::EvacuateZone{Zone}, *Log.State_) ==
                   model::ResultCode::Ok);
  }

  void appliesOnlyTheNextVersion() {
    ChangeLog Log = sampleLog();
    model::Change Later = entryOn(*Log.State_, model::ChoosePreset{"peak"});
    ++Later.Version_;
    CPPUNIT_ASSERT(appendEntries(Log, {Later}) == AppendResult::Gap);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Log.State_->Version_);
    CPPUNIT_ASSERT(appendEntries(Log, entriesAfter(Log, 0, 9)) ==
                   AppendResult::Known);
    model::ConfigState Older = *Log.State_;
    Older.Version_ = 3;
    CPPUNIT_ASSERT(!installState(Log, Older, {}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Log.State_->Version_);
  }

  void detectsADivergedLog() {
    ChangeLog Log = sampleLog();
    model::Change Other = *findEntry(Log, 3);
    Other.Action_ = model::ChoosePreset{"peak"};
    CPPUNIT_ASSERT(appendEntries(Log, {Other}) == AppendResult::Diverged);
    model::Change Next = entryOn(*Log.State_, model::ChoosePreset{"peak"});
    Next.BasisDigest_ ^= 1;
    CPPUNIT_ASSERT(appendEntries(Log, {Next}) == AppendResult::Diverged);
    CPPUNIT_ASSERT_EQUAL(std::string("ordinary"), Log.State_->PresetInForce_);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FoldingTheChangeLog);

} // namespace
