#include "codec/keydigest.h"
#include "http/frontend.h"
#include "http/scriptedserver.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <set>

using namespace cumingauge;
using namespace cumingauge::test;
using control::CreditAnswer;
using control::CreditDecision;

namespace {

using Request = ScriptedServer::Request;

const std::string NorthKey = "Authorization: Bearer north-key\r\n";
const std::string SouthKey = "Authorization: Bearer south-key\r\n";
const std::string FreeKey = "Authorization: Bearer free-key\r\n";
const CreditDecision Granted{CreditAnswer::Granted, {}};

/// Workspaces of which all but "free" have a quota.
std::vector<model::Workspace> makeWorkspaces() {
  const model::CallQuota Quota{10, 5};
  return {{"north", {codec::keyDigest("north-key")}, Quota},
          {"south", {codec::keyDigest("south-key")}, Quota},
          {"free", {codec::keyDigest("free-key")}, {}}};
}

/// For tests in which calls wait until the test decides.
constexpr model::milliseconds LongWait{20000};

std::string search(const std::string &Fields) {
  return request("GET", "/search/7", Fields);
}

/// Guards against a workspace that gets more calls served than its quota allows
/// because each process decides for itself.
class QuotaOfAWorkspace : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOfAWorkspace);
  CPPUNIT_TEST(isServedBelowAndRefusedAtOnceBeyond);
  CPPUNIT_TEST(refusesWithoutBlameWhenNobodyKnowsIt);
  CPPUNIT_TEST(isAskedForOnlyWhereThereIsOne);
  CPPUNIT_TEST(isNotUsedUpByRequestsThatAreRefusedAnyway);
  CPPUNIT_TEST(isChargedOnceForACallThatIsTriedAgain);
  CPPUNIT_TEST(answersEachWaitingCallByItsOwnDecision);
  CPPUNIT_TEST(isRefusedLongBeforeTheDeadlineOfACallThatWaits);
  CPPUNIT_TEST(isNotWaitedForByMoreCallsThanCanBeAnswered);
  CPPUNIT_TEST(isForgottenWhenTheCallerHasLeft);
  CPPUNIT_TEST(doesNotPlaceACallWhoseKeyIsWithdrawnMeanwhile);
  CPPUNIT_TEST(isThatOfTheWorkspaceWhichHasTheKeyWhenTheCallIsPlaced);
  CPPUNIT_TEST(doesNotHoldUpAStop);
  CPPUNIT_TEST(holdsForPipelinedCallsAndUploads);
  CPPUNIT_TEST_SUITE_END();

  std::atomic<unsigned> Rejections_{0}; ///< with which the server answers next
  std::unique_ptr<ScriptedServer> Server_;
  std::unique_ptr<FrontEnd> Front_;

  RawCaller::Answer call(const std::string &Bytes) {
    return RawCaller(Front_->port()).call(Bytes);
  }

  std::size_t served() const { return Server_->requests().size(); }
  std::size_t asked() { return Front_->credit().requests().size(); }

  /// Makes the source silent and sends a call that waits for its answer.
  void sendWaiting(RawCaller &Caller, const std::string &Bytes) {
    Front_->credit().setDecision(std::nullopt);
    const std::size_t Before = asked();
    Caller.send(Bytes);
    CPPUNIT_ASSERT(eventually([&] { return asked() > Before; }));
  }

  void decide(std::size_t Request, const CreditDecision &Decision) {
    Front_->traffic().applyCredit(
        Front_->credit().requests().at(Request).Number_, Decision);
  }

  /// Returns whether so many calls come to wait for credit.
  bool eventuallyWaiting(std::uint64_t Calls) {
    return eventually(
        [&] { return Front_->traffic().stats().Credit_.Waiting_ == Calls; });
  }

  /// Returns the answers so far: granted, refused and unknown.
  std::string answers() {
    auto Answers = Front_->traffic().stats().Credit_.Answers_;
    return std::to_string(Answers[CreditAnswer::Granted]) + " " +
           std::to_string(Answers[CreditAnswer::Refused]) + " " +
           std::to_string(Answers[CreditAnswer::Unknown]);
  }

  /// Returns the waits that ended without an answer, each of which is in the
  /// histogram.
  std::uint64_t endedWaits() {
    const auto Credit = Front_->traffic().stats().Credit_;
    std::uint64_t Waits = 0;
    for (const std::uint64_t Count : Credit.Waits_.Buckets_)
      Waits += Count;
    CPPUNIT_ASSERT(Waits >= Credit.EndedWaits_);
    return Credit.EndedWaits_;
  }

  static std::string refusedWith(const RawCaller::Answer &Answer) {
    CPPUNIT_ASSERT(Answer.Whole_);
    return std::to_string(Answer.Status_) + " " + Answer.ResultCode_;
  }

