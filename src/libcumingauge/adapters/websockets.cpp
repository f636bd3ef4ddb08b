#include "adapters/websockets.h"
#include <boost/asio/ip/tcp.hpp>
#include <system_error>
#include <unordered_map>
#include <variant>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace cumingauge::adapters {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using websocketpp::connection_hdl;
using Connection = std::variant<Server::connection_ptr, Client::connection_ptr>;
using WsError = websocketpp::lib::error_code;

/// Returns the close code of a closed connection: the local one when this side
/// found a fault in a message, otherwise that of the other side.
template <class T> int closeCodeOf(const T &Closed) {
  const int Local = Closed.get_local_close_code();
  const bool IsLocalFault =
      Local == websocketpp::close::status::message_too_big ||
      Local == websocketpp::close::status::protocol_error ||
      Local == websocketpp::close::status::invalid_payload;
  return IsLocalFault ? Local : Closed.get_remote_close_code();
}

websocketpp::close::status::value closeStatus(int CloseCode) {
  return static_cast<websocketpp::close::status::value>(CloseCode);
}

} // namespace

struct WebSocketsState : std::enable_shared_from_this<WebSocketsState> {
  WebSocketsState(boost::asio::io_context &Io, WebSocketHandlers Handlers,
                  std::size_t InitialMaxMessageBytes, unsigned OpenTimeoutMs)
      : Handlers_(std::move(Handlers)) {
    configure(Io, Server_, InitialMaxMessageBytes, OpenTimeoutMs);
    configure(Io, Client_, InitialMaxMessageBytes, OpenTimeoutMs);
  }

  template <class Endpoint>
  void configure(boost::asio::io_context &Io, Endpoint &WsEndpoint,
                 std::size_t MaxMessageBytes, unsigned OpenTimeoutMs);
  void installAcceptHandlers();
  void onAccepted(const connection_hdl &Handle);
  void onConnected(WebSocketId Id, const Client::connection_ptr &Conn);
  template <class Pointer>
  void installHandlers(const Pointer &Conn, WebSocketId Id);
  void onEnded(WebSocketId Id, int CloseCode);

  const WebSocketHandlers Handlers_;
  Server Server_;
  Client Client_;
  std::unordered_map<WebSocketId, Connection> Connections_;
  WebSocketId LastId_ = 0;
};

template <class Endpoint>
void WebSocketsState::configure(boost::asio::io_context &Io,
                                Endpoint &WsEndpoint,
                                std::size_t MaxMessageBytes,
                                unsigned OpenTimeoutMs) {
  WsEndpoint.clear_access_channels(websocketpp::log::alevel::all);
  WsEndpoint.clear_error_channels(websocketpp::log::elevel::all);
  WsEndpoint.init_asio(&Io);
  WsEndpoint.set_max_message_size(MaxMessageBytes);
  WsEndpoint.set_open_handshake_timeout(static_cast<long>(OpenTimeoutMs));
  WsEndpoint.set_tcp_post_init_handler(
      [&WsEndpoint](const connection_hdl &Handle) {
        WsError Failed;
        const auto Conn = WsEndpoint.get_con_from_hdl(Handle, Failed);
        boost::system::error_code Ignored;
        if (!Failed)
          Conn->get_raw_socket().set_option(
              boost::asio::ip::tcp::no_delay(true), Ignored);
      });
}

void WebSocketsState::installAcceptHandlers() {
  const std::weak_ptr<WebSocketsState> Weak = weak_from_this();
  Server_.set_validate_handler([Weak](const connection_hdl &) {
    const auto Self = Weak.lock();
    return Self && Self->Handlers_.CanAccept_();
  });
  Server_.set_open_handler([Weak](const connection_hdl &Handle) {
    if (const auto Self = Weak.lock())
      Self->onAccepted(Handle);
  });
}

void WebSocketsState::onAccepted(const connection_hdl &Handle) {
  WsError Failed;
  const auto Conn = Server_.get_con_from_hdl(Handle, Failed);
  if (Failed)
    return;
  const WebSocketId Id = ++LastId_;
  Connections_.emplace(Id, Conn);
  installHandlers(Conn, Id);
  boost::system::error_code Ignored;
  Handlers_.OnAccepted_(
      Id,
      Conn->get_raw_socket().remote_endpoint(Ignored).address().to_string());
}

void WebSocketsState::onConnected(WebSocketId Id,
                                  const Client::connection_ptr &Conn) {
  if (Connections_.count(Id))
    return Handlers_.OnConnected_(Id);
  WsError Ignored; // the owner closed it before it was established
  Conn->close(websocketpp::close::status::going_away, "", Ignored);
}

