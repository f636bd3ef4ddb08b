#include "adapters/peercodec.h"
#include "adapters/cborshape.h"
#include "generators.h"
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace cumingauge;
using adapters::decodePeerMessage;
using adapters::encodePeerMessage;
using model::ResultCode;

namespace {

/// The code that bytes are refused with; Ok when they are taken.
ResultCode refusalOf(const std::string &Bytes) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<ResultCode> {
        BOOST_LEAF_CHECK(decodePeerMessage(Bytes));
        return ResultCode::Ok;
      },
      [](const adapters::PeerCodecError &Error) { return Error.Code_; },
      [] { return ResultCode::InternalError; });
}

std::string encodeJson(const codec::Json &Value) {
  std::string Out;
  codec::Json::to_cbor(Value, Out);
  return Out;
}

class APeerMessage : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(APeerMessage);
  CPPUNIT_TEST(comesBackAsItWasSent);
  CPPUNIT_TEST(isRefusedWhenCutShort);
  CPPUNIT_TEST(isRefusedWithBytesAfterItsEnd);
  CPPUNIT_TEST(isRefusedWithAnUnknownKeyOrKind);
  CPPUNIT_TEST(isRefusedWithAWrongType);
  CPPUNIT_TEST(isRefusedWithTextThatIsNoUtf8);
  CPPUNIT_TEST(isRefusedWhenTooLarge);
  CPPUNIT_TEST_SUITE_END();

public:
  void comesBackAsItWasSent() {
    CPPUNIT_ASSERT(rc::check([] {
      const control::PeerMessage Sent = *testing::anyPeerMessage();
      const auto Read = decodePeerMessage(encodePeerMessage(Sent));
      RC_ASSERT(Read.has_value());
      RC_ASSERT(*Read == Sent);
    }));
  }

  void isRefusedWhenCutShort() {
    CPPUNIT_ASSERT(rc::check([] {
      const std::string Whole = encodePeerMessage(*testing::anyPeerMessage());
      const auto Length = *rc::gen::inRange<std::size_t>(0, Whole.size());
      RC_ASSERT(refusalOf(Whole.substr(0, Length)) ==
                ResultCode::PeerMessageMalformed);
    }));
  }

  void isRefusedWithBytesAfterItsEnd() {
    const std::string Whole = encodePeerMessage(control::EntriesRequest{7});
    CPPUNIT_ASSERT(refusalOf(Whole) == ResultCode::Ok);
    CPPUNIT_ASSERT(refusalOf(Whole + Whole) ==
                   ResultCode::PeerMessageMalformed);
  }

  void isRefusedWithAnUnknownKeyOrKind() {
    codec::Json Message{{"kind", "wantEntries"}, {"after", 7}};
    CPPUNIT_ASSERT(refusalOf(encodeJson(Message)) == ResultCode::Ok);
    Message["colour"] = "red";
    CPPUNIT_ASSERT(refusalOf(encodeJson(Message)) ==
                   ResultCode::PeerMessageMalformed);
    CPPUNIT_ASSERT(refusalOf(encodeJson({{"kind", "gossip"}})) ==
                   ResultCode::PeerMessageMalformed);
  }

  void isRefusedWithAWrongType() {
    for (const codec::Json &Wrong :
         {codec::Json(-1), codec::Json(1.5), codec::Json("7"),
          codec::Json::array(), codec::Json(nullptr)})
      CPPUNIT_ASSERT(
          refusalOf(encodeJson({{"kind", "wantEntries"}, {"after", Wrong}})) ==
          ResultCode::PeerMessageMalformed);
  }

  void isRefusedWithTextThatIsNoUtf8() {
    control::Entries Entries;
    Entries.Changes_.resize(1);
    Entries.Changes_[0].Author_ = "\xff";
    CPPUNIT_ASSERT(refusalOf(encodePeerMessage(Entries)) ==
                   ResultCode::PeerMessageMalformed);
    // A piece of a state may end within a character.
    CPPUNIT_ASSERT(refusalOf(encodePeerMessage(control::StateChunk{
                       1, 0, 2, "\xc3"})) == ResultCode::Ok);
  }

  void isRefusedWhenTooLarge() {
    control::StateChunk Chunk;
    Chunk.Bytes_.assign(adapters::MaxPeerMessageBytes, 'x');
    CPPUNIT_ASSERT(refusalOf(encodePeerMessage(Chunk)) ==
                   ResultCode::PeerMessageTooLarge);
  }
};

class CborBytes : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CborBytes);
  CPPUNIT_TEST(mayNestUpToTheLimit);
  CPPUNIT_TEST(mayNotMakeTheReaderRecurse);
  CPPUNIT_TEST(mayNotClaimMoreThanTheyHold);
  CPPUNIT_TEST(ofAnyKindAreReadOrRefused);
  CPPUNIT_TEST_SUITE_END();

  static std::string nested(std::size_t Depth) {
    return std::string(Depth, '\x81') + '\x00';
  }

public:
  void mayNestUpToTheLimit() {
    CPPUNIT_ASSERT_EQUAL(std::string(), adapters::findCborFault(nested(4), 4));
    CPPUNIT_ASSERT(!adapters::findCborFault(nested(5), 4).empty());
  }

  void mayNotMakeTheReaderRecurse() {
    constexpr std::size_t Many = 1000000;
    // Lists, lists of indefinite length, and text made of text chunks.
    for (const char First : {'\x81', '\x9f', '\x7f', '\xc1', '\xa1'})
      CPPUNIT_ASSERT(refusalOf(std::string(Many, First)) ==
                     ResultCode::PeerMessageMalformed);
  }

  void mayNotClaimMoreThanTheyHold() {
    // Lists, objects and texts of 2^63 items.
    for (const char First : {'\x9b', '\xbb', '\x7b'})
      CPPUNIT_ASSERT(refusalOf(First + std::string("\x80\0\0\0\0\0\0\0", 8)) ==
                     ResultCode::PeerMessageMalformed);
  }

  void ofAnyKindAreReadOrRefused() {
    constexpr unsigned Inputs = 20000;
    constexpr std::size_t MaxLength = 64;
    std::mt19937_64 Random(1); // NOLINT: the same inputs at every run
    for (unsigned I = 0; I < Inputs; ++I) {
      std::string Bytes(Random() % MaxLength, '\0');
      for (char &Byte : Bytes)
        Byte = static_cast<char>(Random());
      CPPUNIT_ASSERT(refusalOf(Bytes) != ResultCode::InternalError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(APeerMessage);
CPPUNIT_TEST_SUITE_REGISTRATION(CborBytes);

} // namespace
