#include "emulator/httpserver.h"
#include "emulator/httpsession.h"
#include <set>

namespace cumingauge::emulator {

namespace asio = boost::asio;
using asio::ip::tcp;

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context &Context, HttpHandler Handler,
        HttpServerOptions Options)
      : Acceptor_(Context), Handler_(std::move(Handler)),
        Options_(std::move(Options)) {}

  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](boost::system::error_code Error,
                                    tcp::socket Socket) {
          if (Error == asio::error::operation_aborted)
            return;
          if (!Error && Self->Sessions_.size() < Self->Options_.MaxConnections_)
            Self->startSession(std::move(Socket));
          Self->accept();
        });
  }

  void startSession(tcp::socket Socket) {
    const std::weak_ptr<State> Weak = weak_from_this();
    auto Session = std::make_shared<HttpSession>(
        std::move(Socket), Handler_, Options_.KeptBodyBytes_,
        [Weak](const std::shared_ptr<HttpSession> &Closed) {
          if (const auto Self = Weak.lock())
            Self->Sessions_.erase(Closed);
        });
    Sessions_.insert(Session);
    Session->start(Options_.ConnectionCost_ ? Options_.ConnectionCost_()
                                            : model::microseconds(0));
  }

  tcp::acceptor Acceptor_;
  HttpHandler Handler_;
  HttpServerOptions Options_;
  unsigned Generation_ = 0; ///< calls of stopListening()
  std::set<std::shared_ptr<HttpSession>> Sessions_; ///< open connections
};

HttpServer::HttpServer(asio::io_context &Context, HttpHandler Handler,
                       HttpServerOptions Options)
    : State_(std::make_shared<State>(Context, std::move(Handler),
                                     std::move(Options))) {}

HttpServer::~HttpServer() {
  stopListening();
  closeConnections(false);
}

std::uint16_t HttpServer::listen(const std::string &Host, std::uint16_t Port) {
  tcp::acceptor &Acceptor = State_->Acceptor_;
  const tcp::endpoint Endpoint(asio::ip::make_address(Host), Port);
  Acceptor.open(Endpoint.protocol());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(Endpoint);
  Acceptor.listen(asio::socket_base::max_listen_connections);
  State_->accept();
  return Acceptor.local_endpoint().port();
}

void HttpServer::stopListening() {
  boost::system::error_code Ignored;
  ++State_->Generation_;
  State_->Acceptor_.close(Ignored);
}

void HttpServer::closeConnections(bool Reset) {
  const auto Open = State_->Sessions_;
  for (const std::shared_ptr<HttpSession> &Session : Open)
    Session->close(Reset);
}

unsigned HttpServer::connections() const {
  return static_cast<unsigned>(State_->Sessions_.size());
}

} // namespace cumingauge::emulator