public:
  void setUp() override {
    Server_ = std::make_unique<ScriptedServer>([this](const Request &) {
      if (Rejections_ == 0)
        return ScriptedServer::answer("found");
      --Rejections_;
      return ScriptedServer::answer("full", "X-Not-Run: shed\r\n", "503 Full");
    });
    adapters::HttpLimits Limits;
    Limits.CreditWait_ = LongWait;
    Front_ = std::make_unique<FrontEnd>(
        std::vector<FrontEnd::Target>{{"cat-1", Server_->port()},
                                      {"cat-2", Server_->port()}},
        Limits);
    Front_->changePreset([](model::Preset &Preset) {
      for (model::Route &Each : Preset.Routes_)
        Each.Deadline_ = 3 * LongWait;
      Preset.KeysRequired_ = true;
      Preset.Workspaces_ = makeWorkspaces();
    });
  }

  void tearDown() override {
    Front_.reset();
    Server_.reset();
  }

  void isServedBelowAndRefusedAtOnceBeyond() {
    RawCaller Caller(Front_->port());
    CPPUNIT_ASSERT_EQUAL(200U, Caller.call(search(NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(std::string("north"),
                         Front_->credit().requests().at(0).Workspace_);
    for (const auto &[Millis, Seconds] :
         {std::pair(0, "1"), std::pair(1, "1"), std::pair(1000, "1"),
          std::pair(1001, "2"), std::pair(3600000, "3600")}) {
      Front_->credit().setDecision(
          CreditDecision{CreditAnswer::Refused, model::milliseconds(Millis)});
      const auto Answer = Caller.call(search(NorthKey));
      CPPUNIT_ASSERT_EQUAL(std::string("429 113 NotRunQuota"),
                           refusedWith(Answer));
      CPPUNIT_ASSERT_MESSAGE(
          Answer.Head_,
          Answer.Head_.find(std::string("Retry-After: ") + Seconds + "\r\n") !=
              std::string::npos);
    }
    Front_->credit().setDecision(Granted);
    CPPUNIT_ASSERT_EQUAL(200U, Caller.call(search(NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), served());
  }

  void refusesWithoutBlameWhenNobodyKnowsIt() {
    Front_->credit().setDecision(CreditDecision());
    CPPUNIT_ASSERT_EQUAL(std::string("503 114 NotRunCreditUnknown"),
                         refusedWith(call(search(NorthKey))));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), served());
  }

  void isAskedForOnlyWhereThereIsOne() {
    Front_->credit().setDecision(CreditDecision{CreditAnswer::Refused, {}});
    CPPUNIT_ASSERT_EQUAL(200U, call(search(FreeKey)).Status_);
    Front_->changePreset([](model::Preset &Preset) {
      Preset.KeysRequired_ = false;
      Preset.Workspaces_ = std::vector<model::Workspace>();
    });
    CPPUNIT_ASSERT_EQUAL(200U, call(search(NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), asked());
  }

  void isNotUsedUpByRequestsThatAreRefusedAnyway() {
    CPPUNIT_ASSERT_EQUAL(404U, call(request("GET", "/none", NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(401U, call(search("")).Status_);
    CPPUNIT_ASSERT_EQUAL(
        400U, call(search(NorthKey + "Content-Length: x\r\n")).Status_);
    Front_->markLeaving({"cat-1", "cat-2"});
    CPPUNIT_ASSERT_EQUAL(std::string("503 100 NotRunNoServer"),
                         refusedWith(call(search(NorthKey))));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), asked());
  }

  void isChargedOnceForACallThatIsTriedAgain() {
    Rejections_ = 1;
    CPPUNIT_ASSERT_EQUAL(200U, call(search(NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), served());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), asked());
  }

  /// The callers are spread over both threads, and the answers come in another
  /// order than the requests.
  void answersEachWaitingCallByItsOwnDecision() {
    constexpr std::size_t Callers = 16;
    Front_->credit().setDecision(std::nullopt);
    std::vector<std::unique_ptr<RawCaller>> Waiting;
    for (std::size_t I = 0; I < Callers; ++I) {
      Waiting.push_back(std::make_unique<RawCaller>(Front_->port()));
      sendWaiting(*Waiting.back(), search(I % 2 == 0 ? NorthKey : SouthKey));
    }
    CPPUNIT_ASSERT(eventuallyWaiting(Callers));
    std::set<std::uint64_t> Numbers;
    for (std::size_t I = Callers; I-- > 0;) {
      const auto Asked = Front_->credit().requests().at(I);
      Numbers.insert(Asked.Number_);
      decide(I, Asked.Workspace_ == "north"
                    ? Granted
                    : CreditDecision{CreditAnswer::Refused, {}});
    }
    CPPUNIT_ASSERT_EQUAL(Callers, Numbers.size());
    for (std::size_t I = 0; I < Callers; ++I)
      CPPUNIT_ASSERT_EQUAL(I % 2 == 0 ? 200U : 429U,
                           Waiting[I]->read().Status_);
    CPPUNIT_ASSERT_EQUAL(Callers / 2, served());
    CPPUNIT_ASSERT(eventuallyWaiting(0));
    CPPUNIT_ASSERT_EQUAL(std::string("8 8 0"), answers());
  }

  /// Guards against calls that end in silence at their deadline, as the control
  /// thread or the issuers are late.
  void isRefusedLongBeforeTheDeadlineOfACallThatWaits() {
    adapters::HttpLimits Limits;
    Limits.CreditWait_ = model::milliseconds(100);
    Front_->traffic().setLimits(Limits);
    RawCaller Caller(Front_->port());
    for (const char *Deadline : {"50", "20000"}) {
      const std::size_t Request = asked();
      const auto Sent = std::chrono::steady_clock::now();
      sendWaiting(Caller,
                  search(NorthKey + "X-Deadline-Ms: " + Deadline + "\r\n"));
      CPPUNIT_ASSERT_EQUAL(std::string("503 114 NotRunCreditUnknown"),
                           refusedWith(Caller.read()));
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Sent <
                     model::seconds(10));
      CPPUNIT_ASSERT(eventuallyWaiting(0));
      decide(Request, Granted);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), endedWaits());
    Front_->credit().setDecision(Granted);
    CPPUNIT_ASSERT_EQUAL(200U, Caller.call(search(NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), served());
  }

  /// Guards against one workspace that fills the control thread with requests.
  void isNotWaitedForByMoreCallsThanCanBeAnswered() {
    Front_->credit().setDecision(std::nullopt);
    std::vector<std::unique_ptr<RawCaller>> Waiting;
    const auto Refused = [&] {
      return Front_->traffic().stats().Credit_.RefusedWaits_;
    };
    for (unsigned I = 0; I < 600 && Refused() == 0; ++I) {
      Waiting.push_back(std::make_unique<RawCaller>(Front_->port()));
      Waiting.back()->send(search(NorthKey + "X-Deadline-Ms: 60000\r\n"));
    }
    CPPUNIT_ASSERT(eventually([&] { return Refused() > 0; }));
    CPPUNIT_ASSERT(asked() <= 2 * 256);
    Front_->credit().setDecision(Granted);
    CPPUNIT_ASSERT_EQUAL(200U, call(search(SouthKey)).Status_);
  }

  void isForgottenWhenTheCallerHasLeft() {
    RawCaller Caller(Front_->port());
    sendWaiting(Caller, search(NorthKey));
    Caller.disconnect();
    CPPUNIT_ASSERT(
        eventually([&] { return Front_->traffic().stats().InFlight_ == 0; }));
    CPPUNIT_ASSERT(eventuallyWaiting(0));
    decide(0, Granted);
    CPPUNIT_ASSERT(eventually(
        [&] { return Front_->traffic().stats().Credit_.UnusedGrants_ == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), endedWaits());
    Front_->credit().setDecision(Granted);
    CPPUNIT_ASSERT_EQUAL(200U, call(search(NorthKey)).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), served());
  }

  void doesNotPlaceACallWhoseKeyIsWithdrawnMeanwhile() {
    RawCaller Caller(Front_->port());
    sendWaiting(Caller, search(NorthKey));
    Front_->changePreset([](model::Preset &Preset) {
      auto Workspaces = makeWorkspaces();
      Workspaces.front().KeyDigests_.clear();
      Preset.Workspaces_ = Workspaces;
    });
    decide(0, Granted);
    CPPUNIT_ASSERT_EQUAL(401U, Caller.read().Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), served());
  }

  void isThatOfTheWorkspaceWhichHasTheKeyWhenTheCallIsPlaced() {
    RawCaller Caller(Front_->port());
    sendWaiting(Caller, search(NorthKey));
    Front_->changePreset([](model::Preset &Preset) {
      auto Workspaces = makeWorkspaces();
      std::swap(Workspaces[0].KeyDigests_, Workspaces[1].KeyDigests_);
      Preset.Workspaces_ = Workspaces;
    });
    decide(0, Granted);
    CPPUNIT_ASSERT(eventually([&] { return asked() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), served());
    CPPUNIT_ASSERT_EQUAL(std::string("south"),
                         Front_->credit().requests().at(1).Workspace_);
    decide(1, Granted);
    CPPUNIT_ASSERT_EQUAL(200U, Caller.read().Status_);
  }

  void doesNotHoldUpAStop() {
    adapters::HttpLimits Limits;
    Limits.DrainTimeout_ = model::milliseconds(300);
    Limits.DrainAcceptTime_ = model::milliseconds(0);
    Limits.CreditWait_ = LongWait;
    Front_->traffic().setLimits(Limits);
    RawCaller Caller(Front_->port());
    sendWaiting(Caller, search(NorthKey));
    std::atomic<bool> Done{false};
    Front_->traffic().drain([&] { Done = true; });
    CPPUNIT_ASSERT_EQUAL(std::string("503 102 NotRunDeadline"),
                         refusedWith(Caller.read()));
    CPPUNIT_ASSERT(eventually([&] { return Done.load(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), served());
  }

  void holdsForPipelinedCallsAndUploads() {
    Front_->credit().setDecision(CreditDecision{CreditAnswer::Refused, {}});
    RawCaller Pipelining(Front_->port());
    Pipelining.send(search(NorthKey) + search(NorthKey) + search(FreeKey));
    CPPUNIT_ASSERT_EQUAL(429U, Pipelining.read().Status_);
    CPPUNIT_ASSERT_EQUAL(429U, Pipelining.read().Status_);
    CPPUNIT_ASSERT_EQUAL(200U, Pipelining.read().Status_);
    const std::string Upload =
        request("POST", "/bulk/1", NorthKey, std::string(1000000, 'u'));
    CPPUNIT_ASSERT_EQUAL(429U, call(Upload).Status_);
    Front_->credit().setDecision(Granted);
    CPPUNIT_ASSERT_EQUAL(200U, call(Upload).Status_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), served());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(QuotaOfAWorkspace);

} // namespace
