#include "adapters/peercodec.h"
#include "adapters/refusallog.h"
#include "adapters/websockets.h"
#include "linkpair.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using model::ResultCode;
using testing::LinkPair;
using testing::linkSettings;
using testing::runUntil;

namespace {

class APeerLink : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(APeerLink);
  CPPUNIT_TEST(carriesMessagesBothWays);
  CPPUNIT_TEST(tellsBothEndsWhenItCloses);
  CPPUNIT_TEST(cannotBeOpenedToANobody);
  CPPUNIT_TEST(isRefusedWithAnotherKey);
  CPPUNIT_TEST(isRefusedWithAnOldProtocol);
  CPPUNIT_TEST(isClosedWhenItsPeerIsTooSlow);
  CPPUNIT_TEST(isGivenUpWhenTheOtherSideSaysNothing);
  CPPUNIT_TEST_SUITE_END();

public:
  void carriesMessagesBothWays() {
    LinkPair Pair;
    CPPUNIT_ASSERT(Pair.openBoth());
    CPPUNIT_ASSERT(Pair.Opening_.Opened_[0].Ordered_);
    CPPUNIT_ASSERT(!Pair.Accepting_.Opened_[0].Ordered_);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"),
                         Pair.Accepting_.Opened_[0].Peer_.Process_);
    const control::PeerMessage Question = control::EntriesRequest{7};
    const control::PeerMessage Answer = control::StateChunk{9, 0, 1, "state"};
    Pair.Opening_.say(Question);
    Pair.Accepting_.say(Answer);
    CPPUNIT_ASSERT(runUntil(Pair.Io_, [&] {
      return !Pair.Opening_.Messages_.empty() &&
             !Pair.Accepting_.Messages_.empty();
    }));
    CPPUNIT_ASSERT(Pair.Accepting_.Messages_[0] == Question);
    CPPUNIT_ASSERT(Pair.Opening_.Messages_[0] == Answer);
    const adapters::PeerLinkFigures Sent = Pair.Opening_.Links_.stats();
    const adapters::PeerLinkFigures Got = Pair.Accepting_.Links_.stats();
    CPPUNIT_ASSERT_EQUAL(Sent.BytesSent_, Got.BytesReceived_);
    CPPUNIT_ASSERT_EQUAL(1U, Got.Links_);
  }

  void tellsBothEndsWhenItCloses() {
    LinkPair Pair;
    CPPUNIT_ASSERT(Pair.openBoth());
    Pair.Opening_.Links_.close(Pair.Opening_.Opened_[0].Link_,
                               ResultCode::PeerVersionClaim);
    CPPUNIT_ASSERT(runUntil(Pair.Io_, [&] {
      return !Pair.Opening_.Closed_.empty() && !Pair.Accepting_.Closed_.empty();
    }));
    CPPUNIT_ASSERT(Pair.Accepting_.Closed_[0] == ResultCode::PeerVersionClaim);
    CPPUNIT_ASSERT_EQUAL(0U, Pair.Opening_.Links_.stats().Links_);
  }

  void cannotBeOpenedToANobody() {
    LinkPair Pair;
    Pair.Accepting_.Links_.stop();
    Pair.open();
    CPPUNIT_ASSERT(
        runUntil(Pair.Io_, [&] { return !Pair.Opening_.Failed_.empty(); }));
    CPPUNIT_ASSERT(Pair.Opening_.Failed_[0] == ResultCode::PeerUnreachable);
  }

  void isRefusedWithAnotherKey() {
    adapters::PeerLinksSettings Stranger = linkSettings("stranger");
    Stranger.Handshake_.Key_ = "another key of some length";
    expectRefusal(Stranger, ResultCode::PeerKeyInvalid);
  }

  void isRefusedWithAnOldProtocol() {
    adapters::PeerLinksSettings Old = linkSettings("old");
    Old.Handshake_.LowestProtocol_ = 0;
    Old.Handshake_.HighestProtocol_ = 0;
    expectRefusal(Old, ResultCode::PeerProtocolVersion);
  }

  void isClosedWhenItsPeerIsTooSlow() {
    adapters::PeerLinksSettings Impatient = linkSettings("entry-1");
    Impatient.MaxQueuedBytes_ = 100000;
    LinkPair Pair(Impatient);
    CPPUNIT_ASSERT(Pair.openBoth());
    // Nothing leaves while the context does not run.
    for (int I = 0; I < 3; ++I)
      Pair.Opening_.say(control::StateChunk{1, 0, 1, std::string(40000, 'x')});
    CPPUNIT_ASSERT(
        runUntil(Pair.Io_, [&] { return !Pair.Opening_.Closed_.empty(); }));
    CPPUNIT_ASSERT(Pair.Accepting_.Messages_.size() <= 2);
  }

  void isGivenUpWhenTheOtherSideSaysNothing() {
    LinkPair Pair;
    adapters::WebSocketHandlers Silent;
    Silent.MayAccept_ = [] { return true; };
    bool Accepted = false;
    Silent.OnAccepted_ = [&](auto, const auto &) { Accepted = true; };
    Silent.OnBytes_ = [](auto, const auto &, bool) {};
    Silent.OnEnded_ = [](auto, int) {};
    adapters::WebSockets Sockets(Pair.Io_, Silent, 4096, 2000);
    Pair.Opening_.Links_.open("127.0.0.1", Sockets.listen("127.0.0.1", 0));
    CPPUNIT_ASSERT(runUntil(Pair.Io_, [&] { return Accepted; }));
    Pair.Opening_.Links_.expireHandshakes(std::chrono::steady_clock::now() +
                                          std::chrono::seconds(10));
    CPPUNIT_ASSERT(
        runUntil(Pair.Io_, [&] { return !Pair.Opening_.Failed_.empty(); }));
  }

