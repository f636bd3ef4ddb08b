#include "adapters/storeclient.h"
#include "control/changewriter.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

/// Writes changes at a constant rate, as an operator would, and prints when
/// each was accepted. Arguments: store port, number of changes, ms between
/// them.
namespace {

using namespace cumingauge;

model::TimePoint now() { return std::chrono::steady_clock::now(); }

std::uint64_t wallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<model::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

model::ChangeAction makeAction(unsigned Index) {
  constexpr unsigned Servers = 27;
  model::BackendServer Server;
  Server.Name_ = "catalogue-" + std::to_string(Index % Servers);
  Server.Vm_ = Server.Name_ + "-vm-" + std::to_string(Index / Servers);
  Server.Service_ = "catalogue";
  Server.Zone_ = "milano-a";
  Server.Host_ = "127.0.0.1";
  Server.Port_ = 9000;
  return model::PutServer{Server};
}

control::WriteOutcome write(const ports::Store &Store,
                            boost::asio::io_context &Io, unsigned Index) {
  control::WriteRequest Request;
  Request.Id_ = "bench-" + std::to_string(Index);
  Request.Author_ = "bench";
  Request.Action_ = makeAction(Index);
  Request.WallMs_ = wallMs();
  control::ChangeWriter Writer = control::startWrite(Request, {}, now());
  while (true) {
    const control::WriterStep Step = control::nextStep(Writer, now());
    if (Step.Outcome_)
      return *Step.Outcome_;
    std::this_thread::sleep_for(Step.Delay_);
    Store.Execute_(*Step.Request_, [&](const ports::StoreResponse &Answer) {
      control::handleResponse(Writer, Answer, now());
    });
    Io.restart();
    Io.run();
  }
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 4)
    return 1;
  adapters::HttpClientSettings Settings;
  Settings.Port_ = static_cast<std::uint16_t>(std::atoi(Argv[1]));
  const auto Count = static_cast<unsigned>(std::atoi(Argv[2]));
  const model::milliseconds Period(std::atoi(Argv[3]));
  boost::asio::io_context Io{1};
  const ports::Store Store = adapters::makeStoreClient(Io, Settings);
  for (unsigned I = 0; I < Count; ++I) {
    const model::TimePoint Next = now() + Period;
    const control::WriteOutcome Outcome = write(Store, Io, I);
    if (const auto *Accepted = std::get_if<control::WriteAccepted>(&Outcome))
      std::cout << "{\"timeMs\":" << wallMs()
                << ",\"version\":" << Accepted->Change_.Version_ << "}"
                << std::endl;
    else
      std::cerr << "change " << I << ": "
                << model::nameOf(control::codeOf(Outcome)) << "\n";
    std::this_thread::sleep_until(Next);
  }
}
