#include "adapters/httpclient.h"
#include "adapters/httpanswerparser.h"
#include "adapters/idlesocket.h"
#include "adapters/log.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <utility>
#include <vector>

namespace cumingauge::adapters {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint32_t MaxHeadBytes = 8192;
/// The VM list of the largest fleet is longer than any stored value.
constexpr std::size_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxIdleConnections = 2;
/// Faulty answers of a service are logged once in this time.
constexpr model::seconds FaultLogInterval{10};
/// A peer that no longer responds is detected within idle time + interval *
/// probes = 2 s.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 1;

using Stream = std::unique_ptr<beast::tcp_stream>;
template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Sets socket options. They only speed up the detection of failures, so a
/// refused option is ignored.
void setOptions(asio::ip::tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPIDLE>(KeepAliveIdleSeconds), Ignored);
  Socket.set_option(TcpOption<TCP_KEEPINTVL>(KeepAliveIntervalSeconds),
                    Ignored);
  Socket.set_option(TcpOption<TCP_KEEPCNT>(KeepAliveProbes), Ignored);
}

} // namespace

struct HttpClient::Pool {
  Pool(asio::io_context &Io, HttpClientSettings Settings)
      : Io_(Io), Settings_(std::move(Settings)) {}

  /// Returns an idle connection that can be used, or null.
  Stream takeIdle() {
    while (!Idle_.empty()) {
      Stream Out = std::move(Idle_.back());
      Idle_.pop_back();
      if (!isSocketStale(Out->socket().native_handle()))
        return Out;
    }
    return nullptr;
  }

  void logFault(model::AnswerFault Fault, unsigned Status) {
    const model::TimePoint Now = std::chrono::steady_clock::now();
    if (FaultLogged_ && Now - *FaultLogged_ < FaultLogInterval) {
      ++FaultsLeftOut_;
      return;
    }
    FaultLogged_ = Now;
    log(LogLevel::Warning, "faulty answer of a service",
        {{"host", Settings_.Host_},
         {"port", Settings_.Port_},
         {"fault", boost::describe::enum_to_string(Fault, "")},
         {"status", Status},
         {"leftOut", std::exchange(FaultsLeftOut_, 0)}});
  }

  asio::io_context &Io_;
  const HttpClientSettings Settings_;
  std::vector<Stream> Idle_;
  std::optional<model::TimePoint> FaultLogged_;
  std::uint64_t FaultsLeftOut_ = 0; ///< not logged since FaultLogged_
};

/// One call from connect to answer.
class HttpClient::Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<Pool> Shared, HttpClientCall Call,
          HttpClientHandler Handler)
      : Pool_(std::move(Shared)), Call_(std::move(Call)),
        Handler_(std::move(Handler)) {}

  void start() {
    if (!Call_.NewConnection_)
      Stream_ = Pool_->takeIdle();
    if (!Stream_)
      return connect();
    Reused_ = true;
    send();
  }

