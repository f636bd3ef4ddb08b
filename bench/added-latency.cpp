// Latency that one entry process adds to a call: the same load goes by turns
// straight to a backend server and through the traffic threads to it. Arrivals
// are open-loop; a latency counts from the time that a call was due.
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

/// A backend server that answers every request at once.
class Echo {
public:
  explicit Echo(std::size_t BodyBytes)
      : Acceptor_(Io_, loopback(0)),
        Answer_("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Endpoint-Load-Metrics-Json: "
                "{\"inFlight\":1,\"queued\":0,\"slots\":3,\"ageMs\":2}\r\n"
                "Content-Length: " +
                std::to_string(BodyBytes) + "\r\n\r\n" +
                std::string(BodyBytes, 'b')) {
    accept();
    Thread_ = std::thread([this] {
      Io_.run();
      CpuSeconds_ = threadCpuSeconds();
    });
  }

  ~Echo() { stop(); }

  /// Ends the thread. \returns the processor time that it has used.
  double stop() {
    Io_.stop();
    if (Thread_.joinable())
      Thread_.join();
    return CpuSeconds_;
  }

  std::uint16_t port() const { return Acceptor_.local_endpoint().port(); }

  static double threadCpuSeconds() {
    timespec Used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
    return static_cast<double>(Used.tv_sec) +
           static_cast<double>(Used.tv_nsec) * 1e-9;
  }

private:
  struct Session {
    explicit Session(tcp::socket Socket) : Socket_(std::move(Socket)) {}
    tcp::socket Socket_;
    std::string In_;
    std::array<char, 4096> Buffer_{};
  };

  void accept() {
    Acceptor_.async_accept([this](error_code Error, tcp::socket Socket) {
      if (Error)
        return;
      Socket.set_option(tcp::no_delay(true));
      read(std::make_shared<Session>(std::move(Socket)));
      accept();
    });
  }

  void read(const std::shared_ptr<Session> &To) {
    To->Socket_.async_read_some(
        boost::asio::buffer(To->Buffer_),
        [this, To](error_code Error, std::size_t Bytes) {
          if (Error)
            return;
          To->In_.append(To->Buffer_.data(), Bytes);
          if (To->In_.size() < 4 ||
              To->In_.compare(To->In_.size() - 4, 4, "\r\n\r\n") != 0)
            return read(To);
          To->In_.clear();
          boost::asio::async_write(To->Socket_, boost::asio::buffer(Answer_),
                                   [this, To](error_code Failed, std::size_t) {
                                     if (!Failed)
                                       read(To);
                                   });
        });
  }

  boost::asio::io_context Io_{1};
  tcp::acceptor Acceptor_;
  const std::string Answer_;
  double CpuSeconds_ = 0;
  std::thread Thread_;
};

/// The caller's side of one arm.
class Arm {
public:
  Arm(boost::asio::io_context &Io, std::uint16_t Port, std::size_t BodyBytes,
      std::size_t Connections)
      : BodyBytes_(BodyBytes), Request_(requestText()) {
    for (std::size_t I = 0; I < Connections; ++I) {
      Links_.push_back(std::make_unique<Link>(Io));
      Links_.back()->Socket_.connect(loopback(Port));
      Links_.back()->Socket_.set_option(tcp::no_delay(true));
      Idle_.push_back(Links_.back().get());
    }
  }

  void call(Clock::time_point Due) {
    if (Idle_.empty()) {
      Waiting_.push_back(Due);
      return;
    }
    Link &On = *Idle_.back();
    Idle_.pop_back();
    begin(On, Due);
  }

  bool isBusy() const { return Idle_.size() < Links_.size(); }
  std::vector<double> &latencies() { return Latencies_; }
  unsigned failures() const { return Failures_; }

private:
  struct Link {
    explicit Link(boost::asio::io_context &Io) : Socket_(Io) {}
    tcp::socket Socket_;
    std::string In_;
    std::array<char, 8192> Buffer_{};
    Clock::time_point Due_;
  };

  void begin(Link &On, Clock::time_point Due) {
    On.Due_ = Due;
    On.In_.clear();
    boost::asio::async_write(On.Socket_, boost::asio::buffer(Request_),
                             [this, &On](error_code Error, std::size_t) {
                               if (Error)
                                 ++Failures_;
                               else
                                 read(On);
                             });
  }

