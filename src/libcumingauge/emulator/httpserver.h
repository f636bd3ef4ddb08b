#pragma once

#include "emulator/httpmessage.h"
#include "model/time.h"
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::emulator {

/// A request that waits for its answer. Only the first call of Answer_ or Drop_
/// takes effect; both are safe from any thread.
struct HttpExchange {
  HttpRequest Request_;
  std::function<void(HttpAnswer)> Answer_;
  /// Closes the connection without an answer; with a TCP reset when true.
  std::function<void(bool)> Drop_;
  /// Set by the handler; called when the connection closes before the answer.
  std::function<void()> OnDisconnect_;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

struct HttpServerOptions {
  /// Bytes kept of each request body; the rest is only counted.
  std::uint64_t KeptBodyBytes_ = 2097152;
  unsigned MaxConnections_ = 10000; ///< further ones are closed on arrival
  /// Returns the delay before the first request of a new connection is read.
  std::function<model::microseconds()> ConnectionCost_;
};

/// HTTP/1.1 server on one io_context that is run by one thread.
class HttpServer {
public:
  HttpServer(boost::asio::io_context &Context, HttpHandler Handler,
             HttpServerOptions Options = {});
  ~HttpServer();

  /// Binds the address, accepts connections and returns the port. Port 0 picks
  /// a free one. Throws boost::system::system_error when the address cannot be
  /// bound.
  std::uint16_t listen(const std::string &Host, std::uint16_t Port);

  /// Stops accepting connections; the open ones stay.
  void stopListening();

  /// Closes every open connection; with a TCP reset when \p Reset is true.
  void closeConnections(bool Reset);

  unsigned connections() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace cumingauge::emulator
