#include "adapters/adminserver.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace cumingauge::adapters {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr auto IdleTimeout = std::chrono::seconds(30);
constexpr std::size_t MaxRequestBytes = 8192;

/// Serves the requests of one connection to the admin port.
class AdminSession : public std::enable_shared_from_this<AdminSession> {
public:
  AdminSession(Tcp::socket Socket, std::shared_ptr<const AdminHooks> Hooks)
      : Stream_(std::move(Socket)), Buffer_(MaxRequestBytes),
        Hooks_(std::move(Hooks)) {}

  void read() {
    Request_ = {};
    Stream_.expires_after(IdleTimeout);
    http::async_read(
        Stream_, Buffer_, Request_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (!Error)
            Self->respond();
        });
  }

private:
  void respond() {
    Response_ = {};
    Response_.version(Request_.version());
    Response_.keep_alive(Request_.keep_alive());
    fillResponse();
    Response_.prepare_payload();
    http::async_write(
        Stream_, Response_,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          if (!Error && Self->Response_.keep_alive())
            Self->read();
        });
  }

  void fillResponse() {
    const auto Target = Request_.target();
    if (Request_.method() != http::verb::get)
      setText(http::status::method_not_allowed,
              "method not allowed; the admin port serves only GET\n");
    else if (Target == "/healthz")
      setStatusText(Hooks_->IsHealthy_(), "healthy\n",
                    "control thread stuck\n");
    else if (Target == "/readyz")
      setStatusText(Hooks_->IsReady_(), "ready\n", "not ready\n");
    else if (Target == "/metrics")
      setText(http::status::ok, Hooks_->Metrics_(),
              "text/plain; version=0.0.4");
    else if (Target == "/balancer")
      setText(Hooks_->IsReady_() ? http::status::ok
                                 : http::status::service_unavailable,
              Hooks_->BalancerPage_(), "application/json");
    else
      setText(http::status::not_found,
              "page not found; available pages: /healthz /readyz /metrics "
              "/balancer\n");
  }

  void setStatusText(bool IsGood, const char *GoodText, const char *BadText) {
    setText(IsGood ? http::status::ok : http::status::service_unavailable,
            IsGood ? GoodText : BadText);
  }

  void setText(http::status Status, std::string Body,
               const char *Type = "text/plain") {
    Response_.result(Status);
    Response_.set(http::field::content_type, Type);
    Response_.body() = std::move(Body);
  }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  std::shared_ptr<const AdminHooks> Hooks_;
  http::request<http::string_body> Request_;
  http::response<http::string_body> Response_;
};

/// Accepts connections on the admin port for as long as the io_context runs.
class AdminAcceptor : public std::enable_shared_from_this<AdminAcceptor> {
public:
  AdminAcceptor(asio::io_context &Io, const Tcp::endpoint &Endpoint,
                AdminHooks Hooks)
      : Acceptor_(Io, Endpoint),
        Hooks_(std::make_shared<const AdminHooks>(std::move(Hooks))) {}

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

  void accept() {
    Acceptor_.async_accept([Self = shared_from_this()](beast::error_code Error,
                                                       Tcp::socket Socket) {
      if (Error == asio::error::operation_aborted)
        return;
      if (!Error)
        std::make_shared<AdminSession>(std::move(Socket), Self->Hooks_)->read();
      Self->accept();
    });
  }

private:
  Tcp::acceptor Acceptor_;
  std::shared_ptr<const AdminHooks> Hooks_;
};

} // namespace

std::uint16_t startAdminServer(boost::asio::io_context &Io,
                               const std::string &Host, std::uint16_t Port,
                               AdminHooks Hooks) {
  const Tcp::endpoint Endpoint(asio::ip::make_address(Host), Port);
  auto Acceptor =
      std::make_shared<AdminAcceptor>(Io, Endpoint, std::move(Hooks));
  Acceptor->accept();
  return Acceptor->port();
}

} // namespace cumingauge::adapters
