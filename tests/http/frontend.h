#pragma once

#include "adapters/httptraffic.h"
#include "http/fakecredit.h"
#include "http/gate.h"
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cumingauge::test {

/// Runs the traffic threads on loopback with a control view made by the test.
/// The servers belong to the service "catalogue"; the routes are /search
/// (idempotent), /licence (not idempotent) and /bulk (not idempotent, with
/// large bodies).
class FrontEnd {
public:
  struct Target {
    std::string Name_;
    std::uint16_t Port_ = 0;
  };

  explicit FrontEnd(const std::vector<Target> &Servers,
                    adapters::HttpLimits Limits = {}, unsigned Threads = 2,
                    const traffic::Dialect &Dialect = adapters::nativeDialect(),
                    bool HasView = true);
  ~FrontEnd();

  adapters::HttpTraffic &traffic() { return *Traffic_; }
  std::uint16_t port() const { return Traffic_->port(); }

  /// Publishes the view with these servers marked as leaving.
  void markLeaving(const std::set<std::string> &Names);

  /// Changes the preset and publishes the view.
  void changePreset(const std::function<void(model::Preset &)> &Edit);

  /// Publishes the view; to be called once after a start without one.
  void publish();

  /// Sets whether the view counts as fresh.
  void setFresh(bool Fresh) { Fresh_ = Fresh; }

  /// Sets whether the configuration is known to be the newest one; only a fresh
  /// view can be.
  void setConfigurationKnown(bool Known) { ConfigurationKnown_ = Known; }

  /// Counts the next version as accepted although its view is not published.
  void acceptNextVersion() { AcceptedVersion_ = Version_ + 1; }

  /// Blocks the traffic thread that next admits a call until the gate opens.
  void holdThread(Gate &Until) { HeldUntil_ = &Until; }

  /// Returns whether holdThread() has taken effect.
  bool isThreadHeld() const { return !HeldUntil_; }

  /// Blocks the traffic thread that next refuses a request until the gate
  /// opens. Independent of holdThread().
  void holdThreadAtRefusal(Gate &Until) { RefusalHeldUntil_ = &Until; }

  /// Returns whether holdThreadAtRefusal() has taken effect.
  bool isThreadHeldAtRefusal() const { return !RefusalHeldUntil_; }

  /// Source of the credit of workspaces with a quota.
  FakeCredit &credit() { return Credit_; }

  /// Returns the kinds of the events so far, oldest first.
  std::vector<model::EventKind> events() const;

private:
  std::vector<Target> Servers_;
  model::Preset Preset_;
  std::set<std::string> Leaving_;
  std::uint64_t Version_ = 0;
  std::atomic<std::uint64_t> AcceptedVersion_{0};
  std::atomic<bool> Fresh_{true};
  std::atomic<bool> ConfigurationKnown_{true};
  std::atomic<Gate *> HeldUntil_{nullptr};
  std::atomic<Gate *> RefusalHeldUntil_{nullptr};
  FakeCredit Credit_;
  mutable std::mutex Mutex_; ///< guards the events
  std::vector<model::EventKind> Events_;
  std::shared_ptr<adapters::HttpTraffic> Traffic_;
};

/// A caller's connection with blocking reads and writes.
class RawCaller {
public:
  explicit RawCaller(std::uint16_t Port);

  void send(const std::string &Bytes);

  /// An answer as the caller received it.
  struct Answer {
    unsigned Status_ = 0;
    std::string Head_; ///< status line and fields
    std::string Body_;
    std::string ResultCode_;
    bool Whole_ = false;  ///< the body arrived completely
    bool Closed_ = false; ///< no complete head arrived
  };

  /// Reads one answer.
  /// \param IsHead whether it answers a HEAD request and so has no body.
  Answer read(bool IsHead = false);

  /// Waits until bytes or the end of the connection arrive.
  /// \returns whether they did within ten seconds.
  bool awaitBytes();

  /// Sends a request and reads its answer.
  Answer call(const std::string &Bytes, bool IsHead = false);

  /// Reads an answer and discards its body.
  /// \param OnProgress called after every 4 MiB or so.
  /// \returns the bytes of the body, or 0 if it did not arrive completely.
  std::size_t discardAnswer(const std::function<void()> &OnProgress);

  void disconnect();

  /// Sends a byte and returns whether the peer has reset the connection.
  bool isReset();

private:
  boost::asio::io_context Io_;
  boost::asio::ip::tcp::socket Socket_;
  std::string Buffer_;
};

/// Returns the text of a request with Host and these fields, and with
/// Content-Length if it has a body.
std::string request(const std::string &Method, const std::string &Target,
                    const std::string &Fields = "",
                    const std::string &Body = "");

/// Polls until the condition holds, for at least ten seconds.
/// \returns whether it held in time.
bool eventually(const std::function<bool()> &Condition);

} // namespace cumingauge::test
