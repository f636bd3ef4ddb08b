#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

using WebSocketId = std::uint64_t;

/// What the owner of the connections is told, on the thread that runs the
/// io_context.
struct WebSocketHandlers {
  std::function<bool()> MayAccept_; ///< false turns a new connection away
  std::function<void(WebSocketId, const std::string &RemoteHost)> OnAccepted_;
  std::function<void(WebSocketId)> OnConnected_;
  std::function<void(WebSocketId, const std::string &Bytes, bool Binary)>
      OnBytes_;
  /// The connection has ended by the other side or the network; also when it
  /// could not be opened. Not called after close.
  std::function<void(WebSocketId, int CloseCode)> OnEnded_;
};

/// WebSocket connections of both directions behind one interface.
class WebSockets {
public:
  /// \param FirstMessageLimit bytes taken from a connection until
  /// limitMessages is called for it.
  WebSockets(boost::asio::io_context &Io, WebSocketHandlers Handlers,
             std::size_t FirstMessageLimit, unsigned OpenTimeoutMs);
  ~WebSockets();

  /// Accepts connections from now on. Throws std::system_error when the
  /// address cannot be bound. \returns the port.
  std::uint16_t listen(const std::string &Host, std::uint16_t Port);
  void stopListening();

  /// \returns 0 when the address is not valid.
  WebSocketId open(const std::string &Host, std::uint16_t Port);

  /// \returns false when the connection can take no message any more.
  bool send(WebSocketId Id, const std::string &Bytes);
  void close(WebSocketId Id, int CloseCode, const std::string &Reason);
  std::size_t queuedBytes(WebSocketId Id) const;
  void limitMessages(WebSocketId Id, std::size_t Bytes);

private:
  std::shared_ptr<struct WebSocketsState> State_;
};

} // namespace cumingauge::adapters
