#include "adapters/httptraffic.h"
#include "adapters/httpworker.h"
#include "adapters/log.h"
#include "policy/callerconnections.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <sys/resource.h>
#include <thread>

namespace cumingauge::adapters {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, for example for lack of file descriptors.
constexpr model::milliseconds AcceptPause{20};

/// Receive buffer of a connection once there are few again.
constexpr unsigned LargeReceiveBytes = 65536;

/// Returns how many connections of callers the descriptors of this process
/// allow, of which the settings and the system may each state fewer.
unsigned mostCallerConnections(const HttpLimits &Limits) {
  rlimit Own{};
  if (getrlimit(RLIMIT_NOFILE, &Own) != 0)
    Own.rlim_cur = RLIM_INFINITY;
  return policy::callerConnectionLimit(
      std::min<std::uint64_t>(Own.rlim_cur, Limits.Descriptors_));
}

class HttpTrafficImpl : public HttpTraffic {
public:
  HttpTrafficImpl(const TrafficSettings &Settings, Hooks Hooks)
      : Common_(std::make_shared<HttpWorker::SharedState>()) {
    Common_->Settings_ = Settings;
    Common_->Hooks_ = std::move(Hooks);
    Common_->MostCallerConnections_ = mostCallerConnections(Settings.Limits_);
    Common_->ShareNotice_ =
        [this](const HttpWorker &From, const std::string &Server,
               const std::string &Vm, const model::ServerNotice &Notice) {
          for (const auto &Worker : Workers_)
            if (Worker.get() != &From)
              Worker->applyNotice(Server, Vm, Notice);
        };
    for (unsigned I = 0; I < Settings.Threads_; ++I)
      Workers_.push_back(std::make_unique<HttpWorker>(Common_, I));
    Acceptor_ = std::make_unique<tcp::acceptor>(
        Workers_.front()->io(),
        tcp::endpoint(boost::asio::ip::make_address(Settings.Listen_.Host_),
                      Settings.Listen_.Port_));
    AcceptTimer_ =
        std::make_unique<boost::asio::steady_timer>(Workers_.front()->io());
    DrainTimer_ =
        std::make_unique<boost::asio::steady_timer>(Workers_.front()->io());
    Port_ = Acceptor_->local_endpoint().port();
    accept();
    for (const auto &Worker : Workers_)
      Threads_.emplace_back([&Worker] { Worker->run(); });
  }

  ~HttpTrafficImpl() override { stop(); }

  void applyView(std::shared_ptr<const model::ControlView> View) override {
    for (const auto &Worker : Workers_)
      Worker->applyView(View);
  }

  void applyObservations(
      std::vector<control::ServerObservation> Observations) override {
    for (const auto &Worker : Workers_)
      Worker->applyObservations(Observations);
  }

  void applyCredit(std::uint64_t Request,
                   const control::CreditDecision &Decision) override {
    const unsigned Thread = traffic::creditRequestOf(Request).Thread_;
    if (Thread < Workers_.size())
      Workers_[Thread]->applyCredit(Request, Decision);
  }

  void setLimits(const HttpLimits &Limits) override {
    for (const auto &Worker : Workers_)
      Worker->setLimits(Limits);
  }

  std::vector<model::ServerActivity> activity() const override {
    std::map<std::pair<std::string, std::string>, model::ServerActivity> Sum;
    for (const auto &Worker : Workers_)
      for (const model::ServerActivity &Part : Worker->activity()) {
        const auto Added = Sum.try_emplace({Part.Server_, Part.Vm_}, Part);
        if (!Added.second)
          add(Added.first->second, Part);
      }
    std::vector<model::ServerActivity> Out;
    for (const auto &Entry : Sum)
      Out.push_back(Entry.second);
    return Out;
  }

  traffic::TrafficStats stats() const override {
    traffic::TrafficStats Sum;
    for (const auto &Worker : Workers_)
      traffic::addStats(Sum, Worker->stats());
    return Sum;
  }

  std::uint16_t port() const override { return Port_; }

  void drain(std::function<void()> Done) override {
    const auto WorkersLeft =
        std::make_shared<std::atomic<std::size_t>>(Workers_.size());
    boost::asio::post(Workers_.front()->io(), [this] { closeAcceptorLater(); });
    for (const auto &Worker : Workers_)
      Worker->drain([WorkersLeft, Done] {
        if (--*WorkersLeft == 0)
          Done();
      });
  }

