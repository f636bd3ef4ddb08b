// Measures the latency that one entry process adds to a call. Calls alternate
// between two arms: directly to a backend server, and through the traffic
// threads to the same server. Arrivals are open-loop; the latency of a call
// counts from the time at which it was due.
#include "adapters/httptraffic.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <sys/resource.h>
#include <thread>

using namespace cumingauge;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

const char Usage[] = R"(Latency that one entry process adds to a call.

Usage:
  bench-added-latency [--rate N] [--seconds N] [--connections N]
                      [--threads N] [--seed N] [--body N]

Options:
  --rate N         Calls a second, over both arms [default: 4000].
  --seconds N      Length of the run [default: 10].
  --connections N  Connections of callers in each arm [default: 32].
  --threads N      Traffic threads [default: 1].
  --seed N         Seed of the arrivals [default: 1].
  --body N         Bytes in a body of an answer [default: 512].
)";

using Clock = std::chrono::steady_clock;

tcp::endpoint loopback(std::uint16_t Port) {
  return {boost::asio::ip::address_v4::loopback(), Port};
}

std::string requestText() {
  return "GET /search?title=aria HTTP/1.1\r\nHost: catalogue\r\n"
         "User-Agent: bench\r\nAccept: application/json\r\n"
         "X-Caller: producer-7\r\nX-Deadline-Ms: 1000\r\n\r\n";
}

/// A backend server that answers every request immediately with the same
/// answer.
class StaticBackend {
public:
  explicit StaticBackend(std::size_t BodyBytes)
      : Acceptor_(Io_, loopback(0)),
        Answer_("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Endpoint-Load-Metrics-Json: "
                "{\"inFlight\":1,\"queued\":0,\"slots\":3,\"ageMs\":2}\r\n"
                "Content-Length: " +
                std::to_string(BodyBytes) + "\r\n\r\n" +
                std::string(BodyBytes, 'b')) {
    acceptNext();
    Thread_ = std::thread([this] {
      Io_.run();
      CpuSeconds_ = threadCpuSeconds();
    });
  }

  ~StaticBackend() { stop(); }

  /// Stops the thread. \returns the CPU time that it has used, in seconds.
  double stop() {
    Io_.stop();
    if (Thread_.joinable())
      Thread_.join();
    return CpuSeconds_;
  }

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

  static double threadCpuSeconds() {
    timespec CpuTime{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &CpuTime);
    return static_cast<double>(CpuTime.tv_sec) +
           static_cast<double>(CpuTime.tv_nsec) * 1e-9;
  }

private:
  struct Session {
    explicit Session(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_;
    std::string In_;
    std::array<char, 4096> Buffer_{};
  };

  void acceptNext() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error)
        return;
      Socket.set_option(tcp::no_delay(true));
      read(std::make_shared<Session>(std::move(Socket)));
      acceptNext();
    });
  }

  void read(const std::shared_ptr<Session> &Conn) {
    Conn->Socket_.async_read_some(
        boost::asio::buffer(Conn->Buffer_),
        [this, Conn](error_code Error, std::size_t Bytes) {
          if (Error)
            return;
          Conn->In_.append(Conn->Buffer_.data(), Bytes);
          if (Conn->In_.size() < 4 ||
              Conn->In_.compare(Conn->In_.size() - 4, 4, "\r\n\r\n") != 0)
            return read(Conn);
          Conn->In_.clear();
          boost::asio::async_write(
              Conn->Socket_, boost::asio::buffer(Answer_),
              [this, Conn](error_code Failed, std::size_t) {
                if (!Failed)
                  read(Conn);
              });
        });
  }

  boost::asio::io_context Io_{1};
  tcp::acceptor Acceptor_;
  const std::string Answer_;
  double CpuSeconds_ = 0;
  std::thread Thread_;
};

