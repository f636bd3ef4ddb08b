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

/// The code of the side that found a fault, or else of the other side.
template <class T> int closeCodeOf(const T &Closed) {
  const int Local = Closed.get_local_close_code();
  const bool FoundHere = Local == websocketpp::close::status::message_too_big ||
                         Local == websocketpp::close::status::protocol_error ||
                         Local == websocketpp::close::status::invalid_payload;
  return FoundHere ? Local : Closed.get_remote_close_code();
}

websocketpp::close::status::value closeStatus(int CloseCode) {
  return static_cast<websocketpp::close::status::value>(CloseCode);
}

} // namespace

struct WebSocketsState : std::enable_shared_from_this<WebSocketsState> {
  WebSocketsState(boost::asio::io_context &Io, WebSocketHandlers Handlers,
                  std::size_t FirstMessageLimit, unsigned OpenTimeoutMs)
      : Handlers_(std::move(Handlers)) {
    setUp(Io, Server_, FirstMessageLimit, OpenTimeoutMs);
    setUp(Io, Client_, FirstMessageLimit, OpenTimeoutMs);
  }

  template <class Endpoint>
  void setUp(boost::asio::io_context &Io, Endpoint &Of, std::size_t Limit,
             unsigned OpenTimeoutMs);
  void acceptFrom();
  void accepted(const connection_hdl &Handle);
  void connected(WebSocketId Id, const Client::connection_ptr &Plain);
  template <class Pointer> void watch(const Pointer &Plain, WebSocketId Id);
  void ended(WebSocketId Id, int CloseCode);

  const WebSocketHandlers Handlers_;
  Server Server_;
  Client Client_;
  std::unordered_map<WebSocketId, Connection> Connections_;
  WebSocketId LastId_ = 0;
};

template <class Endpoint>
void WebSocketsState::setUp(boost::asio::io_context &Io, Endpoint &Of,
                            std::size_t Limit, unsigned OpenTimeoutMs) {
  Of.clear_access_channels(websocketpp::log::alevel::all);
  Of.clear_error_channels(websocketpp::log::elevel::all);
  Of.init_asio(&Io);
  Of.set_max_message_size(Limit);
  Of.set_open_handshake_timeout(static_cast<long>(OpenTimeoutMs));
  Of.set_tcp_post_init_handler([&Of](const connection_hdl &Handle) {
    WsError Failed;
    const auto Plain = Of.get_con_from_hdl(Handle, Failed);
    boost::system::error_code Ignored;
    if (!Failed)
      Plain->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                         Ignored);
  });
}

void WebSocketsState::acceptFrom() {
  const std::weak_ptr<WebSocketsState> Weak = weak_from_this();
  Server_.set_validate_handler([Weak](const connection_hdl &) {
    const auto Self = Weak.lock();
    return Self && Self->Handlers_.MayAccept_();
  });
  Server_.set_open_handler([Weak](const connection_hdl &Handle) {
    if (const auto Self = Weak.lock())
      Self->accepted(Handle);
  });
}

void WebSocketsState::accepted(const connection_hdl &Handle) {
  WsError Failed;
  const auto Plain = Server_.get_con_from_hdl(Handle, Failed);
  if (Failed)
    return;
  const WebSocketId Id = ++LastId_;
  Connections_.emplace(Id, Plain);
  watch(Plain, Id);
  boost::system::error_code Ignored;
  Handlers_.OnAccepted_(
      Id,
      Plain->get_raw_socket().remote_endpoint(Ignored).address().to_string());
}

void WebSocketsState::connected(WebSocketId Id,
                                const Client::connection_ptr &Plain) {
  if (Connections_.count(Id))
    return Handlers_.OnConnected_(Id);
  WsError Ignored; // the owner has closed it while it was being opened
  Plain->close(websocketpp::close::status::going_away, "", Ignored);
}

