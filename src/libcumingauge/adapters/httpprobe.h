#pragma once

#include "adapters/httppool.h"
#include "model/loadreport.h"
#include "model/servernotice.h"
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cumingauge::adapters {

/// Requests a load report from one backend server.
class HttpProbe : public std::enable_shared_from_this<HttpProbe> {
public:
  /// What a probe has brought.
  struct Result {
    std::optional<model::LoadReport> Report_; ///< absent when the probe failed
    model::ServerNotice Notice_;
    model::AnswerFault Fault_ = model::AnswerFault::None; ///< of the answer
    unsigned Status_ = 0; ///< that was received, with a fault; 0 without one
  };
  /// Receives the result. Called once.
  using Handler = std::function<void(const Result &)>;

  /// \param Names must outlive the probe.
  HttpProbe(boost::asio::io_context &Io, std::shared_ptr<HttpPool> Pool,
            const traffic::Dialect &Names, std::string Path, Handler OnEnd);

  void start(model::milliseconds Timeout);

private:
  void onConnection(std::shared_ptr<HttpConnection> Connection);
  void onExchange(ExchangeStep Step);
  void handleReport();
  void end(std::optional<model::LoadReport> Report);

  boost::asio::steady_timer Timer_;
  std::shared_ptr<HttpPool> Pool_;
  const traffic::Dialect &Names_;
  const std::string Path_;
  Handler OnEnd_;
  HttpPool::Ticket Ticket_ = HttpPool::NoTicket;
  std::shared_ptr<HttpConnection> Connection_;
  std::string Body_;
  Result Result_; ///< as far as it is known
};

} // namespace cumingauge::adapters
