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

/// Handshakes of both ends of one link, and the messages sent between them.
struct Exchange {
  Exchange(const HandshakeSettings &Opening, const HandshakeSettings &Accepting)
      : Opening_(makeHandshake(LinkSide::Opening, Opening, nonceOf('a'))),
        Accepting_(
            makeHandshake(LinkSide::Accepting, Accepting, nonceOf('b'))) {}

  /// Passes messages between the two sides until neither has one to send.
  void run() {
    HandshakeStep Step = adapters::beginHandshake(*Opening_);
    bool ToAccepting = true;
    while (Step.Send_) {
      Sent_.push_back(*Step.Send_);
      Step = adapters::advanceHandshake(ToAccepting ? *Accepting_ : *Opening_,
                                        *Step.Send_);
      (ToAccepting ? AcceptingStep_ : OpeningStep_) = Step;
      ToAccepting = !ToAccepting;
    }
  }

  template <class T> bool wasSent() const {
    for (const HandshakeMessage &Message : Sent_)
      if (std::holds_alternative<T>(Message))
        return true;
    return false;
  }

  std::shared_ptr<adapters::Handshake> Opening_;
  std::shared_ptr<adapters::Handshake> Accepting_;
  HandshakeStep OpeningStep_;
  HandshakeStep AcceptingStep_;
  std::vector<HandshakeMessage> Sent_;
};

class HandshakeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HandshakeTest);
  CPPUNIT_TEST(tellsEachSideTheIdentityOfTheOther);
  CPPUNIT_TEST(marksAnOperatorLink);
  CPPUNIT_TEST(refusesAPeerWithAnotherKey);
  CPPUNIT_TEST(refusesAReflectedProof);
  CPPUNIT_TEST(refusesAnIdentityThatTheProofDoesNotCover);
  CPPUNIT_TEST(refusesAnUnsupportedProtocolVersion);
  CPPUNIT_TEST(usesTheHighestCommonProtocolVersion);
  CPPUNIT_TEST(refusesAnUnexpectedMessage);
  CPPUNIT_TEST(refusesALinkOfAProcessToItself);
  CPPUNIT_TEST_SUITE_END();

public:
  void tellsEachSideTheIdentityOfTheOther() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    Link.run();
    CPPUNIT_ASSERT(Link.OpeningStep_.Open_ && Link.AcceptingStep_.Open_);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-2"),
                         adapters::peerOf(*Link.Opening_).Process_);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"),
                         adapters::peerOf(*Link.Accepting_).Process_);
    CPPUNIT_ASSERT(!adapters::isOperatorLink(*Link.Accepting_));
  }

  void marksAnOperatorLink() {
    HandshakeSettings Operator = settingsOf("ops");
    Operator.Operator_ = true;
    Exchange Link(Operator, settingsOf("entry-2"));
    Link.run();
    CPPUNIT_ASSERT(adapters::isOperatorLink(*Link.Accepting_));
  }

  void refusesAPeerWithAnotherKey() {
    HandshakeSettings WrongKey = settingsOf("stranger");
    WrongKey.Key_ = "another key of some length";
    Exchange Link(WrongKey, settingsOf("entry-2"));
    Link.run();
    CPPUNIT_ASSERT(Link.OpeningStep_.Refused_ == ResultCode::PeerKeyInvalid);
    CPPUNIT_ASSERT(!Link.wasSent<adapters::HandshakeProof>());
    // When such a peer sends its proof all the same, the accepting side refuses
    // it.
    const HandshakeStep Step = adapters::advanceHandshake(
        *Link.Accepting_,
        adapters::HandshakeProof{WrongKey.Self_, false, nonceOf('c')});
    CPPUNIT_ASSERT(Step.Refused_ == ResultCode::PeerKeyInvalid);
    CPPUNIT_ASSERT(!Step.Send_ && !Step.Open_);
  }

  void refusesAReflectedProof() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    const HandshakeStep Hello = adapters::beginHandshake(*Link.Opening_);
    const HandshakeStep Challenge =
        adapters::advanceHandshake(*Link.Accepting_, *Hello.Send_);
    const auto &SentChallenge =
        std::get<adapters::HandshakeChallenge>(*Challenge.Send_);
    const HandshakeStep Step = adapters::advanceHandshake(
        *Link.Accepting_,
        adapters::HandshakeProof{{}, false, SentChallenge.Proof_});
    CPPUNIT_ASSERT(Step.Refused_ == ResultCode::PeerKeyInvalid);
  }

  void refusesAnIdentityThatTheProofDoesNotCover() {
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

  void refusesAnUnsupportedProtocolVersion() {
    HandshakeSettings NewerSide = settingsOf("entry-2");
    NewerSide.LowestProtocol_ = adapters::HighestPeerProtocol + 1;
    NewerSide.HighestProtocol_ = adapters::HighestPeerProtocol + 2;
    Exchange Link(settingsOf("entry-1"), NewerSide);
    Link.run();
    CPPUNIT_ASSERT(Link.AcceptingStep_.Refused_ ==
                   ResultCode::PeerProtocolVersion);
    CPPUNIT_ASSERT(!Link.wasSent<adapters::HandshakeChallenge>());
  }

  void usesTheHighestCommonProtocolVersion() {
    HandshakeSettings NewerSide = settingsOf("entry-2");
    NewerSide.HighestProtocol_ = adapters::HighestPeerProtocol + 2;
    Exchange Link(settingsOf("entry-1"), NewerSide);
    Link.run();
    CPPUNIT_ASSERT(Link.OpeningStep_.Open_ && Link.AcceptingStep_.Open_);
    CPPUNIT_ASSERT_EQUAL(
        adapters::HighestPeerProtocol,
        std::get<adapters::HandshakeChallenge>(Link.Sent_[1]).Protocol_);
  }

  void refusesAnUnexpectedMessage() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-2"));
    const HandshakeStep Step = adapters::advanceHandshake(
        *Link.Accepting_, adapters::HandshakeWelcome{});
    CPPUNIT_ASSERT(Step.Refused_ == ResultCode::PeerMessageMalformed);
    // A valid message after the refusal is refused with the same code.
    const HandshakeStep Hello = adapters::beginHandshake(*Link.Opening_);
    CPPUNIT_ASSERT(
        adapters::advanceHandshake(*Link.Accepting_, *Hello.Send_).Refused_ ==
        ResultCode::PeerMessageMalformed);
  }

  void refusesALinkOfAProcessToItself() {
    Exchange Link(settingsOf("entry-1"), settingsOf("entry-1"));
    Link.run();
    CPPUNIT_ASSERT(Link.AcceptingStep_.Refused_ == ResultCode::PeerUnreachable);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HandshakeTest);

} // namespace