template <class Pointer>
void WebSocketsState::watch(const Pointer &Plain, WebSocketId Id) {
  const std::weak_ptr<WebSocketsState> Weak = weak_from_this();
  Plain->set_message_handler([Weak, Id](const connection_hdl &, auto Message) {
    const auto Self = Weak.lock();
    if (Self && Self->Connections_.count(Id))
      Self->Handlers_.OnBytes_(Id, Message->get_payload(),
                               Message->get_opcode() ==
                                   websocketpp::frame::opcode::binary);
  });
  const auto Ended = [Weak, Id,
                      Of = std::weak_ptr(Plain)](const connection_hdl &) {
    const auto Self = Weak.lock();
    const auto Closed = Of.lock();
    if (Self && Closed)
      Self->ended(Id, closeCodeOf(*Closed));
  };
  Plain->set_close_handler(Ended);
  Plain->set_fail_handler(Ended);
}

void WebSocketsState::ended(WebSocketId Id, int CloseCode) {
  if (Connections_.erase(Id) > 0)
    Handlers_.OnEnded_(Id, CloseCode);
}

WebSockets::WebSockets(boost::asio::io_context &Io, WebSocketHandlers Handlers,
                       std::size_t FirstMessageLimit, unsigned OpenTimeoutMs)
    : State_(std::make_shared<WebSocketsState>(
          Io, std::move(Handlers), FirstMessageLimit, OpenTimeoutMs)) {}

WebSockets::~WebSockets() = default;

std::uint16_t WebSockets::listen(const std::string &Host, std::uint16_t Port) {
  State_->acceptFrom();
  Server &Of = State_->Server_;
  Of.set_reuse_addr(true);
  WsError Failed;
  Of.listen({boost::asio::ip::make_address(Host), Port}, Failed);
  if (Failed)
    throw std::system_error(std::make_error_code(std::errc::address_in_use),
                            Host + ":" + std::to_string(Port) + ": " +
                                Failed.message());
  Of.start_accept(Failed);
  boost::system::error_code Ignored;
  return Of.get_local_endpoint(Ignored).port();
}

void WebSockets::stopListening() {
  WsError Ignored;
  if (State_->Server_.is_listening())
    State_->Server_.stop_listening(Ignored);
}

WebSocketId WebSockets::open(const std::string &Host, std::uint16_t Port) {
  WsError Failed;
  const Client::connection_ptr Plain = State_->Client_.get_connection(
      "ws://" + Host + ":" + std::to_string(Port) + "/peer", Failed);
  if (Failed)
    return 0;
  const WebSocketId Id = ++State_->LastId_;
  State_->Connections_.emplace(Id, Plain);
  State_->watch(Plain, Id);
  Plain->set_open_handler([Weak = State_->weak_from_this(), Id,
                           Of = std::weak_ptr(Plain)](const connection_hdl &) {
    const auto Self = Weak.lock();
    const auto Opened = Of.lock();
    if (Self && Opened)
      Self->connected(Id, Opened);
  });
  State_->Client_.connect(Plain);
  return Id;
}

bool WebSockets::send(WebSocketId Id, const std::string &Bytes) {
  const auto Known = State_->Connections_.find(Id);
  if (Known == State_->Connections_.end())
    return false;
  return std::visit(
      [&](const auto &Plain) {
        return !Plain->send(Bytes, websocketpp::frame::opcode::binary);
      },
      Known->second);
}

void WebSockets::close(WebSocketId Id, int CloseCode,
                       const std::string &Reason) {
  const auto Known = State_->Connections_.find(Id);
  if (Known == State_->Connections_.end())
    return;
  const Connection Closing = std::move(Known->second);
  State_->Connections_.erase(Known);
  WsError Ignored;
  std::visit(
      [&](const auto &Plain) {
        Plain->close(closeStatus(CloseCode), Reason, Ignored);
      },
      Closing);
}

std::size_t WebSockets::queuedBytes(WebSocketId Id) const {
  const auto Known = State_->Connections_.find(Id);
  if (Known == State_->Connections_.end())
    return 0;
  return std::visit(
      [](const auto &Plain) { return Plain->get_buffered_amount(); },
      Known->second);
}

void WebSockets::limitMessages(WebSocketId Id, std::size_t Bytes) {
  const auto Known = State_->Connections_.find(Id);
  if (Known != State_->Connections_.end())
    std::visit([&](const auto &Plain) { Plain->set_max_message_size(Bytes); },
               Known->second);
}

} // namespace cumingauge::adapters
