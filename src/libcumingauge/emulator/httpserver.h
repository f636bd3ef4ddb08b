#pragma once

#include "emulator/httpmessage.h"
#include "model/time.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::emulator {

/// One request that waits for its answer. Exactly one of Answer_ and Drop_
/// takes effect, once; both are safe from any thread.
struct HttpExchange {
  HttpRequest Request_;
  std::function<void(HttpAnswer)> Answer_;
  /// Closes the connection without an answer, by a reset when asked.
  std::function<void(bool)> Drop_;
  /// Set by the handler: the caller has closed the connection.
  std::function<void()> OnDisconnect_;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

struct HttpServerOptions {
  std::uint64_t KeptBodyBytes_ = 2097152; ///< more is read and counted only
  unsigned MaxConnections_ = 10000;       ///< more are closed at once
  /// Time that a new connection waits before its first request is read.
  std::function<model::microseconds()> ConnectionCost_;
};

/// HTTP/1.1 server on one io_context that is run by one thread.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, HttpHandler Handler,
             HttpServerOptions Options = {});
  ~HttpServer();

  /// Binds and accepts. Port 0 takes a free one. Throws
  /// boost::system::system_error when the address cannot be bound.
  std::uint16_t listen(const std::string &Host, std::uint16_t Port);

  /// Refuses new connections; the open ones stay.
  void stopListening();

  /// Closes every open connection, by a reset when asked.
  void closeConnections(bool Reset);

  unsigned connections() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace cumingauge::emulator
