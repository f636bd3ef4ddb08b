#include "adapters/httpclient.h"
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

/// The VM list of the largest fleet is longer than any stored value.
constexpr std::uint64_t MaxAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t MaxIdleConnections = 2;
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

  asio::io_context &Io_;
  const HttpClientSettings Settings_;
  std::vector<Stream> Idle_;
};

/// One call from connect to answer.
class HttpClient::Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<Pool> Shared, HttpClientCall Call,
          HttpClientHandler Handler)
      : Pool_(std::move(Shared)), Call_(std::move(Call)),
        Handler_(std::move(Handler)) {}

  void start() {
    if (Call_.NewConnection_ || Pool_->Idle_.empty())
      return connect();
    Stream_ = std::move(Pool_->Idle_.back());
    Pool_->Idle_.pop_back();
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
    Parser_.emplace();
    Parser_->body_limit(MaxAnswerBytes);
    http::async_read(
        *Stream_, Buffer_, *Parser_,
        [Self = shared_from_this()](error_code Failed, std::size_t Bytes) {
          if (Failed)
            return Bytes > 0 || Failed == beast::error::timeout
                       ? Self->fail(true)
                       : Self->failOrRepeat(true);
          Self->finish();
        });
  }

  /// Repeats the call on a new connection if the failed one was reused, since
  /// the service may have closed it in the meantime; otherwise fails.
  void failOrRepeat(bool MayHaveSent) {
    if (!Reused_ || !Call_.Repeatable_)
      return fail(MayHaveSent);
    Buffer_.clear();
    connect();
  }

  void fail(bool MayHaveSent) {
    Stream_.reset();
    Pool_->Idle_.clear(); // their peer may be unreachable as well
    HttpClientAnswer Failed;
    Failed.MayHaveSent_ = MayHaveSent;
    Handler_(Failed);
  }

  void finish() {
    auto &Answer = Parser_->get();
    HttpClientAnswer Read;
    Read.Answered_ = true;
    Read.Status_ = Answer.result_int();
    const std::string &Noticed = Pool_->Settings_.CapturedHeader_;
    if (!Noticed.empty())
      Read.CapturedValue_ = std::string(Answer[Noticed]);
    Read.Body_ = std::move(Answer.body());
    if (Answer.keep_alive() && Buffer_.size() == 0 &&
        Pool_->Idle_.size() < MaxIdleConnections) {
      Stream_->expires_never();
      Pool_->Idle_.push_back(std::move(Stream_));
    }
    Stream_.reset();
    Handler_(Read);
  }

  const std::shared_ptr<Pool> Pool_;
  const HttpClientCall Call_;
  const HttpClientHandler Handler_;
  Stream Stream_;
  bool Reused_ = false;
  beast::flat_buffer Buffer_;
  http::request<http::string_body> Request_;
  std::optional<http::response_parser<http::string_body>> Parser_;
};

HttpClient::HttpClient(asio::io_context &Io, HttpClientSettings Settings)
    : Pool_(std::make_shared<Pool>(Io, std::move(Settings))) {}

void HttpClient::call(HttpClientCall Call, HttpClientHandler Handler) {
  std::make_shared<Session>(Pool_, std::move(Call), std::move(Handler))
      ->start();
}

} // namespace cumingauge::adapters
