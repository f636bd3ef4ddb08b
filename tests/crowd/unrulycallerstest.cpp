#include "crowd/crowd.h"
#include "crowd/site.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <thread>

using namespace cumingauge;
using namespace cumingauge::test;

namespace {

const std::string Host = "Host: cumingauge\r\n";
const std::string Chunked = Host + "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t KeptBytes = 60000; ///< of a body that is kept
constexpr std::size_t PassedOnBytes = 200000;

Crowd::Text bodiesInLargeChunks() {
  return {"POST /licence/large-", Chunked + unfinishedChunks(KeptBytes, 16000)};
}

Crowd::Text bodiesInSmallChunks() {
  return {"POST /licence/small-", Chunked + unfinishedChunks(KeptBytes, 1)};
}

Crowd::Text bodiesWithLength() {
  return {"POST /licence/length-",
          Host + "Content-Length: " + std::to_string(KeptBytes) + "\r\n\r\n" +
              std::string(KeptBytes - 1, 'z')};
}

/// Returns as many of these fields as a head may have.
std::string manyFields(const std::string &Field) {
  constexpr std::size_t HeadBytes = 16250; ///< the limit is 16,384
  std::string Out;
  while (Out.size() + Field.size() < HeadBytes)
    Out += Field;
  return Out;
}

Crowd::Text headsThatStopShort() {
  return {"POST /licence/head-",
          Host + manyFields("X-Field: " + std::string(100, 'f') + "\r\n")};
}

/// Bodies without a byte, after heads that take far more memory than they have
/// bytes.
Crowd::Text bodiesAfterManyFields() {
  return {"POST /licence/fields-", manyFields("a:b\r\n") + Chunked};
}

/// Many requests on each connection, the answers to which are not read.
Crowd::Text requestsSentAhead() {
  std::string Rest = Host + "\r\n";
  for (int I = 0; I < 100; ++I)
    Rest += request("GET", "/search/ahead");
  return {"GET /search/ahead-", Rest};
}

Crowd::Text uploadsThatStall() {
  return {"POST /licence/upload-",
          Chunked + unfinishedChunks(PassedOnBytes, 1000)};
}

void checkAgainst(std::size_t Count, const Crowd::Text &Sent) {
  Site Machine({});
  Crowd Callers(Machine.port(), Count, Sent);
  Callers.send();
  Machine.checkAmidTheCrowd();
  Callers.disconnect();
  Machine.checkAfterwards();
}

class CrowdsThatTakeMemory : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrowdsThatTakeMemory);
  CPPUNIT_TEST(keepsMemoryWithUnfinishedBodiesInLargeChunks);
  CPPUNIT_TEST(keepsMemoryWithUnfinishedBodiesInChunksOfOneByte);
  CPPUNIT_TEST(keepsMemoryWithUnfinishedBodiesOfAGivenLength);
  CPPUNIT_TEST(keepsMemoryWithUnfinishedBodiesAfterManyFields);
  CPPUNIT_TEST(keepsMemoryWithUnfinishedHeads);
  CPPUNIT_TEST(keepsMemoryWithRequestsSentAhead);
  CPPUNIT_TEST(keepsMemoryWithAllOfThemMixed);
  CPPUNIT_TEST_SUITE_END();

public:
  void keepsMemoryWithUnfinishedBodiesInLargeChunks() {
    checkAgainst(700, bodiesInLargeChunks());
  }

  void keepsMemoryWithUnfinishedBodiesInChunksOfOneByte() {
    checkAgainst(700, bodiesInSmallChunks());
  }

  void keepsMemoryWithUnfinishedBodiesOfAGivenLength() {
    checkAgainst(700, bodiesWithLength());
  }

  void keepsMemoryWithUnfinishedBodiesAfterManyFields() {
    checkAgainst(700, bodiesAfterManyFields());
  }

  void keepsMemoryWithUnfinishedHeads() {
    checkAgainst(2500, headsThatStopShort());
  }

  void keepsMemoryWithRequestsSentAhead() {
    checkAgainst(400, requestsSentAhead());
  }

  void keepsMemoryWithAllOfThemMixed() {
    Site Machine({});
    std::deque<Crowd> Crowds;
    Crowds.emplace_back(Machine.port(), 200, bodiesInLargeChunks());
    Crowds.emplace_back(Machine.port(), 200, bodiesInSmallChunks());
    Crowds.emplace_back(Machine.port(), 200, bodiesWithLength());
    Crowds.emplace_back(Machine.port(), 300, headsThatStopShort());
    Crowds.emplace_back(Machine.port(), 50, requestsSentAhead());
    Crowds.emplace_back(Machine.port(), 20, uploadsThatStall());
    std::vector<std::thread> Senders;
    for (Crowd &One : Crowds)
      Senders.emplace_back([&One] { One.send(); });
    for (std::thread &One : Senders)
      One.join();
    Machine.checkAmidTheCrowd();
    Crowds.clear();
    Machine.checkAfterwards();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrowdsThatTakeMemory);

class CrowdsThatOccupyTheProcess : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrowdsThatOccupyTheProcess);
  CPPUNIT_TEST(keepsItsPromisesToUploadsThatServersBegan);
  CPPUNIT_TEST(keepsDescriptorsForItsServersWithIdleConnections);
  CPPUNIT_TEST_SUITE_END();

public:
  /// Guards against an upload that is refused as not run after a server has
  /// begun to work on it, and against ordinary callers that get no answer
  /// because uploads occupy all servers.
  void keepsItsPromisesToUploadsThatServersBegan() {
    Site Machine({/*MaxDescriptors_=*/2870, /*Slots_=*/4,
                  /*BodyTimeoutMs_=*/1000});
    Crowd Callers(Machine.port(), 40, uploadsThatStall());
    Callers.send();
    Machine.checkAmidTheCrowd();
    eventually([&] {
      const auto Seen = Callers.outcomes();
      return std::all_of(Seen.begin(), Seen.end(), [](const auto &One) {
        return One.Closed_ || One.Status_ != 0;
      });
    });
    const auto Seen = Callers.outcomes();
    const auto Broken =
        std::count_if(Seen.begin(), Seen.end(), [&](const auto &One) {
          return Machine.isBrokenPromise(One.Request_, One.Status_);
        });
    Callers.disconnect();
    Machine.checkAfterwards();
    CPPUNIT_ASSERT_EQUAL_MESSAGE("uploads that a server began, refused",
                                 std::ptrdiff_t(0), Broken);
  }

  /// Guards against callers that take the descriptors with which the process
  /// reaches its servers and answers on its admin port.
  void keepsDescriptorsForItsServersWithIdleConnections() {
    Site Machine({/*MaxDescriptors_=*/256});
    RawCaller Early(Machine.port());
    Crowd Callers(Machine.port(), 300, {});
    Machine.waitUntilQuiet();
    Early.send(request("POST", "/licence/early", "", "order"));
    CPPUNIT_ASSERT(Early.awaitBytes());
    const RawCaller::Answer Answer = Early.read();
    CPPUNIT_ASSERT_MESSAGE(Answer.Head_,
                           Answer.Closed_ || Answer.Status_ == 200);
    Machine.checkAmidTheCrowd();
    Callers.disconnect();
    Machine.checkAfterwards();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CrowdsThatOccupyTheProcess);

} // namespace
