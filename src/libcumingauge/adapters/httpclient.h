#pragma once

#include "model/time.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// How a service is reached over HTTP.
struct HttpClientSettings {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  model::milliseconds ConnectTimeout_{1000};
  model::milliseconds AnswerTimeout_{2000}; ///< beyond the wait of a call
  std::string
      CapturedHeader_; ///< field of answers that the caller wants to know
};

struct HttpClientCall {
  std::string Method_;
  std::string Target_;
  std::string Body_;
  std::string ContentType_;
  model::milliseconds Wait_{0}; ///< how long the service may take by intent
  /// A new connection for a call that must not be sent twice: on an idle one,
  /// the service's close could cross the request.
  bool NewConnection_ = false;
  /// Sent again when an idle connection turns out to be closed. Not for a call
  /// that waits for news: what it missed must be asked for first.
  bool Repeatable_ = true;
};

struct HttpClientAnswer {
  bool Answered_ = false;
  bool MayHaveSent_ = false; ///< without an answer: part of the call was sent
  unsigned Status_ = 0;
  std::string CapturedValue_; ///< value of CapturedHeader_
  std::string Body_;
};

using HttpClientHandler = std::function<void(const HttpClientAnswer &)>;

/// Makes calls to one service, several at a time, on connections that are
/// kept. A connection on which the peer has gone silent is found by keep-alive
/// probes. Answers arrive on the thread that runs the io_context.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &Io, HttpClientSettings Settings);

  void call(HttpClientCall Call, HttpClientHandler Handler);

private:
  struct Pool;
  class Session;
  std::shared_ptr<Pool> Pool_;
};

} // namespace cumingauge::adapters
