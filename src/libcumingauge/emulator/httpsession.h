#pragma once

#include "emulator/httpserver.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cumingauge::emulator {

/// One accepted connection. Include this header in .cpp files only.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(
      boost::asio::ip::tcp::socket Socket, HttpHandler Handler,
      std::uint64_t KeptBodyBytes,
      std::function<void(const std::shared_ptr<HttpSession> &)> OnClosed);

  /// Reads the first request after \p ConnectionCost.
  void start(model::microseconds ConnectionCost);
  /// Closes the connection; with a TCP reset when \p Reset is true.
  void close(bool Reset);

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  void readHeader();
  void continueOrReadBody();
  void readBody();
  void dispatch();
  /// Closes the session when the peer disconnects before its answer.
  void watchForDisconnect();
  void answer(const std::shared_ptr<HttpExchange> &Exchange, HttpAnswer Answer);
  void writeBody();
  void finishAnswer();

  boost::asio::ip::tcp::socket Socket_;
  HttpHandler Handler_;
  std::uint64_t KeptBodyBytes_;
  std::function<void(const std::shared_ptr<HttpSession> &)> OnClosed_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::vector<char> Chunk_;
  std::shared_ptr<HttpExchange> Exchange_;
  HttpAnswer Answer_;
  std::string Out_;
  std::uint64_t Written_ = 0; ///< body bytes written so far
  std::uint64_t ToWrite_ = 0; ///< body bytes to write before the end or cut
  bool HeadOnly_ = false;
  bool KeepAlive_ = true;
  bool IsPeerWatched_ = false;
  bool Closed_ = false;
};

} // namespace cumingauge::emulator
