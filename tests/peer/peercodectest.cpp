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

/// Returns the code with which the codec refuses bytes; Ok when it decodes
/// them.
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

class PeerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerCodecTest);
  CPPUNIT_TEST(survivesARoundTrip);
  CPPUNIT_TEST(isRefusedWhenTruncated);
  CPPUNIT_TEST(isRefusedWithTrailingBytes);
  CPPUNIT_TEST(isRefusedWithAnUnknownKeyOrKind);
  CPPUNIT_TEST(isRefusedWithAWrongType);
  CPPUNIT_TEST(isRefusedWithTextThatIsNotUtf8);
  CPPUNIT_TEST(isRefusedWhenTooLarge);
  CPPUNIT_TEST_SUITE_END();

public:
  void survivesARoundTrip() {
    CPPUNIT_ASSERT(rc::check([] {
      const control::PeerMessage Sent = *testing::anyPeerMessage();
      const auto Decoded = decodePeerMessage(encodePeerMessage(Sent));
      RC_ASSERT(Decoded.has_value());
      RC_ASSERT(*Decoded == Sent);
    }));
  }

  void isRefusedWhenTruncated() {
    CPPUNIT_ASSERT(rc::check([] {
      const std::string Whole = encodePeerMessage(*testing::anyPeerMessage());
      const auto Length = *rc::gen::inRange<std::size_t>(0, Whole.size());
      RC_ASSERT(refusalOf(Whole.substr(0, Length)) ==
                ResultCode::PeerMessageMalformed);
    }));
  }

  void isRefusedWithTrailingBytes() {
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

  void isRefusedWithTextThatIsNotUtf8() {
    control::Entries Entries;
    Entries.Changes_.resize(1);
    Entries.Changes_[0].Author_ = "\xff";
    CPPUNIT_ASSERT(refusalOf(encodePeerMessage(Entries)) ==
                   ResultCode::PeerMessageMalformed);
    // A chunk of a state may end within a UTF-8 character.
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

class CborCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CborCheckTest);
  CPPUNIT_TEST(acceptsNestingUpToTheLimit);
  CPPUNIT_TEST(refusesDeepNestingWithoutRecursion);
  CPPUNIT_TEST(refusesALengthBeyondTheEnd);
  CPPUNIT_TEST(neverFailsInternallyOnRandomBytes);
  CPPUNIT_TEST_SUITE_END();

  static std::string nested(std::size_t Depth) {
    return std::string(Depth, '\x81') + '\x00';
  }

public:
  void acceptsNestingUpToTheLimit() {
    CPPUNIT_ASSERT_EQUAL(std::string(), adapters::findCborFault(nested(4), 4));
    CPPUNIT_ASSERT(!adapters::findCborFault(nested(5), 4).empty());
  }

  void refusesDeepNestingWithoutRecursion() {
    constexpr std::size_t NestingDepth = 1000000;
    // Nested arrays, arrays of indefinite length, text chunks, tags and maps.
    for (const char First : {'\x81', '\x9f', '\x7f', '\xc1', '\xa1'})
      CPPUNIT_ASSERT(refusalOf(std::string(NestingDepth, First)) ==
                     ResultCode::PeerMessageMalformed);
  }

  void refusesALengthBeyondTheEnd() {
    // An array, a map and a text whose length field is 2^63.
    for (const char First : {'\x9b', '\xbb', '\x7b'})
      CPPUNIT_ASSERT(refusalOf(First + std::string("\x80\0\0\0\0\0\0\0", 8)) ==
                     ResultCode::PeerMessageMalformed);
  }

  void neverFailsInternallyOnRandomBytes() {
    constexpr unsigned Inputs = 20000;
    constexpr std::size_t MaxLength = 64;
    std::mt19937_64 Random(1); // NOLINT: same inputs in every run
    for (unsigned I = 0; I < Inputs; ++I) {
      std::string Bytes(Random() % MaxLength, '\0');
      for (char &Byte : Bytes)
        Byte = static_cast<char>(Random());
      CPPUNIT_ASSERT(refusalOf(Bytes) != ResultCode::InternalError);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerCodecTest);
CPPUNIT_TEST_SUITE_REGISTRATION(CborCheckTest);

} // namespace
