#include "adapters/peerhandshake.h"
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace cumingauge;
using adapters::HandshakeMessage;
using adapters::HandshakeSettings;
using adapters::HandshakeStep;
using adapters::LinkSide;
using model::ResultCode;

namespace {

constexpr const char *Key = "a key of the whole fleet";

HandshakeSettings settingsOf(const std::string &Process) {
  HandshakeSettings Out;
  Out.Key_ = Key;
  Out.Self_.Process_ = Process;
  Out.Self_.Incarnation_ = 1;
  return Out;
}

std::string nonceOf(char Letter) { return std::string(64, Letter); }

/// Both ends of one link, and what was said on it.
struct Exchange {
  Exchange(const HandshakeSettings &Opening, const HandshakeSettings &Accepting)
      : Opening_(makeHandshake(LinkSide::Opening, Opening, nonceOf('a'))),
        Accepting_(
            makeHandshake(LinkSide::Accepting, Accepting, nonceOf('b'))) {}

  /// Carries messages to and fro until nobody has anything to say.
  void run() {
    HandshakeStep Step = adapters::beginHandshake(*Opening_);
    bool ToAccepting = true;
    while (Step.Send_) {
      Said_.push_back(*Step.Send_);
      Step = adapters::advanceHandshake(ToAccepting ? *Accepting_ : *Opening_,
                                        *Step.Send_);
      (ToAccepting ? AcceptingStep_ : OpeningStep_) = Step;
      ToAccepting = !ToAccepting;
    }
  }

  template <class T> bool wasSaid() const {
    for (const HandshakeMessage &Message : Said_)
      if (std::holds_alternative<T>(Message))
        return true;
    return false;
  }

  std::shared_ptr<adapters::Handshake> Opening_;
  std::shared_ptr<adapters::Handshake> Accepting_;
  HandshakeStep OpeningStep_;
  HandshakeStep AcceptingStep_;
  std::vector<HandshakeMessage> Said_;
};

class OpeningALink : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpeningALink);
  CPPUNIT_TEST(makesBothSidesKnown);
  CPPUNIT_TEST(tellsAnOperatorFromAMember);
  CPPUNIT_TEST(tellsNothingWithoutTheKey);
  CPPUNIT_TEST(refusesAProofThatIsSentBack);
  CPPUNIT_TEST(refusesAnotherIdentityUnderTheSameProof);
  CPPUNIT_TEST(refusesAnOldProtocol);
  CPPUNIT_TEST(usesTheNewestProtocolOfBoth);
  CPPUNIT_TEST(refusesAMessageOutOfTurn);
  CPPUNIT_TEST(refusesItself);
  CPPUNIT_TEST_SUITE_END();

public:
  void makesBothSidesKnown() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    Link.run();
    CPPUNIT_ASSERT(Link.OpeningStep_.Open_ && Link.AcceptingStep_.Open_);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"),
                         adapters::peerOf(*Link.Opening_).Process_);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"),
                         adapters::peerOf(*Link.Accepting_).Process_);
    CPPUNIT_ASSERT(!adapters::isOperatorLink(*Link.Accepting_));
  }

  void tellsAnOperatorFromAMember() {
    HandshakeSettings Operator = settingsOf("ops");
    Operator.Operator_ = true;
    Exchange Link(Operator, settingsOf("entry-2"));
    Link.run();
    CPPUNIT_ASSERT(adapters::isOperatorLink(*Link.Accepting_));
  }

  void tellsNothingWithoutTheKey() {
    HandshakeSettings Stranger = settingsOf("stranger");
    Stranger.Key_ = "another key of some length";
    Exchange FromStranger(Stranger, settingsOf("entry-2"));
    FromStranger.run();
    CPPUNIT_ASSERT(FromStranger.OpeningStep_.Refused_ ==
                   ResultCode::PeerKeyInvalid);
    CPPUNIT_ASSERT(!FromStranger.wasSaid<adapters::HandshakeProof>());
    // A stranger that goes on all the same is refused by the accepting side.
    const HandshakeStep Step = adapters::advanceHandshake(
        *FromStranger.Accepting_,
        adapters::HandshakeProof{Stranger.Self_, false, nonceOf('c')});
    CPPUNIT_ASSERT(Step.Refused_ == ResultCode::PeerKeyInvalid);
    CPPUNIT_ASSERT(!Step.Send_ && !Step.Open_);
  }

  void refusesAProofThatIsSentBack() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    const HandshakeStep Hello = adapters::beginHandshake(*Link.Opening_);
    const HandshakeStep Challenge =
        adapters::advanceHandshake(*Link.Accepting_, *Hello.Send_);
    const auto &Said = std::get<adapters::HandshakeChallenge>(*Challenge.Send_);
    const HandshakeStep Step = adapters::advanceHandshake(
        *Link.Accepting_, adapters::HandshakeProof{{}, false, Said.Proof_});
    CPPUNIT_ASSERT(Step.Refused_ == ResultCode::PeerKeyInvalid);
  }

  void refusesAnotherIdentityUnderTheSameProof() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    const HandshakeStep Hello = adapters::beginHandshake(*Link.Opening_);
    const HandshakeStep Challenge =
        adapters::advanceHandshake(*Link.Accepting_, *Hello.Send_);
    const HandshakeStep Proof =
        adapters::advanceHandshake(*Link.Opening_, *Challenge.Send_);
    auto Changed = std::get<adapters::HandshakeProof>(*Proof.Send_);
    Changed.Operator_ = true;
    CPPUNIT_ASSERT(
        adapters::advanceHandshake(*Link.Accepting_, Changed).Refused_ ==
        ResultCode::PeerKeyInvalid);
  }

  void refusesAnOldProtocol() {
    HandshakeSettings New = settingsOf("entry-2");
    New.LowestProtocol_ = adapters::HighestPeerProtocol + 1;
    New.HighestProtocol_ = adapters::HighestPeerProtocol + 2;
    Exchange Link(settingsOf("entry-1"), New);
    Link.run();
    CPPUNIT_ASSERT(Link.AcceptingStep_.Refused_ ==
                   ResultCode::PeerProtocolVersion);
    CPPUNIT_ASSERT(!Link.wasSaid<adapters::HandshakeChallenge>());
  }

  void usesTheNewestProtocolOfBoth() {
    HandshakeSettings New = settingsOf("entry-2");
    New.HighestProtocol_ = adapters::HighestPeerProtocol + 2;
    Exchange Link(settingsOf("entry-1"), New);
    Link.run();
    CPPUNIT_ASSERT(Link.OpeningStep_.Open_ && Link.AcceptingStep_.Open_);
    CPPUNIT_ASSERT_EQUAL(
        adapters::HighestPeerProtocol,
        std::get<adapters::HandshakeChallenge>(Link.Said_[1]).Protocol_);
  }

  void refusesAMessageOutOfTurn() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    const HandshakeStep Step = adapters::advanceHandshake(
        *Link.Accepting_, adapters::HandshakeWelcome{});
    CPPUNIT_ASSERT(Step.Refused_ == ResultCode::PeerMessageMalformed);
    // The link stays refused whatever comes next.
    const HandshakeStep Hello = adapters::beginHandshake(*Link.Opening_);
    CPPUNIT_ASSERT(
        adapters::advanceHandshake(*Link.Accepting_, *Hello.Send_).Refused_ ==
        ResultCode::PeerMessageMalformed);
  }

  void refusesItself() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-1"));
    Link.run();
    CPPUNIT_ASSERT(Link.AcceptingStep_.Refused_ == ResultCode::PeerUnreachable);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OpeningALink);

} // namespace
