#pragma once

#include "adapters/httptraffic.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cumingauge::test {

/// The traffic threads on loopback with a view made by hand: the services
/// "catalogue" and "rights", the routes /search (idempotent), /licence (not)
/// and /bulk (not, large bodies).
class FrontEnd {
public:
  struct Target {
    std::string Name_;
    std::uint16_t Port_ = 0;
  };

  explicit FrontEnd(
      const std::vector<Target> &Servers, adapters::HttpLimits Limits = {},
      unsigned Threads = 2,
      const traffic::Dialect &Dialect = adapters::nativeDialect());
  ~FrontEnd();

  adapters::HttpTraffic &traffic() { return *Traffic_; }
  std::uint16_t port() const { return Traffic_->port(); }

  /// Publishes the view again with these servers leaving.
  void markLeaving(const std::set<std::string> &Names);

  /// Changes the preset and publishes it.
  void changePreset(const std::function<void(model::Preset &)> &Edit);

  void setFresh(bool Fresh) { Fresh_ = Fresh; }

  /// Kinds of the events so far.
  std::vector<model::EventKind> events() const;

private:
  void publish();

  std::vector<Target> Servers_;
  model::Preset Preset_;
  std::set<std::string> Leaving_;
  std::uint64_t Version_ = 0;
  std::atomic<bool> Fresh_{true};
  mutable std::mutex Mutex_; ///< guards the events
  std::vector<model::EventKind> Events_;
  std::shared_ptr<adapters::HttpTraffic> Traffic_;
};

/// A blocking connection of a caller.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port);

  void send(const std::string &Bytes);

  /// Reads one answer. Text_ is its head; Whole_ tells whether the body came
  /// to its end.
  struct Answer {
    unsigned Status_ = 0;
    std::string Head_;
    std::string Body_;
    std::string ResultCode_;
    bool Whole_ = false;
    bool Closed_ = false; ///< nothing came at all
  };
  Answer read(bool ToHead = false);

  /// send and read.
  Answer call(const std::string &Bytes, bool ToHead = false);

  /// Reads an answer with Content-Length without keeping it.
  /// \param Watch called from time to time.
  /// \returns the bytes of head and body.
  std::size_t skipAnswer(const std::function<void()> &Watch);

  void hangUp();

  /// Whether the other side has reset the connection.
  bool isReset();

private:
  boost::asio::io_context Io_;
  boost::asio::ip::tcp::socket Socket_;
  std::string Buffer_;
};

/// A request with Host and these fields, with Content-Length if it has a body.
std::string request(const std::string &Method, const std::string &Target,
                    const std::string &Fields = "",
                    const std::string &Body = "");

/// Waits until it holds, at most ten seconds.
bool eventually(const std::function<bool()> &Holds);

} // namespace cumingauge::test
