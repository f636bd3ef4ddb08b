#include "adapters/storeclient.h"
#include "adapters/storeprotocol.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <optional>
#include <utility>
#include <vector>

namespace cumingauge::adapters {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using ports::StoreHandler;
using ports::StoreRequest;
using ports::StoreResponse;

/// The VM list of the largest fleet is longer than any value.
constexpr std::uint64_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxIdleConnections = 2;

using Stream = std::unique_ptr<beast::tcp_stream>;

/// What the calls of one client share.
struct StorePool {
  StorePool(asio::io_context &Io, StoreClientSettings Settings)
      : Io_(Io), Settings_(std::move(Settings)) {}

  asio::io_context &Io_;
  const StoreClientSettings Settings_;
  std::vector<Stream> Idle_;
};

bool valueTooLarge(const StoreRequest &Request) {
  return Request.Value_.size() > MaxStoreValueBytes;
}

/// One call from connect to answer.
class StoreSession : public std::enable_shared_from_this<StoreSession> {
public:
  StoreSession(std::shared_ptr<StorePool> Pool, StoreRequest Request,
               StoreHandler Handler)
      : Pool_(std::move(Pool)), Request_(std::move(Request)),
        Handler_(std::move(Handler)) {}

  void start() {
    if (valueTooLarge(Request_))
      return finishLater(model::ResultCode::StoreAnswerInvalid);
    if (storeprotocol::isWrite(Request_.Operation_) || Pool_->Idle_.empty())
      return connect();
    Stream_ = std::move(Pool_->Idle_.back());
    Pool_->Idle_.pop_back();
    Reused_ = true;
    send();
  }

private:
  void finishLater(model::ResultCode Code) {
    StoreResponse Response;
    Response.Code_ = Code;
    asio::post(Pool_->Io_, [Self = shared_from_this(), Response] {
      Self->Handler_(Response);
    });
  }

  void connect() {
    error_code Error;
    const auto Address = asio::ip::make_address(Pool_->Settings_.Host_, Error);
    if (Error)
      return finishLater(model::ResultCode::StoreUnavailable);
    Reused_ = false;
    Stream_ = std::make_unique<beast::tcp_stream>(Pool_->Io_);
    Stream_->expires_after(Pool_->Settings_.ConnectTimeout_);
    Stream_->async_connect(
        asio::ip::tcp::endpoint(Address, Pool_->Settings_.Port_),
        [Self = shared_from_this()](error_code Failed) {
          if (Failed)
            return Self->fail(/*BytesLeft=*/false);
          Self->Stream_->socket().set_option(asio::ip::tcp::no_delay(true),
                                             Failed);
          Self->send();
        });
  }

  void send() {
    const storeprotocol::HttpCall Call = storeprotocol::httpCallFor(Request_);
    HttpRequest_ = {http::string_to_verb(Call.Method_), Call.Target_, 11};
    HttpRequest_.set(http::field::host,
                     Pool_->Settings_.Host_ + ":" +
                         std::to_string(Pool_->Settings_.Port_));
    HttpRequest_.body() = Request_.Value_;
    HttpRequest_.prepare_payload();
    Stream_->expires_after(Pool_->Settings_.AnswerTimeout_ + Request_.Wait_);
    http::async_write(
        *Stream_, HttpRequest_,
        [Self = shared_from_this()](error_code Failed, std::size_t Bytes) {
          if (Failed)
            return Self->failOrRepeat(Bytes > 0);
          Self->receive();
        });
  }

  void receive() {
    Parser_.emplace();
    Parser_->body_limit(MaxAnswerBytes);
    http::async_read(
        *Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Failed, std::size_t Bytes) {
          if (Failed)
            return Bytes > 0 ? Self->fail(true) : Self->failOrRepeat(true);
          Self->finish();
        });
  }

  /// A reused connection may have been closed by the service meanwhile; a
  /// read is then repeated on a new one.
  void failOrRepeat(bool BytesLeft) {
    if (Reused_) {
      Buffer_.clear();
      return connect();
    }
    fail(BytesLeft);
  }

  void fail(bool BytesLeft) {
    Stream_.reset();
    Handler_(storeprotocol::withoutAnswer(Request_, BytesLeft));
  }

  void finish() {
    const auto &Answer = Parser_->get();
    storeprotocol::HttpAnswer Read;
    Read.Status_ = Answer.result_int();
    boost::conversion::try_lexical_convert(
        std::string(Answer["X-Consul-Index"]), Read.ConsulIndex_);
    Read.Body_ = Answer.body();
    if (Answer.keep_alive() && Buffer_.size() == 0 &&
        Pool_->Idle_.size() < MaxIdleConnections) {
      Stream_->expires_never();
      Pool_->Idle_.push_back(std::move(Stream_));
    }
    Stream_.reset();
    Handler_(storeprotocol::readAnswer(Request_, Read));
  }

  const std::shared_ptr<StorePool> Pool_;
  const StoreRequest Request_;
  const StoreHandler Handler_;
  Stream Stream_;
  bool Reused_ = false;
  beast::flat_buffer Buffer_;
  http::request<http::string_body> HttpRequest_;
  std::optional<http::response_parser<http::string_body>> Parser_;
};

} // namespace

ports::Store makeStoreClient(asio::io_context &Io,
                             const StoreClientSettings &Settings) {
  const auto Pool = std::make_shared<StorePool>(Io, Settings);
  return {[Pool](const StoreRequest &Request, StoreHandler Handler) {
    std::make_shared<StoreSession>(Pool, Request, std::move(Handler))->start();
  }};
}

} // namespace cumingauge::adapters