  void stop() override {
    for (const auto &Worker : Workers_)
      Worker->stop();
    for (std::thread &Thread : Threads_)
      if (Thread.joinable())
        Thread.join();
  }

private:
  static void add(model::ServerActivity &Sum,
                  const model::ServerActivity &Part) {
    Sum.InFlight_ += Part.InFlight_;
    Sum.Connections_ += Part.Connections_;
    // Leaving only when every thread has applied the view that says so.
    Sum.Leaving_ = Sum.Leaving_ && Part.Leaving_;
  }

  /// Accepts on the first thread and assigns connections to all threads in
  /// turn, so that even a few connections are spread evenly.
  void accept() {
    HttpWorker &Next = *Workers_[NextWorker_++ % Workers_.size()];
    Acceptor_->async_accept(
        Next.io(), [this, &Next](error_code Error, tcp::socket Socket) {
          if (!Error)
            handOver(Next, std::move(Socket));
          if (!Acceptor_->is_open())
            return;
          if (Error)
            return retryAcceptLater();
          limitReceiveBuffers();
          accept();
        });
  }

  /// Sets the receive buffer of the connections that are opened from now on.
  /// The kernel cannot take back what it has offered on one that is open.
  void limitReceiveBuffers() {
    const auto Wanted = policy::receiveBufferBytes(Common_->CallerConnections_);
    if (Wanted == ReceiveBufferBytes_)
      return;
    ReceiveBufferBytes_ = Wanted;
    error_code Error;
    Acceptor_->set_option(
        boost::asio::socket_base::receive_buffer_size(
            static_cast<int>(Wanted.value_or(LargeReceiveBytes))),
        Error);
    if (Error)
      log(LogLevel::Warning, "receive buffer not set",
          {{"reason", Error.message()}});
  }

  /// Moves the connection to the thread that will serve it.
  static void handOver(HttpWorker &Worker, tcp::socket Socket) {
    const auto Handed = std::make_shared<tcp::socket>(std::move(Socket));
    boost::asio::post(Worker.io(), [&Worker, Handed] {
      Worker.addCallerConnection(std::move(*Handed));
    });
  }

  /// Closes the acceptor after the drain accept time. Until then whatever
  /// distributes connections over the processes may still choose this one.
  void closeAcceptorLater() {
    DrainTimer_->expires_after(Common_->Settings_.Limits_.DrainAcceptTime_);
    DrainTimer_->async_wait([this](error_code Cancelled) {
      if (!Cancelled)
        closeAcceptor();
    });
  }

  /// Takes the connections that wait to be accepted, whose callers may have
  /// sent requests already, and closes the acceptor.
  void closeAcceptor() {
    error_code Error;
    Acceptor_->non_blocking(true, Error);
    while (!Error) {
      HttpWorker &Next = *Workers_[NextWorker_++ % Workers_.size()];
      tcp::socket Socket(Next.io());
      Acceptor_->accept(Socket, Error);
      if (!Error)
        handOver(Next, std::move(Socket));
    }
    Acceptor_->close(Error);
  }

  void retryAcceptLater() {
    AcceptTimer_->expires_after(AcceptPause);
    AcceptTimer_->async_wait([this](error_code Error) {
      if (!Error && Acceptor_->is_open())
        accept();
    });
  }

  std::shared_ptr<HttpWorker::SharedState> Common_;
  std::vector<std::unique_ptr<HttpWorker>> Workers_;
  std::unique_ptr<tcp::acceptor> Acceptor_;
  std::unique_ptr<boost::asio::steady_timer> AcceptTimer_;
  std::unique_ptr<boost::asio::steady_timer> DrainTimer_;
  std::vector<std::thread> Threads_;
  std::uint16_t Port_ = 0;
  std::size_t NextWorker_ = 0;
  std::optional<unsigned> ReceiveBufferBytes_;
};

} // namespace

std::shared_ptr<HttpTraffic> startTraffic(const TrafficSettings &Settings,
                                          HttpTraffic::Hooks Hooks) {
  return std::make_shared<HttpTrafficImpl>(Settings, std::move(Hooks));
}

} // namespace cumingauge::adapters
