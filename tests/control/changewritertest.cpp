#include "control/changewriter.h"
#include "control/changelookup.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include "fakestore.h"
#include "samples.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using namespace cumingauge::control;
using model::ResultCode;
using ports::StoreOperation;

namespace {

/// Runs a writer request by request under the control of a test.
struct SteppedWriter {
  explicit SteppedWriter(fakes::FakeStore &Store) : Store_(Store) {
    WriteRequest Request;
    Request.Id_ = "mine";
    Request.Author_ = "ann";
    Request.Action_ = model::PutPreset{samples::preset("ordinary")};
    Writer_ = startWrite(Request, WriteLimits(), Now_);
  }

  ports::StoreRequest next() { return *nextStep(Writer_, Now_).Request_; }

  /// Sends requests to the store until this operation is next.
  void runUntil(StoreOperation Operation) {
    while (next().Operation_ != Operation)
      handle(Store_.execute(next()));
  }

  void handle(const ports::StoreResponse &Answer) {
    handleResponse(Writer_, Answer, Now_);
  }

  void handleFailure(ResultCode Code) {
    ports::StoreResponse Answer;
    Answer.Code_ = Code;
    handle(Answer);
  }

  WriteOutcome finish() {
    while (!nextStep(Writer_, Now_).Outcome_)
      handle(Store_.execute(next()));
    return *nextStep(Writer_, Now_).Outcome_;
  }

  fakes::FakeStore &Store_;
  model::TimePoint Now_{std::chrono::hours(1)};
  ChangeWriter Writer_;
};

/// Writes another operator's entry at the first version.
void occupyFirstVersion(fakes::FakeStore &Store) {
  model::Change Other{
      "other", "bob", 1, 0, model::PutPreset{samples::preset("peak")}, 0};
  ports::StoreRequest Request;
  Request.Operation_ = StoreOperation::CreateIfAbsent;
  Request.Key_ = entryKey(1);
  Request.Value_ = encodeChange(Other);
  Store.execute(Request);
}

class WritingAChange : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WritingAChange);
  CPPUNIT_TEST(repeatsTheSameCreateAfterALostResponse);
  CPPUNIT_TEST(repeatsItsVersionWhileTheOutcomeIsUnknown);
  CPPUNIT_TEST(triesTheNextVersionOnceItsVersionIsTaken);
  CPPUNIT_TEST(reportsUnknownWhenTheStoreStaysUnreachable);
  CPPUNIT_TEST(reportsRefusedWhenNoAttemptCanHaveSucceeded);
  CPPUNIT_TEST(reportsUnknownOnASuccessAfterTheTimeLimit);
  CPPUNIT_TEST(isFoundByItsIdAfterwards);
  CPPUNIT_TEST_SUITE_END();

public:
  void repeatsTheSameCreateAfterALostResponse() {
    SteppedWriter Writer(Store_);
    Writer.runUntil(StoreOperation::CreateIfAbsent);
    const ports::StoreRequest First = Writer.next();
    Store_.execute(First);
    Writer.handleFailure(ResultCode::StoreTimeout);
    CPPUNIT_ASSERT(Writer.next().Key_ == First.Key_);
    CPPUNIT_ASSERT(Writer.next().Value_ == First.Value_);
    const auto Outcome = Writer.finish();
    CPPUNIT_ASSERT(std::holds_alternative<WriteAccepted>(Outcome));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Store_.lastVersion());
  }

  void repeatsItsVersionWhileTheOutcomeIsUnknown() {
    SteppedWriter Writer(Store_);
    Writer.runUntil(StoreOperation::CreateIfAbsent);
    const std::string Key = Writer.next().Key_;
    for (int I = 0; I < 5; ++I) {
      Writer.handleFailure(ResultCode::StoreTimeout);
      CPPUNIT_ASSERT(Writer.next().Key_ == Key);
      CPPUNIT_ASSERT(Writer.next().Operation_ ==
                     StoreOperation::CreateIfAbsent);
    }
  }

  void triesTheNextVersionOnceItsVersionIsTaken() {
    SteppedWriter Writer(Store_);
    Writer.runUntil(StoreOperation::CreateIfAbsent);
    const ports::StoreRequest Late = Writer.next();
    Writer.handleFailure(ResultCode::StoreTimeout);
    occupyFirstVersion(Store_);
    const auto Outcome = Writer.finish();
    Store_.execute(Late); // must not take effect any more
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2),
                         std::get<WriteAccepted>(Outcome).Change_.Version_);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Store_.Committed_[1].Id_);
  }

  void reportsUnknownWhenTheStoreStaysUnreachable() {
    SteppedWriter Writer(Store_);
    Writer.runUntil(StoreOperation::CreateIfAbsent);
    Writer.handleFailure(ResultCode::StoreTimeout);
    for (int I = 0; I < 5; ++I)
      Writer.handleFailure(ResultCode::StoreUnavailable);
    Writer.Now_ += std::chrono::seconds(15);
    const auto Outcome = Writer.finish();
    CPPUNIT_ASSERT_EQUAL(std::string("mine"),
                         std::get<WriteUnknown>(Outcome).Id_);
  }

  void reportsRefusedWhenNoAttemptCanHaveSucceeded() {
    SteppedWriter Writer(Store_);
    Writer.runUntil(StoreOperation::CreateIfAbsent);
    Writer.handleFailure(ResultCode::StoreUnavailable);
    Writer.Now_ += std::chrono::seconds(15);
    CPPUNIT_ASSERT(codeOf(Writer.finish()) == ResultCode::StoreUnavailable);
  }

  void reportsUnknownOnASuccessAfterTheTimeLimit() {
    SteppedWriter Writer(Store_);
    Writer.runUntil(StoreOperation::CreateIfAbsent);
    const auto Answer = Store_.execute(Writer.next());
    Writer.Now_ += std::chrono::hours(1); // the writer was paused
    Writer.handle(Answer);
    CPPUNIT_ASSERT(std::holds_alternative<WriteUnknown>(Writer.finish()));
  }

  void isFoundByItsIdAfterwards() {
    occupyFirstVersion(Store_);
    SteppedWriter Writer(Store_);
    Writer.finish();
    CPPUNIT_ASSERT(lookUp("mine").Verdict_ == LookupResult::Verdict::Accepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), lookUp("mine").Version_);
    CPPUNIT_ASSERT_EQUAL(std::string("ann"), lookUp("mine").Change_->Author_);
    CPPUNIT_ASSERT(lookUp("none").Verdict_ == LookupResult::Verdict::NotFound);
  }

private:
  LookupResult lookUp(const std::string &Id) {
    ChangeLookup Lookup;
    Lookup.Id_ = Id;
    while (const auto Request = nextRequest(Lookup))
      handleResponse(Lookup, Store_.execute(*Request));
    return *Lookup.Result_;
  }

  fakes::FakeStore Store_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(WritingAChange);

} // namespace
