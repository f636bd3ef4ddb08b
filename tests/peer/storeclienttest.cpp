#include "adapters/storeclient.h"
#include "adapters/storeprotocol.h"
#include "localstore.h"
#include <cppunit/extensions/HelperMacros.h>
#include <optional>

using namespace cumingauge;
using model::ResultCode;
using ports::StoreOperation;
using ports::StoreRequest;
using ports::StoreResponse;

namespace {

/// Store client that waits for the response to each request.
struct BlockingStoreClient {
  explicit BlockingStoreClient(
      std::uint16_t Port,
      model::milliseconds AnswerTimeout = model::seconds(30)) {
    adapters::HttpClientSettings Settings;
    Settings.Port_ = Port;
    Settings.AnswerTimeout_ = AnswerTimeout;
    Store_ = adapters::makeStoreClient(Io_, Settings);
  }

  StoreResponse call(StoreOperation Operation, const std::string &Key,
                     const std::string &Value = "", std::uint64_t Index = 0,
                     model::milliseconds Wait = {}) {
    std::optional<StoreResponse> Out;
    StoreRequest Request{Operation, Key, Value, Index, Wait};
    Store_.Execute_(Request, [&](const StoreResponse &Got) { Out = Got; });
    Io_.restart();
    while (!Out && Io_.run_one() > 0) {
    }
    CPPUNIT_ASSERT(Out.has_value());
    return *Out;
  }

  boost::asio::io_context Io_{1};
  ports::Store Store_;
};

class StoreClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(createsAKeyOnce);
  CPPUNIT_TEST(swapsOnlyAtTheCurrentIndex);
  CPPUNIT_TEST(preservesArbitraryBytes);
  CPPUNIT_TEST(watchesAnAbsentKey);
  CPPUNIT_TEST(listsVms);
  CPPUNIT_TEST(reportsTimeoutWhenTheResponseToAWriteIsLost);
  CPPUNIT_TEST(reportsUnavailableWhenNobodyListens);
  CPPUNIT_TEST(reportsTimeoutWhenAWriteIsNotAnsweredInTime);
  CPPUNIT_TEST(refusesAValueThatIsTooLarge);
  CPPUNIT_TEST_SUITE_END();

public:
  void createsAKeyOnce() {
    testing::LocalStore Store;
    BlockingStoreClient Client(Store.port());
    CPPUNIT_ASSERT(
        Client.call(StoreOperation::CreateIfAbsent, "a/1", "first").Written_);
    CPPUNIT_ASSERT(
        !Client.call(StoreOperation::CreateIfAbsent, "a/1", "later").Written_);
    const StoreResponse Read = Client.call(StoreOperation::Get, "a/1");
    CPPUNIT_ASSERT(Read.Found_);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), Read.Value_);
    CPPUNIT_ASSERT(!Client.call(StoreOperation::Get, "a/2").Found_);
  }

  void swapsOnlyAtTheCurrentIndex() {
    testing::LocalStore Store;
    BlockingStoreClient Client(Store.port());
    Client.call(StoreOperation::CreateIfAbsent, "a", "1");
    const std::uint64_t Index = Client.call(StoreOperation::Get, "a").Index_;
    CPPUNIT_ASSERT(
        !Client.call(StoreOperation::CompareAndSwap, "a", "2", Index + 1)
             .Written_);
    CPPUNIT_ASSERT(
        Client.call(StoreOperation::CompareAndSwap, "a", "2", Index).Written_);
    Client.call(StoreOperation::Delete, "a");
    CPPUNIT_ASSERT(!Client.call(StoreOperation::Get, "a").Found_);
  }

  void preservesArbitraryBytes() {
    testing::LocalStore Store;
    BlockingStoreClient Client(Store.port());
    for (std::size_t Length = 0; Length < 5; ++Length) {
      const std::string Key = "bytes/" + std::to_string(Length);
      const std::string Value =
          std::string("\0\xff=\n\x80", 5).substr(0, Length);
      Client.call(StoreOperation::CreateIfAbsent, Key, Value);
      CPPUNIT_ASSERT(Client.call(StoreOperation::Get, Key).Value_ == Value);
    }
  }

  void watchesAnAbsentKey() {
    testing::LocalStore Store;
    BlockingStoreClient Client(Store.port());
    const StoreResponse Ended = Client.call(StoreOperation::Watch, "next", "",
                                            0, model::milliseconds(20));
    CPPUNIT_ASSERT(Ended.Code_ == ResultCode::Ok && !Ended.Found_);
    std::optional<StoreResponse> Watched;
    Client.Store_.Execute_(
        {StoreOperation::Watch, "next", "", 0, model::seconds(60)},
        [&](const StoreResponse &Got) { Watched = Got; });
    Client.call(StoreOperation::CreateIfAbsent, "next", "here");
    while (!Watched && Client.Io_.run_one() > 0) {
    }
    CPPUNIT_ASSERT(Watched && Watched->Found_);
    CPPUNIT_ASSERT_EQUAL(std::string("here"), Watched->Value_);
  }

  void listsVms() {
    testing::LocalStore Store;
    Store.injectFaults(
        {{"vms",
          {{{"vm", "vm-1"}, {"role", "cumingauge"}},
           {{"vm", "vm-2"}, {"role", "backend"}, {"leaving", true}}}}});
    BlockingStoreClient Client(Store.port());
    const StoreResponse Read = Client.call(StoreOperation::ListVms, "");
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Read.Vms_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("cumingauge"), Read.Vms_[0].Role_);
    CPPUNIT_ASSERT(!Read.Vms_[0].Leaving_ && Read.Vms_[1].Leaving_);
  }

  void reportsTimeoutWhenTheResponseToAWriteIsLost() {
    testing::LocalStore Store;
    Store.injectFaults({{"loseAnswers", 1}});
    BlockingStoreClient Client(Store.port());
    CPPUNIT_ASSERT(
        Client.call(StoreOperation::CreateIfAbsent, "a", "1").Code_ ==
        ResultCode::StoreTimeout);
    CPPUNIT_ASSERT(Client.call(StoreOperation::Get, "a").Found_);
  }

  void reportsUnavailableWhenNobodyListens() {
    std::uint16_t Port = 0;
    {
      testing::LocalStore Store;
      Port = Store.port();
    }
    BlockingStoreClient Client(Port);
    CPPUNIT_ASSERT(
        Client.call(StoreOperation::CreateIfAbsent, "a", "1").Code_ ==
        ResultCode::StoreUnavailable);
    CPPUNIT_ASSERT(Client.call(StoreOperation::Get, "a").Code_ ==
                   ResultCode::StoreUnavailable);
  }

  void reportsTimeoutWhenAWriteIsNotAnsweredInTime() {
    testing::LocalStore Store;
    Store.injectFaults({{"slowMs", 60000}});
    BlockingStoreClient Client(Store.port(), model::milliseconds(50));
    CPPUNIT_ASSERT(
        Client.call(StoreOperation::CreateIfAbsent, "a", "1").Code_ ==
        ResultCode::StoreTimeout);
    CPPUNIT_ASSERT(Client.call(StoreOperation::Get, "a").Code_ ==
                   ResultCode::StoreUnavailable);
  }

  void refusesAValueThatIsTooLarge() {
    testing::LocalStore Store;
    BlockingStoreClient Client(Store.port());
    CPPUNIT_ASSERT(Client
                       .call(StoreOperation::CreateIfAbsent, "a",
                             std::string(adapters::MaxStoreValueBytes + 1, 'x'))
                       .Code_ == ResultCode::StoreAnswerInvalid);
    CPPUNIT_ASSERT(!Client.call(StoreOperation::Get, "a").Found_);
  }
};

class StoreProtocolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreProtocolTest);
  CPPUNIT_TEST(reportsTimeoutForAWriteWithoutADefiniteOutcome);
  CPPUNIT_TEST(refusesAMalformedResponse);
  CPPUNIT_TEST_SUITE_END();

  static ResultCode codeOf(StoreOperation Operation, unsigned Status,
                           const std::string &Body) {
    StoreRequest Request;
    Request.Operation_ = Operation;
    return adapters::storeprotocol::readResponse(Request, {Status, 0, Body})
        .Code_;
  }

public:
  void reportsTimeoutForAWriteWithoutADefiniteOutcome() {
    const auto Write = StoreOperation::CreateIfAbsent;
    CPPUNIT_ASSERT(codeOf(Write, 200, "true") == ResultCode::Ok);
    CPPUNIT_ASSERT(codeOf(Write, 200, "tr") == ResultCode::StoreTimeout);
    CPPUNIT_ASSERT(codeOf(Write, 500, "") == ResultCode::StoreTimeout);
    CPPUNIT_ASSERT(codeOf(Write, 503, "") == ResultCode::StoreUnavailable);
    CPPUNIT_ASSERT(codeOf(Write, 429, "") == ResultCode::StoreRateLimited);
    CPPUNIT_ASSERT(codeOf(StoreOperation::Get, 500, "") ==
                   ResultCode::StoreUnavailable);
  }

  void refusesAMalformedResponse() {
    for (const char *Body : {"", "{}", "[]", "[1]", "[{\"ModifyIndex\":1}]",
                             "[{\"ModifyIndex\":-1,\"Value\":\"\"}]",
                             "[{\"ModifyIndex\":1,\"Value\":\"a\"}]",
                             "[{\"ModifyIndex\":1,\"Value\":\"a===\"}]",
                             "[{\"ModifyIndex\":1,\"Value\":\"????\"}]"})
      CPPUNIT_ASSERT_MESSAGE(Body, codeOf(StoreOperation::Get, 200, Body) ==
                                       ResultCode::StoreAnswerInvalid);
    for (const char *Body : {"{}", "[1]", "[{}]", "[{\"Node\":3}]"})
      CPPUNIT_ASSERT_MESSAGE(Body, codeOf(StoreOperation::ListVms, 200, Body) ==
                                       ResultCode::StoreAnswerInvalid);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);
CPPUNIT_TEST_SUITE_REGISTRATION(StoreProtocolTest);

} // namespace