private:
  void connect() {
    error_code Error;
    const auto Address = asio::ip::make_address(Pool_->Settings_.Host_, Error);
    if (Error)
      return asio::post(Pool_->Io_, [Self = shared_from_this()] {
        Self->fail(/*MayHaveSent=*/false);
      });
    Reused_ = false;
    Stream_ = std::make_unique<beast::tcp_stream>(Pool_->Io_);
    Stream_->expires_after(Pool_->Settings_.ConnectTimeout_);
    Stream_->async_connect(
        asio::ip::tcp::endpoint(Address, Pool_->Settings_.Port_),
        [Self = shared_from_this()](error_code Failed) {
          if (Failed)
            return Self->fail(/*MayHaveSent=*/false);
          setOptions(Self->Stream_->socket());
          Self->send();
        });
  }

  void send() {
    Request_ = {http::string_to_verb(Call_.Method_), Call_.Target_, 11};
    Request_.set(http::field::host, Pool_->Settings_.Host_ + ":" +
                                        std::to_string(Pool_->Settings_.Port_));
    if (!Call_.ContentType_.empty())
      Request_.set(http::field::content_type, Call_.ContentType_);
    Request_.body() = Call_.Body_;
    Request_.prepare_payload();
    Stream_->expires_after(Pool_->Settings_.AnswerTimeout_ + Call_.Wait_);
    http::async_write(
        *Stream_, Request_,
        [Self = shared_from_this()](error_code Failed, std::size_t Bytes) {
          if (Failed)
            return Self->failOrRepeat(Bytes > 0);
          Self->receive();
        });
  }

  void receive() {
    Parser_.start(/*ToHeadRequest=*/Call_.Method_ == "HEAD");
    Read_ = HttpClientAnswer();
    read();
  }

  void read() {
    Stream_->async_read_some(
        Parser_.prepare(),
        [Self = shared_from_this()](error_code Failed, std::size_t Bytes) {
          Self->onRead(Failed, Bytes);
        });
  }

  void onRead(error_code Failed, std::size_t Bytes) {
    Parser_.commit(Bytes);
    const bool EndsAnswer =
        Failed == asio::error::eof && Parser_.finishAtClose();
    if (!Failed || EndsAnswer)
      return parse();
    if (Failed == beast::error::timeout)
      return fail(true);
    if (Parser_.hasBegun())
      return failFaulty(model::AnswerFault::BrokenOff);
    failOrRepeat(true);
  }

  void parse() {
    while (true) {
      switch (Parser_.next()) {
      case ReadStep::NeedMore:
        return read();
      case ReadStep::Head:
        takeHead();
        break;
      case ReadStep::Body:
        Read_.Body_.append(Parser_.body());
        if (Read_.Body_.size() > MaxAnswerBytes)
          return failFaulty(model::AnswerFault::TooLong);
        break;
      case ReadStep::End:
        return finish();
      case ReadStep::Failed:
        return failFaulty(Parser_.fault());
      }
    }
  }

  void takeHead() {
    const auto &Head = Parser_.parsed().get();
    Read_.Answered_ = true;
    Read_.Status_ = Head.result_int();
    const std::string &Captured = Pool_->Settings_.CapturedHeader_;
    if (!Captured.empty())
      Read_.CapturedValue_ = std::string(Head[Captured]);
  }

  /// Repeats the call on a new connection if the failed one was reused, since
  /// the service may have closed it in the meantime; otherwise fails.
  void failOrRepeat(bool MayHaveSent) {
    if (!Reused_ || !Call_.Repeatable_)
      return fail(MayHaveSent);
    connect();
  }

  void failFaulty(model::AnswerFault Fault) {
    Pool_->logFault(Fault, Parser_.status());
    fail(/*MayHaveSent=*/true);
  }

  void fail(bool MayHaveSent) {
    Stream_.reset();
    Pool_->Idle_.clear(); // their peer may be unreachable as well
    HttpClientAnswer Failed;
    Failed.MayHaveSent_ = MayHaveSent;
    Handler_(Failed);
  }

  void finish() {
    if (Parser_.parsed().keep_alive() && Parser_.buffered() == 0 &&
        Pool_->Idle_.size() < MaxIdleConnections) {
      Stream_->expires_never();
      Pool_->Idle_.push_back(std::move(Stream_));
    }
    Stream_.reset();
    Handler_(Read_);
  }

  const std::shared_ptr<Pool> Pool_;
  const HttpClientCall Call_;
  const HttpClientHandler Handler_;
  Stream Stream_;
  bool Reused_ = false;
  http::request<http::string_body> Request_;
  AnswerParser Parser_{MaxHeadBytes};
  HttpClientAnswer Read_; ///< as far as it was read
};

HttpClient::HttpClient(asio::io_context &Io, HttpClientSettings Settings)
    : Pool_(std::make_shared<Pool>(Io, std::move(Settings))) {}

void HttpClient::call(HttpClientCall Call, HttpClientHandler Handler) {
  std::make_shared<Session>(Pool_, std::move(Call), std::move(Handler))
      ->start();
}

} // namespace cumingauge::adapters
