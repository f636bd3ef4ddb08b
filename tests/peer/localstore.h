#pragma once

#include "codec/describedjson.h"
#include "emulator/storeservice.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>

namespace cumingauge::testing {

/// Runs the emulated key-value store on its own thread, without rate limits.
class LocalStore {
public:
  LocalStore() {
    emulator::StoreSettings Settings;
    Settings.ReadsPerSecond_ = 0;
    Settings.WritesPerSecond_ = 0;
    Service_ = std::make_unique<emulator::StoreService>(Io_, Settings);
    Port_ = Service_->start();
    Thread_ = std::thread([this] { Io_.run(); });
  }

  ~LocalStore() {
    boost::asio::post(Io_, [this] {
      Service_->stop();
      Io_.stop();
    });
    Thread_.join();
  }

  LocalStore(const LocalStore &) = delete;
  LocalStore &operator=(const LocalStore &) = delete;

  std::uint16_t port() const { return Port_; }

  /// Sets injected faults, given by keys of emulator::StoreFaults. Returns when
  /// they are in effect.
  void injectFaults(const codec::Json &Faults) const {
    namespace asio = boost::asio;
    const std::string Body = Faults.dump();
    const std::string Request =
        "POST /control HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(Body.size()) + "\r\n\r\n" + Body;
    asio::io_context Io;
    asio::ip::tcp::socket Socket(Io);
    Socket.connect({asio::ip::make_address("127.0.0.1"), Port_});
    asio::write(Socket, asio::buffer(Request));
    std::string Answer;
    boost::system::error_code EndOfAnswer;
    asio::read(Socket, asio::dynamic_buffer(Answer), EndOfAnswer);
  }

private:
  boost::asio::io_context Io_{1};
  std::unique_ptr<emulator::StoreService> Service_;
  std::uint16_t Port_ = 0;
  std::thread Thread_;
};

} // namespace cumingauge::testing
