#pragma once

#include "model/time.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// Address and timeouts of a service that is called over HTTP.
struct HttpClientSettings {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  model::milliseconds ConnectTimeout_{1000};
  model::milliseconds AnswerTimeout_{2000}; ///< added to a call's Wait_
  std::string CapturedHeader_; ///< answer field copied to CapturedValue_
};

struct HttpClientCall {
  std::string Method_;
  std::string Target_;
  std::string Body_;
  std::string ContentType_;
  model::milliseconds Wait_{0}; ///< how long a long poll may take
  /// Opens a new connection. For a call that must not be sent twice: on an idle
  /// connection, the service may close it while the request is on its way.
  bool NewConnection_ = false;
  /// Sends the call again when an idle connection turns out to be closed. Not
  /// for a long poll: the changes it has missed must be requested first.
  bool Repeatable_ = true;
};

struct HttpClientAnswer {
  bool Answered_ = false;
  bool MayHaveSent_ = false; ///< without an answer: part may have been sent
  unsigned Status_ = 0;
  std::string CapturedValue_; ///< value of CapturedHeader_
  std::string Body_;
};

using HttpClientHandler = std::function<void(const HttpClientAnswer &)>;

/// Makes calls to one service, several at a time, on persistent connections.
/// TCP keep-alive probes detect a peer that no longer responds. Handlers run on
/// the thread that runs the io_context.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &Io, HttpClientSettings Settings);

  /// Sends a call. \p Handler runs once, also when the call has failed.
  void call(HttpClientCall Call, HttpClientHandler Handler);

private:
  struct Pool;
  class Session;
  std::shared_ptr<Pool> Pool_;
};

} // namespace cumingauge::adapters
