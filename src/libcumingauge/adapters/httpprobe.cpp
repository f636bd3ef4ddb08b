#include "adapters/httpprobe.h"

namespace cumingauge::adapters {

namespace {

constexpr std::size_t MaxReportBytes = 4096;
constexpr unsigned StatusOk = 200;

} // namespace

HttpProbe::HttpProbe(boost::asio::io_context &Io,
                     std::shared_ptr<HttpPool> Pool,
                     const traffic::Dialect &Names, std::string Path,
                     Handler OnEnd)
    : Timer_(Io), Pool_(std::move(Pool)), Names_(Names), Path_(std::move(Path)),
      OnEnd_(std::move(OnEnd)) {}

void HttpProbe::start(model::milliseconds Timeout) {
  Timer_.expires_after(Timeout);
  Timer_.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->end(std::nullopt);
      });
  const auto Ticket = Pool_->lease(
      /*CallId=*/"",
      [Self = shared_from_this()](std::shared_ptr<HttpConnection> Leased) {
        Self->onConnection(std::move(Leased));
      });
  if (!Connection_ && OnEnd_)
    Ticket_ = Ticket;
}

void HttpProbe::onConnection(std::shared_ptr<HttpConnection> Connection) {
  Ticket_ = HttpPool::NoTicket;
  if (!Connection)
    return end(std::nullopt);
  Connection_ = std::move(Connection);
  Exchange Outgoing;
  Outgoing.Head_ = "GET " + Path_ + " HTTP/1.1\r\nHost: backend\r\n\r\n";
  Outgoing.Handler_ = [Self = shared_from_this()](ExchangeStep Step) {
    Self->onExchange(Step);
  };
  Connection_->send(std::move(Outgoing));
}

void HttpProbe::onExchange(ExchangeStep Step) {
  switch (Step) {
  case ExchangeStep::Head:
    Result_.Notice_ = Connection_->head().Notice_;
    return;
  case ExchangeStep::BodyWanted:
    return;
  case ExchangeStep::Body:
    Body_.append(Connection_->body());
    if (Body_.size() > MaxReportBytes)
      return end(std::nullopt);
    return Connection_->resume();
  case ExchangeStep::End:
    return handleReport();
  default:
    Result_.Fault_ = Connection_->fault();
    Result_.Status_ = Connection_->status();
    return end(std::nullopt);
  }
}

void HttpProbe::handleReport() {
  const traffic::AnswerHead Head = Connection_->head();
  Connection_ = nullptr;
  // A server at its limit refuses the probe, but its answer has a load report.
  if (!Head.Report_.empty())
    return end(Names_.ReadReport_(Head.Report_));
  if (Head.Status_ != StatusOk)
    return end(std::nullopt);
  end(Names_.ReadReport_(Body_));
}

void HttpProbe::end(std::optional<model::LoadReport> Report) {
  Timer_.cancel();
  if (Ticket_ != HttpPool::NoTicket)
    Pool_->cancel(Ticket_);
  Ticket_ = HttpPool::NoTicket;
  const auto Connection = std::move(Connection_);
  Connection_ = nullptr;
  if (Connection)
    Connection->abandon();
  Result_.Report_ = std::move(Report);
  const Handler OnEnd = std::move(OnEnd_);
  OnEnd_ = nullptr;
  if (OnEnd)
    OnEnd(Result_);
}

} // namespace cumingauge::adapters
