#pragma once

#include "adapters/httpconnection.h"
#include "policy/balancer.h"
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

namespace cumingauge::adapters {

/// Pool of one traffic thread's connections to one backend server.
class HttpPool : public std::enable_shared_from_this<HttpPool> {
public:
  /// Receives an idle connection, or null when none could be opened.
  using LeaseHandler = std::function<void(std::shared_ptr<HttpConnection>)>;
  /// Identifies a lease that is waiting for a connection.
  using Ticket = std::uint64_t;
  static constexpr Ticket NoTicket = 0;

  HttpPool(boost::asio::io_context &Io, boost::asio::ip::tcp::endpoint Server,
           std::uint32_t HeaderLimit, const traffic::Dialect &Names);

  /// Sets the limits that apply from now on.
  /// \param Share upper limit of connections and number of warm ones.
  /// \param Timeout limit on connecting.
  /// \param Keep whether idle connections stay open.
  void setShare(policy::ConnectionShare Share, model::milliseconds Timeout,
                bool Keep);

  /// Leases an idle connection on which the call has not failed before: at once
  /// if there is one, otherwise when one has been opened or returned.
  /// \param CallId empty for a request that belongs to no call.
  /// \returns a ticket for cancel, or NoTicket when the handler has run.
  Ticket lease(std::string CallId, LeaseHandler Handler);

  /// Cancels a waiting lease; its handler does not run.
  void cancel(Ticket Waiting);

  void closeIdle();

  /// Ends the waiting leases soon, without a connection. Their handlers run
  /// from the event loop, not within this function.
  void dismissWaiters();

  /// Opens warm connections and closes those that were idle for too long. To be
  /// called about once a second.
  /// \param IdleTimeout of connections beyond the warm ones.
  void maintain(model::TimePoint Now, model::milliseconds IdleTimeout);

  unsigned connections() const { return static_cast<unsigned>(All_.size()); }

private:
  struct Waiter {
    Ticket Ticket_ = NoTicket;
    std::string CallId_;
    LeaseHandler Handler_;
  };

  std::shared_ptr<HttpConnection> takeIdle(std::string_view CallId);
  void open();
  void onIdle(std::shared_ptr<HttpConnection> Connection);
  void onClosed(const std::shared_ptr<HttpConnection> &Connection);
  void openForWaiters();
  void retireOldestIdle();
  void serveWaiter(const std::deque<Waiter>::iterator &Served,
                   std::shared_ptr<HttpConnection> Connection);

  boost::asio::io_context &Io_;
  const boost::asio::ip::tcp::endpoint Server_;
  const std::uint32_t HeaderLimit_;
  const traffic::Dialect &Names_;
  policy::ConnectionShare Share_;
  model::milliseconds ConnectTimeout_{200};
  bool KeepIdle_ = true;
  std::unordered_set<std::shared_ptr<HttpConnection>> All_;
  /// Idle connections, the most recently used last.
  std::vector<std::shared_ptr<HttpConnection>> Idle_;
  std::deque<Waiter> Waiters_;
  unsigned Connecting_ = 0;
  bool IsDismissing_ = false; ///< no connection is opened for the waiters
  Ticket LastTicket_ = NoTicket;
};

} // namespace cumingauge::adapters
