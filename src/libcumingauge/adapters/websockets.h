#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// Identifies a connection of a WebSockets object; 0 is never used.
using WebSocketId = std::uint64_t;

/// Callbacks to the owner of the connections. They run on the thread of the
/// io_context.
struct WebSocketHandlers {
  std::function<bool()> CanAccept_; ///< false refuses a new connection
  std::function<void(WebSocketId, const std::string &RemoteHost)> OnAccepted_;
  std::function<void(WebSocketId)> OnConnected_;
  std::function<void(WebSocketId, const std::string &Bytes, bool Binary)>
      OnBytes_;
  /// The connection was closed by the other side, has failed or could not be
  /// opened. Not called after WebSockets::close.
  std::function<void(WebSocketId, int CloseCode)> OnEnded_;
};

/// Accepts and opens WebSocket connections and gives both kinds one interface.
class WebSockets {
public:
  /// \param InitialMaxMessageBytes largest message accepted from a connection
  /// until setMaxMessageBytes is called for it.
  WebSockets(boost::asio::io_context &Io, WebSocketHandlers Handlers,
             std::size_t InitialMaxMessageBytes, unsigned OpenTimeoutMs);
  ~WebSockets();

  /// Starts to accept connections.
  /// \returns the bound port.
  /// \throws std::system_error when the address cannot be bound.
  std::uint16_t listen(const std::string &Host, std::uint16_t Port);
  void stopListening();

  /// Starts to open a connection; OnConnected_ or OnEnded_ gives the result.
  /// \returns the identifier of the connection, or 0 when the address is not
  /// valid.
  WebSocketId open(const std::string &Host, std::uint16_t Port);

  /// Queues a binary message.
  /// \returns false when the connection is closed or unknown.
  bool send(WebSocketId Id, const std::string &Bytes);

  /// Closes a connection; none of its callbacks is called afterwards.
  void close(WebSocketId Id, int CloseCode, const std::string &Reason);

  /// Returns the number of bytes queued for sending.
  std::size_t queuedBytes(WebSocketId Id) const;

  /// Sets the largest message accepted from a connection.
  void setMaxMessageBytes(WebSocketId Id, std::size_t Bytes);

private:
  std::shared_ptr<struct WebSocketsState> State_;
};

} // namespace cumingauge::adapters