  void read(Link &On) {
    On.Socket_.async_read_some(
        boost::asio::buffer(On.Buffer_),
        [this, &On](error_code Error, std::size_t Bytes) {
          if (Error) {
            ++Failures_;
            return;
          }
          On.In_.append(On.Buffer_.data(), Bytes);
          const std::size_t Head = On.In_.find("\r\n\r\n");
          if (Head == std::string::npos ||
              On.In_.size() < Head + 4 + BodyBytes_)
            return read(On);
          end(On);
        });
  }

  void end(Link &On) {
    if (On.In_.compare(0, 12, "HTTP/1.1 200") != 0)
      ++Failures_;
    Latencies_.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - On.Due_)
            .count());
    if (Waiting_.empty()) {
      Idle_.push_back(&On);
      return;
    }
    const Clock::time_point Due = Waiting_.front();
    Waiting_.erase(Waiting_.begin());
    begin(On, Due);
  }

  const std::size_t BodyBytes_;
  const std::string Request_;
  std::vector<std::unique_ptr<Link>> Links_;
  std::vector<Link *> Idle_;
  std::vector<Clock::time_point> Waiting_;
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
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) * 1e-9;
}

double quantile(std::vector<double> &Sorted, double Share) {
  const auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

nlohmann::ordered_json describe(Arm &Measured) {
  std::vector<double> &Latencies = Measured.latencies();
  std::sort(Latencies.begin(), Latencies.end());
  return {{"calls", Latencies.size()},
          {"failures", Measured.failures()},
          {"p50_ms", quantile(Latencies, 0.5)},
          {"p90_ms", quantile(Latencies, 0.9)},
          {"p99_ms", quantile(Latencies, 0.99)},
          {"p999_ms", quantile(Latencies, 0.999)}};
}

long number(const std::map<std::string, docopt::value> &Args,
            const std::string &Name) {
  return std::stol(Args.at(Name).asString());
}

} // namespace

int main(int Argc, char **Argv) {
  const auto Args = docopt::docopt(Usage, {Argv + 1, Argv + Argc});
  const auto BodyBytes = static_cast<std::size_t>(number(Args, "--body"));
  const auto Connections =
      static_cast<std::size_t>(number(Args, "--connections"));
  Echo Backend(BodyBytes);
  const auto Entry = startEntry(
      static_cast<unsigned>(number(Args, "--threads")), Backend.port());
  boost::asio::io_context Io{1};
  Arm Direct(Io, Backend.port(), BodyBytes, Connections);
  Arm Through(Io, Entry->port(), BodyBytes, Connections);

  pcg64 Random(static_cast<std::uint64_t>(number(Args, "--seed")));
  std::exponential_distribution<double> Gap(
      static_cast<double>(number(Args, "--rate")));
  const Clock::time_point End =
      Clock::now() + std::chrono::seconds(number(Args, "--seconds"));
  // The first calls open the connections and are not counted.
  const Clock::time_point Warm = Clock::now() + std::chrono::seconds(1);
  bool IsWarm = false;
  Clock::time_point Due = Clock::now();
  for (unsigned Turn = 0; Due < End || Direct.isBusy() || Through.isBusy();) {
    Io.poll();
    Io.restart();
    if (!IsWarm && Due > Warm) {
      IsWarm = true;
      Direct.latencies().clear();
      Through.latencies().clear();
    }
    if (Due >= End || Clock::now() < Due)
      continue;
    (Turn++ % 2 == 0 ? Direct : Through).call(Due);
    Due += std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(Gap(Random)));
  }
  const double CallerCpu = Echo::threadCpuSeconds();
  const double BackendCpu = Backend.stop();
  const double EntryCpu = processCpuSeconds() - CallerCpu - BackendCpu;
  const auto Calls = Entry->stats().Attempts_;
  Entry->stop();

  nlohmann::ordered_json Out;
  Out["direct"] = describe(Direct);
  Out["through"] = describe(Through);
  for (const char *Name : {"p50_ms", "p99_ms", "p999_ms"})
    Out["added"][Name] =
        Out["through"][Name].get<double>() - Out["direct"][Name].get<double>();
  Out["entry_cpu_us_per_call"] = EntryCpu * 1e6 / static_cast<double>(Calls);
  Out["calls_per_core_second"] = static_cast<double>(Calls) / EntryCpu;
  std::cout << Out.dump() << "\n";
  return 0;
}