/// Connections of callers to one port, with the latencies of their calls.
class Arm {
public:
  Arm(boost::asio::io_context &Io, std::uint16_t Port, std::size_t BodyBytes,
      std::size_t Connections)
      : BodyBytes_(BodyBytes), Request_(requestText()) {
    for (std::size_t I = 0; I < Connections; ++I) {
      Connections_.push_back(std::make_unique<Connection>(Io));
      Connections_.back()->Socket_.connect(loopback(Port));
      Connections_.back()->Socket_.set_option(tcp::no_delay(true));
      Idle_.push_back(Connections_.back().get());
    }
  }

  void startCall(Clock::time_point Due) {
    if (Idle_.empty()) {
      QueuedDueTimes_.push_back(Due);
      return;
    }
    Connection &Conn = *Idle_.back();
    Idle_.pop_back();
    sendRequest(Conn, Due);
  }

  bool isBusy() const { return Idle_.size() < Connections_.size(); }
  std::vector<double> &latencies() { return Latencies_; }
  unsigned failures() const { return Failures_; }

private:
  struct Connection {
    explicit Connection(boost::asio::io_context &Io) : Socket_(Io) {}
    tcp::socket Socket_;
    std::string In_;
    std::array<char, 8192> Buffer_{};
    Clock::time_point Due_;
  };

  void sendRequest(Connection &Conn, Clock::time_point Due) {
    Conn.Due_ = Due;
    Conn.In_.clear();
    boost::asio::async_write(Conn.Socket_, boost::asio::buffer(Request_),
                             [this, &Conn](error_code Error, std::size_t) {
                               if (Error)
                                 ++Failures_;
                               else
                                 read(Conn);
                             });
  }

  void read(Connection &Conn) {
    Conn.Socket_.async_read_some(
        boost::asio::buffer(Conn.Buffer_),
        [this, &Conn](error_code Error, std::size_t Bytes) {
          if (Error) {
            ++Failures_;
            return;
          }
          Conn.In_.append(Conn.Buffer_.data(), Bytes);
          const std::size_t Head = Conn.In_.find("\r\n\r\n");
          if (Head == std::string::npos ||
              Conn.In_.size() < Head + 4 + BodyBytes_)
            return read(Conn);
          finishCall(Conn);
        });
  }

  void finishCall(Connection &Conn) {
    if (Conn.In_.compare(0, 12, "HTTP/1.1 200") != 0)
      ++Failures_;
    Latencies_.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - Conn.Due_)
            .count());
    if (QueuedDueTimes_.empty()) {
      Idle_.push_back(&Conn);
      return;
    }
    const Clock::time_point Due = QueuedDueTimes_.front();
    QueuedDueTimes_.erase(QueuedDueTimes_.begin());
    sendRequest(Conn, Due);
  }

  const std::size_t BodyBytes_;
  const std::string Request_;
  std::vector<std::unique_ptr<Connection>> Connections_;
  std::vector<Connection *> Idle_;
  std::vector<Clock::time_point> QueuedDueTimes_;
  std::vector<double> Latencies_;
  unsigned Failures_ = 0;
};

std::shared_ptr<const model::ControlView> makeView(std::uint16_t Port) {
  model::Preset Preset;
  Preset.Name_ = "bench";
  Preset.Measuring_.ProbesPerSecond_ = 0;
  Preset.Routes_ = {{"search", "/search", "catalogue", true,
                     model::Priority::Urgent, model::milliseconds(2000), 4096}};
  auto Config = std::make_shared<model::ConfigState>();
  Config->Version_ = 1;
  Config->PresetInForce_ = "bench";
  Config->Presets_["bench"] = Preset;
  Config->Servers_["cat-1"] = {"cat-1",     "vm-1", "catalogue", "milano-a",
                               "127.0.0.1", Port,   64};
  auto View = std::make_shared<model::ControlView>();
  View->Config_ = Config;
  View->Confirmed_ = true;
  return View;
}

