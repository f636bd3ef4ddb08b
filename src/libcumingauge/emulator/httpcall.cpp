#include "emulator/httpcall.h"
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace cumingauge::emulator {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

std::optional<HttpReply> callHttp(const HttpCall &Call) {
  asio::io_context Context(1);
  beast::tcp_stream Stream(Context);
  http::request<http::string_body> Request;
  Request.method_string(Call.Method_);
  Request.target(Call.Target_);
  Request.set(http::field::host, Call.Host_);
  Request.set(http::field::connection, "close");
  Request.body() = Call.Body_;
  Request.prepare_payload();
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  beast::flat_buffer Buffer;
  bool IsComplete = false;
  Stream.expires_after(Call.Timeout_);
  const asio::ip::tcp::endpoint Endpoint(asio::ip::make_address(Call.Host_),
                                         Call.Port_);
  Stream.async_connect(Endpoint, [&](beast::error_code ConnectError) {
    if (ConnectError)
      return;
    http::async_write(
        Stream, Request, [&](beast::error_code Error, std::size_t) {
          if (Error)
            return;
          http::async_read(Stream, Buffer, Parser,
                           [&](beast::error_code ReadError, std::size_t) {
                             IsComplete = !ReadError;
                           });
        });
  });
  Context.run();
  if (!IsComplete)
    return std::nullopt;
  return HttpReply{Parser.get().result_int(), Parser.get().body()};
}

} // namespace cumingauge::emulator