private:
  static void expectRefusal(const adapters::PeerLinksSettings &Opening,
                            ResultCode Code) {
    LinkPair Pair(Opening);
    Pair.open();
    CPPUNIT_ASSERT(
        runUntil(Pair.Io_, [&] { return !Pair.Opening_.Failed_.empty(); }));
    CPPUNIT_ASSERT(Pair.Opening_.Failed_[0] == Code);
    CPPUNIT_ASSERT(Pair.Accepting_.Opened_.empty());
  }
};

class BytesFromAStranger : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BytesFromAStranger);
  CPPUNIT_TEST(areRefusedWhenTruncated);
  CPPUNIT_TEST(areRefusedWhenHuge);
  CPPUNIT_TEST(areRefusedWhenNoCbor);
  CPPUNIT_TEST(areRefusedAsAMessageBeforeTheProof);
  CPPUNIT_TEST_SUITE_END();

public:
  void areRefusedWhenTruncated() {
    const std::string Hello = adapters::encodeCbor(
        adapters::HandshakeMessage(adapters::HandshakeHello{1, 1, "aa"}));
    expectRefusal(Hello.substr(0, Hello.size() - 3));
  }

  void areRefusedWhenHuge() { expectRefusal(std::string(100000, 'x')); }

  void areRefusedWhenNoCbor() { expectRefusal("\xff"); }

  void areRefusedAsAMessageBeforeTheProof() {
    expectRefusal(adapters::encodePeerMessage(control::Entries{}));
  }

private:
  /// Sends bytes as the first ones of a connection; nothing may come back but
  /// the end, and nothing may be opened.
  static void expectRefusal(const std::string &Bytes) {
    LinkPair Pair;
    bool Ended = false;
    bool Answered = false;
    adapters::WebSockets *Sending = nullptr;
    adapters::WebSocketHandlers Stranger;
    Stranger.OnConnected_ = [&](adapters::WebSocketId Id) {
      Sending->send(Id, Bytes);
    };
    Stranger.OnBytes_ = [&](auto, const auto &, bool) { Answered = true; };
    Stranger.OnEnded_ = [&](auto, int) { Ended = true; };
    adapters::WebSockets Sockets(Pair.Io_, Stranger, 4096, 2000);
    Sending = &Sockets;
    Sockets.open("127.0.0.1", Pair.Accepting_.Links_.port());
    CPPUNIT_ASSERT(runUntil(Pair.Io_, [&] { return Ended; }));
    CPPUNIT_ASSERT(!Answered);
    CPPUNIT_ASSERT(Pair.Accepting_.Opened_.empty());
    CPPUNIT_ASSERT(Pair.Accepting_.Messages_.empty());
  }
};

class ARefusedPeer : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ARefusedPeer);
  CPPUNIT_TEST(isLoggedOncePerReasonAndInterval);
  CPPUNIT_TEST_SUITE_END();

public:
  void isLoggedOncePerReasonAndInterval() {
    adapters::RefusalLog Log;
    const model::TimePoint Start{};
    CPPUNIT_ASSERT(Log.record("127.0.0.9", ResultCode::PeerKeyInvalid, Start));
    CPPUNIT_ASSERT(!Log.record("127.0.0.9", ResultCode::PeerKeyInvalid,
                               Start + std::chrono::seconds(59)));
    CPPUNIT_ASSERT(
        Log.record("127.0.0.9", ResultCode::PeerProtocolVersion, Start));
    CPPUNIT_ASSERT(Log.record("127.0.0.8", ResultCode::PeerKeyInvalid, Start));
    CPPUNIT_ASSERT(Log.record("127.0.0.9", ResultCode::PeerKeyInvalid,
                              Start + adapters::RefusalLog::Interval));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(APeerLink);
CPPUNIT_TEST_SUITE_REGISTRATION(BytesFromAStranger);
CPPUNIT_TEST_SUITE_REGISTRATION(ARefusedPeer);

} // namespace