std::shared_ptr<adapters::HttpTraffic> startEntry(unsigned Threads,
                                                  std::uint16_t Backend) {
  adapters::TrafficSettings Settings;
  Settings.Threads_ = Threads;
  Settings.Zone_ = "milano-a";
  adapters::HttpTraffic::Hooks Hooks;
  Hooks.IsFresh_ = [](model::TimePoint) { return true; };
  Hooks.ReportObservation_ = [](const control::ServerObservation &) {};
  Hooks.Events_ = [](model::EventKind, const std::string &, std::uint64_t,
                     model::ResultCode, const std::string &) {};
  auto Entry = adapters::startTraffic(Settings, std::move(Hooks));
  Entry->applyView(makeView(Backend));
  return Entry;
}

double processCpuSeconds() {
  timespec CpuTime{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &CpuTime);
  return static_cast<double>(CpuTime.tv_sec) +
         static_cast<double>(CpuTime.tv_nsec) * 1e-9;
}

double quantile(std::vector<double> &Sorted, double Fraction) {
  const auto Index = static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

nlohmann::ordered_json summarize(Arm &Measured) {
  std::vector<double> &Latencies = Measured.latencies();
  std::sort(Latencies.begin(), Latencies.end());
  return {{"calls", Latencies.size()},
          {"failures", Measured.failures()},
          {"p50_ms", quantile(Latencies, 0.5)},
          {"p90_ms", quantile(Latencies, 0.9)},
          {"p99_ms", quantile(Latencies, 0.99)},
          {"p999_ms", quantile(Latencies, 0.999)}};
}

long integerArgument(const std::map<std::string, docopt::value> &Args,
                     const std::string &Name) {
  return std::stol(Args.at(Name).asString());
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Args = docopt::docopt(Usage, {Argv + 1, Argv + Argc});
  const auto BodyBytes =
      static_cast<std::size_t>(integerArgument(Args, "--body"));
  const auto Connections =
      static_cast<std::size_t>(integerArgument(Args, "--connections"));
  StaticBackend Backend(BodyBytes);
  const auto Entry =
      startEntry(static_cast<unsigned>(integerArgument(Args, "--threads")),
                 Backend.port());
  boost::asio::io_context Io{1};
  Arm Direct(Io, Backend.port(), BodyBytes, Connections);
  Arm ThroughEntry(Io, Entry->port(), BodyBytes, Connections);

  pcg64 Random(static_cast<std::uint64_t>(integerArgument(Args, "--seed")));
  std::exponential_distribution<double> Gap(
      static_cast<double>(integerArgument(Args, "--rate")));
  const Clock::time_point End =
      Clock::now() + std::chrono::seconds(integerArgument(Args, "--seconds"));
  // Calls of the first second open connections and are not counted.
  const Clock::time_point WarmUpEnd = Clock::now() + std::chrono::seconds(1);
  bool IsWarmedUp = false;
  Clock::time_point Due = Clock::now();
  for (unsigned CallIndex = 0;
       Due < End || Direct.isBusy() || ThroughEntry.isBusy();) {
    Io.poll();
    Io.restart();
    if (!IsWarmedUp && Due > WarmUpEnd) {
      IsWarmedUp = true;
      Direct.latencies().clear();
      ThroughEntry.latencies().clear();
    }
    if (Due >= End || Clock::now() < Due)
      continue;
    (CallIndex++ % 2 == 0 ? Direct : ThroughEntry).startCall(Due);
    Due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Gap(Random)));
  }
  const double CallerCpu = StaticBackend::threadCpuSeconds();
  const double BackendCpu = Backend.stop();
  const double EntryCpu = processCpuSeconds() - CallerCpu - BackendCpu;
  const auto Calls = Entry->stats().Attempts_;
  Entry->stop();

  nlohmann::ordered_json Out;
  Out["direct"] = summarize(Direct);
  Out["through"] = summarize(ThroughEntry);
  for (const char *Name : {"p50_ms", "p99_ms", "p999_ms"})
    Out["added"][Name] =
        Out["through"][Name].get<double>() - Out["direct"][Name].get<double>();
  Out["entry_cpu_us_per_call"] = EntryCpu * 1e6 / static_cast<double>(Calls);
  Out["calls_per_core_second"] = static_cast<double>(Calls) / EntryCpu;
  std::cout << Out.dump() << "\n";
  return 0;
}
