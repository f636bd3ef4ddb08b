#pragma once

#include "adapters/peerlinks.h"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cumingauge::testing {

constexpr const char *FleetKey = "a key of the whole fleet";

inline adapters::PeerLinksSettings linkSettings(const std::string &Process) {
  adapters::PeerLinksSettings Out;
  Out.Handshake_.Key_ = FleetKey;
  Out.Handshake_.Self_.Process_ = Process;
  Out.Handshake_.Self_.Incarnation_ = 1;
  return Out;
}

/// One end of links, which keeps the arguments of all callbacks.
struct LinkEnd {
  LinkEnd(boost::asio::io_context &Io,
          const adapters::PeerLinksSettings &Settings)
      : Links_(Io, Settings, handlers()) {}

  adapters::PeerLinkHandlers handlers() {
    adapters::PeerLinkHandlers Out;
    Out.OnOpened_ = [this](const adapters::OpenedLink &Link) {
      Opened_.push_back(Link);
    };
    Out.OnMessage_ = [this](control::LinkId, control::PeerMessage Message) {
      Messages_.push_back(std::move(Message));
    };
    Out.OnClosed_ = [this](control::LinkId, model::ResultCode Code) {
      Closed_.push_back(Code);
    };
    Out.OnFailed_ = [this](const std::string &, std::uint16_t,
                           model::ResultCode Code) { Failed_.push_back(Code); };
    return Out;
  }

  void send(const control::PeerMessage &Message) {
    Links_.send(Opened_.back().Link_,
                std::make_shared<control::PeerMessage>(Message));
  }

  std::vector<adapters::OpenedLink> Opened_;
  std::vector<control::PeerMessage> Messages_;
  std::vector<model::ResultCode> Closed_;
  std::vector<model::ResultCode> Failed_;
  adapters::PeerLinks Links_;
};

/// Runs the io_context until a condition holds. Returns false after 30 s, which
/// is far longer than a slow machine needs.
inline bool runUntil(boost::asio::io_context &Io,
                     const std::function<bool()> &Condition) {
  const auto Deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!Condition() && std::chrono::steady_clock::now() < Deadline) {
    Io.restart();
    Io.run_one_for(std::chrono::milliseconds(50));
  }
  return Condition();
}

/// An opening and an accepting end, connected over the loopback interface.
struct LinkPair {
  explicit LinkPair(
      const adapters::PeerLinksSettings &Opening = linkSettings("entry-1"),
      const adapters::PeerLinksSettings &Accepting = linkSettings("entry-2"))
      : Opening_(Io_, Opening), Accepting_(Io_, Accepting) {
    Accepting_.Links_.listen();
  }

  void open() { Opening_.Links_.open("127.0.0.1", Accepting_.Links_.port()); }

  bool openBoth() {
    open();
    return runUntil(Io_, [this] {
      return !Opening_.Opened_.empty() && !Accepting_.Opened_.empty();
    });
  }

  boost::asio::io_context Io_{1};
  LinkEnd Opening_;
  LinkEnd Accepting_;
};

} // namespace cumingauge::testing
