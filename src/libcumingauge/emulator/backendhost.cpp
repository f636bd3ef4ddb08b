#include "emulator/backendhost.h"
#include "emulator/jsonanswer.h"
#include <boost/asio/post.hpp>
#include <future>

namespace cumingauge::emulator {

using ExchangePtr = std::shared_ptr<HttpExchange>;

namespace {

const std::string ServersPath = "/servers";

} // namespace

BackendHost::BackendHost(boost::asio::io_context &AdminContext,
                         const BackendSettings &Settings)
    : Settings_(Settings),
      Admin_(AdminContext,
             [this](const ExchangePtr &Exchange) { handle(Exchange); }) {
  std::shared_ptr<JournalFile> File;
  if (!Settings.JournalFile_.empty())
    File = std::make_shared<JournalFile>(Settings.JournalFile_);
  for (unsigned I = 0; I < Settings.Threads_; ++I) {
    Workers_.push_back(std::make_unique<Worker>());
    Guards_.emplace_back(Workers_.back()->Context_.get_executor());
  }
  for (std::size_t I = 0; I < Settings.Servers_.size(); ++I) {
    const ServerSettings &Server = Settings.Servers_[I];
    Servers_.push_back(std::make_shared<FakeServer>(
        Workers_[I % Workers_.size()]->Context_, Server,
        behaviourOf(Settings, Server), Settings.JournalEntries_, File,
        Settings.Seed_ + I));
  }
}

BackendHost::~BackendHost() { stop(); }

std::uint16_t BackendHost::start() {
  for (const auto &Server : Servers_)
    Server->start();
  const std::uint16_t Port =
      Admin_.listen(Settings_.Admin_.Host_, Settings_.Admin_.Port_);
  for (const auto &One : Workers_)
    One->Thread_ = std::thread([&Context = One->Context_] { Context.run(); });
  return Port;
}

void BackendHost::stop() {
  Admin_.stopListening();
  Admin_.closeConnections(false);
  for (const auto &Server : Servers_)
    boost::asio::post(Server->context(),
                      [Server] { Server->stop(StopMode::Graceful); });
  Guards_.clear();
  for (const auto &One : Workers_)
    if (One->Thread_.joinable())
      One->Thread_.join();
}

codec::Json BackendHost::describe() const {
  codec::Json List = codec::Json::array();
  for (const auto &Server : Servers_) {
    std::promise<ServerCounters> Counters;
    boost::asio::post(Server->context(), [&Counters, &Server] {
      Counters.set_value(Server->counters());
    });
    List.push_back(codec::toJson(Counters.get_future().get()));
  }
  return List;
}

void BackendHost::handle(const ExchangePtr &Exchange) {
  const auto Parsed = parseTarget(Exchange->Request_.Target_);
  if (!Parsed || Parsed->Path_.rfind(ServersPath, 0) != 0)
    return Exchange->Answer_(textAnswer(404, "no such path"));
  if (Parsed->Path_ == ServersPath)
    return Exchange->Answer_(jsonAnswer(200, describe()));
  Target Where = *Parsed;
  const std::string Rest = Where.Path_.substr(ServersPath.size() + 1);
  const std::size_t Slash = Rest.find('/');
  for (const auto &Server : Servers_) {
    if (Slash == std::string::npos || Server->name() != Rest.substr(0, Slash))
      continue;
    Where.Path_ = Rest.substr(Slash);
    boost::asio::post(Server->context(), [this, Server, Exchange, Where] {
      handleServerRequest(Server, Exchange, Where);
    });
    return;
  }
  Exchange->Answer_(textAnswer(404, "no such server"));
}

void BackendHost::handleServerRequest(const std::shared_ptr<FakeServer> &Server,
                                      const ExchangePtr &Exchange,
                                      const Target &Where) {
  if (Server->handleAdmin(Exchange, Where))
    return;
  if (Where.Path_ == "/stop") {
    Server->stop(Where.value("mode") == "kill" ? StopMode::Kill
                                               : StopMode::Graceful);
  } else if (Where.Path_ == "/start") {
    try {
      if (!Server->counters().Listening_)
        Server->start();
    } catch (const boost::system::system_error &Error) {
      return Exchange->Answer_(textAnswer(409, Error.what()));
    }
  } else {
    return Exchange->Answer_(textAnswer(404, "no such path"));
  }
  Exchange->Answer_(jsonAnswer(200, codec::toJson(Server->counters())));
}

} // namespace cumingauge::emulator