template <class Pointer>
void WebSocketsState::installHandlers(const Pointer &Conn, WebSocketId Id) {
  const std::weak_ptr<WebSocketsState> Weak = weak_from_this();
  Conn->set_message_handler([Weak, Id](const connection_hdl &, auto Message) {
    const auto Self = Weak.lock();
    if (Self && Self->Connections_.count(Id))
      Self->Handlers_.OnBytes_(Id, Message->get_payload(),
                               Message->get_opcode() ==
                                   websocketpp::frame::opcode::binary);
  });
  const auto OnEnd = [Weak, Id,
                      WeakConn = std::weak_ptr(Conn)](const connection_hdl &) {
    const auto Self = Weak.lock();
    const auto Closed = WeakConn.lock();
    if (Self && Closed)
      Self->onEnded(Id, closeCodeOf(*Closed));
  };
  Conn->set_close_handler(OnEnd);
  Conn->set_fail_handler(OnEnd);
}

void WebSocketsState::onEnded(WebSocketId Id, int CloseCode) {
  if (Connections_.erase(Id) > 0)
    Handlers_.OnEnded_(Id, CloseCode);
}

WebSockets::WebSockets(boost::asio::io_context &Io, WebSocketHandlers Handlers,
                       std::size_t InitialMaxMessageBytes,
                       unsigned OpenTimeoutMs)
    : State_(std::make_shared<WebSocketsState>(
          Io, std::move(Handlers), InitialMaxMessageBytes, OpenTimeoutMs)) {}

WebSockets::~WebSockets() = default;

std::uint16_t WebSockets::listen(const std::string &Host, std::uint16_t Port) {
  State_->installAcceptHandlers();
  Server &WsEndpoint = State_->Server_;
  WsEndpoint.set_reuse_addr(true);
  WsError Failed;
  WsEndpoint.listen({boost::asio::ip::make_address(Host), Port}, Failed);
  if (Failed)
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            Host + ":" + std::to_string(Port) + ": " +
                                Failed.message());
  WsEndpoint.start_accept(Failed);
  boost::system::error_code Ignored;
  return WsEndpoint.get_local_endpoint(Ignored).port();
}

void WebSockets::stopListening() {
  WsError Ignored;
  if (State_->Server_.is_listening())
    State_->Server_.stop_listening(Ignored);
}

WebSocketId WebSockets::open(const std::string &Host, std::uint16_t Port) {
  WsError Failed;
  const Client::connection_ptr Conn = State_->Client_.get_connection(
      "ws://" + Host + ":" + std::to_string(Port) + "/peer", Failed);
  if (Failed)
    return 0;
  const WebSocketId Id = ++State_->LastId_;
  State_->Connections_.emplace(Id, Conn);
  State_->installHandlers(Conn, Id);
  Conn->set_open_handler(
      [Weak = State_->weak_from_this(), Id,
       WeakConn = std::weak_ptr(Conn)](const connection_hdl &) {
        const auto Self = Weak.lock();
        const auto Opened = WeakConn.lock();
        if (Self && Opened)
          Self->onConnected(Id, Opened);
      });
  State_->Client_.connect(Conn);
  return Id;
}

bool WebSockets::send(WebSocketId Id, const std::string &Bytes) {
  const auto Found = State_->Connections_.find(Id);
  if (Found == State_->Connections_.end())
    return false;
  return std::visit(
      [&](const auto &Conn) {
        return !Conn->send(Bytes, websocketpp::frame::opcode::binary);
      },
      Found->second);
}

void WebSockets::close(WebSocketId Id, int CloseCode,
                       const std::string &Reason) {
  const auto Found = State_->Connections_.find(Id);
  if (Found == State_->Connections_.end())
    return;
  const Connection Closing = std::move(Found->second);
  State_->Connections_.erase(Found);
  WsError Ignored;
  std::visit(
      [&](const auto &Conn) {
        Conn->close(closeStatus(CloseCode), Reason, Ignored);
      },
      Closing);
}

std::size_t WebSockets::queuedBytes(WebSocketId Id) const {
  const auto Found = State_->Connections_.find(Id);
  if (Found == State_->Connections_.end())
    return 0;
  return std::visit(
      [](const auto &Conn) { return Conn->get_buffered_amount(); },
      Found->second);
}

void WebSockets::setMaxMessageBytes(WebSocketId Id, std::size_t Bytes) {
  const auto Found = State_->Connections_.find(Id);
  if (Found != State_->Connections_.end())
    std::visit([&](const auto &Conn) { Conn->set_max_message_size(Bytes); },
               Found->second);
}

} // namespace cumingauge::adapters
