#include "adapters/peercodec.h"
#include "adapters/refusallog.h"
#include "adapters/websockets.h"
#include "linkpair.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace cumingauge;
using boost::asio::ip::tcp;
using model::ResultCode;
using testing::LinkPair;
using testing::linkSettings;
using testing::runUntil;

namespace {

/// What a peer can write until it notices that its link was given up.
constexpr std::size_t MaxBytesTaken = 16 * 1024 * 1024;

class PeerLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinkTest);
  CPPUNIT_TEST(carriesMessagesBothWays);
  CPPUNIT_TEST(notifiesBothEndsWhenItCloses);
  CPPUNIT_TEST(reportsFailureWhenNobodyListens);
  CPPUNIT_TEST(isRefusedWithAnotherKey);
  CPPUNIT_TEST(isRefusedWithAnUnsupportedProtocolVersion);
  CPPUNIT_TEST(isClosedWhenItsSendQueueIsFull);
  CPPUNIT_TEST(failsWhenTheHandshakeTimesOut);
  CPPUNIT_TEST(failsWhenTheOtherSideGivesNoAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  void carriesMessagesBothWays() {
    LinkPair Pair;
    CPPUNIT_ASSERT(Pair.openBoth());
    CPPUNIT_ASSERT(Pair.Opening_.Opened_[0].Outbound_);
    CPPUNIT_ASSERT(!Pair.Accepting_.Opened_[0].Outbound_);
    CPPUNIT_ASSERT_EQUAL(std::string("entry-1"),
                         Pair.Accepting_.Opened_[0].Peer_.Process_);
    const control::PeerMessage Question = control::EntriesRequest{7};
    const control::PeerMessage Answer = control::StateChunk{9, 0, 1, "state"};
    Pair.Opening_.send(Question);
    Pair.Accepting_.send(Answer);
    CPPUNIT_ASSERT(runUntil(Pair.Io_, [&] {
      return !Pair.Opening_.Messages_.empty() &&
             !Pair.Accepting_.Messages_.empty();
    }));
    CPPUNIT_ASSERT(Pair.Accepting_.Messages_[0] == Question);
    CPPUNIT_ASSERT(Pair.Opening_.Messages_[0] == Answer);
    const adapters::PeerLinkStats Sent = Pair.Opening_.Links_.stats();
    const adapters::PeerLinkStats Received = Pair.Accepting_.Links_.stats();
    CPPUNIT_ASSERT_EQUAL(Sent.BytesSent_, Received.BytesReceived_);
    CPPUNIT_ASSERT_EQUAL(1U, Received.Links_);
  }

  void notifiesBothEndsWhenItCloses() {
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

  void reportsFailureWhenNobodyListens() {
    LinkPair Pair;
    Pair.Accepting_.Links_.stop();
    Pair.open();
    CPPUNIT_ASSERT(
        runUntil(Pair.Io_, [&] { return !Pair.Opening_.Failed_.empty(); }));
    CPPUNIT_ASSERT(Pair.Opening_.Failed_[0] == ResultCode::PeerUnreachable);
  }

  void isRefusedWithAnotherKey() {
    adapters::PeerLinksSettings WrongKey = linkSettings("stranger");
    WrongKey.Handshake_.Key_ = "another key of some length";
    expectRefusal(WrongKey, ResultCode::PeerKeyInvalid);
  }

  void isRefusedWithAnUnsupportedProtocolVersion() {
    adapters::PeerLinksSettings Old = linkSettings("old");
    Old.Handshake_.LowestProtocol_ = 0;
    Old.Handshake_.HighestProtocol_ = 0;
    expectRefusal(Old, ResultCode::PeerProtocolVersion);
  }

  void isClosedWhenItsSendQueueIsFull() {
    adapters::PeerLinksSettings SmallQueue = linkSettings("entry-1");
    SmallQueue.MaxQueuedBytes_ = 100000;
    LinkPair Pair(SmallQueue);
    CPPUNIT_ASSERT(Pair.openBoth());
    // Nothing is sent while the io_context does not run.
    for (int I = 0; I < 3; ++I)
      Pair.Opening_.send(control::StateChunk{1, 0, 1, std::string(40000, 'x')});
    CPPUNIT_ASSERT(
        runUntil(Pair.Io_, [&] { return !Pair.Opening_.Closed_.empty(); }));
    CPPUNIT_ASSERT(Pair.Accepting_.Messages_.size() <= 2);
  }

  void failsWhenTheHandshakeTimesOut() {
    LinkPair Pair;
    adapters::WebSocketHandlers Silent;
    Silent.CanAccept_ = [] { return true; };
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

  /// The other side sends bytes that are no answer, the second kind without
  /// end.
  void failsWhenTheOtherSideGivesNoAnswer() {
    const std::string Endless(1024 * 1024, 'x');
    for (const std::string &Answer :
         {std::string("HTTP/1.1 000 Trouble\r\n\r\n"),
          "HTTP/1.1 101 Switching Protocols\r\nX-A: " + Endless}) {
      LinkPair Pair;
      tcp::acceptor Broken(
          Pair.Io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      tcp::socket Socket(Pair.Io_);
      std::size_t Sent = 0;
      std::function<void()> SendOn = [&] {
        boost::asio::async_write(Socket, boost::asio::buffer(Answer),
                                 [&](auto Failed, std::size_t Bytes) {
                                   Sent += Bytes;
                                   if (!Failed &&
                                       Answer.size() > Endless.size())
                                     SendOn();
                                 });
      };
      Broken.async_accept(Socket, [&](auto) { SendOn(); });
      Pair.Opening_.Links_.open("127.0.0.1", Broken.local_endpoint().port());
      CPPUNIT_ASSERT(
          runUntil(Pair.Io_, [&] { return !Pair.Opening_.Failed_.empty(); }));
      CPPUNIT_ASSERT(Pair.Opening_.Opened_.empty());
      CPPUNIT_ASSERT(Sent < MaxBytesTaken);
    }
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

class UnauthenticatedPeerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnauthenticatedPeerTest);
  CPPUNIT_TEST(isRefusedAfterATruncatedMessage);
  CPPUNIT_TEST(isRefusedAfterAMessageThatIsTooLarge);
  CPPUNIT_TEST(isRefusedAfterBytesThatAreNotCbor);
  CPPUNIT_TEST(isRefusedAfterAPeerMessageBeforeTheHandshake);
  CPPUNIT_TEST_SUITE_END();

public:
  void isRefusedAfterATruncatedMessage() {
    const std::string Hello = adapters::encodeCbor(
        adapters::HandshakeMessage(adapters::HandshakeHello{1, 1, "aa"}));
    expectRefusal(Hello.substr(0, Hello.size() - 3));
  }

  void isRefusedAfterAMessageThatIsTooLarge() {
    expectRefusal(std::string(100000, 'x'));
  }

  void isRefusedAfterBytesThatAreNotCbor() { expectRefusal("\xff"); }

  void isRefusedAfterAPeerMessageBeforeTheHandshake() {
    expectRefusal(adapters::encodePeerMessage(control::Entries{}));
  }

private:
  /// Sends bytes as the first message of a connection. The other side must
  /// close the connection without sending a message or opening a link.
  static void expectRefusal(const std::string &Bytes) {
    LinkPair Pair;
    bool Ended = false;
    bool Answered = false;
    adapters::WebSockets *Sending = nullptr;
    adapters::WebSocketHandlers WrongKey;
    WrongKey.OnConnected_ = [&](adapters::WebSocketId Id) {
      Sending->send(Id, Bytes);
    };
    WrongKey.OnBytes_ = [&](auto, const auto &, bool) { Answered = true; };
    WrongKey.OnEnded_ = [&](auto, int) { Ended = true; };
    adapters::WebSockets Sockets(Pair.Io_, WrongKey, 4096, 2000);
    Sending = &Sockets;
    Sockets.open("127.0.0.1", Pair.Accepting_.Links_.port());
    CPPUNIT_ASSERT(runUntil(Pair.Io_, [&] { return Ended; }));
    CPPUNIT_ASSERT(!Answered);
    CPPUNIT_ASSERT(Pair.Accepting_.Opened_.empty());
    CPPUNIT_ASSERT(Pair.Accepting_.Messages_.empty());
  }
};

class RefusalLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RefusalLogTest);
  CPPUNIT_TEST(logsOncePerHostReasonAndInterval);
  CPPUNIT_TEST_SUITE_END();

public:
  void logsOncePerHostReasonAndInterval() {
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

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);
CPPUNIT_TEST_SUITE_REGISTRATION(UnauthenticatedPeerTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RefusalLogTest);

} // namespace
