#include "adapters/httppool.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace cumingauge::adapters {

namespace {

/// Fraction of the server's announced idle timeout after which a connection is
/// not used any more: the server could close it while the next request is on
/// its way.
constexpr double UsableIdleFraction = 0.7;

/// Whether the server may soon close the connection as idle.
bool isNearTimeout(const HttpConnection &Connection) {
  const auto Allowed = Connection.idleTimeout();
  const model::Duration Idle =
      std::chrono::steady_clock::now() - Connection.idleSince();
  return Allowed && Idle > UsableIdleFraction * model::Duration(*Allowed);
}

} // namespace

HttpPool::HttpPool(boost::asio::io_context &Io,
                   boost::asio::ip::tcp::endpoint Server,
                   std::uint32_t HeaderLimit, const traffic::Dialect &Names)
    : Io_(Io), Server_(std::move(Server)), HeaderLimit_(HeaderLimit),
      Names_(Names) {}

void HttpPool::setShare(policy::ConnectionShare Share,
                        model::milliseconds Timeout, bool Keep) {
  Share_ = Share;
  ConnectTimeout_ = Timeout;
  KeepIdle_ = Keep;
}

HttpPool::Ticket HttpPool::lease(std::string CallId, LeaseHandler Handler) {
  if (const auto Connection = takeIdle(CallId)) {
    Handler(Connection);
    return NoTicket;
  }
  Waiters_.push_back({++LastTicket_, std::move(CallId), std::move(Handler)});
  const Ticket Issued = LastTicket_;
  openForWaiters();
  return Issued;
}

void HttpPool::cancel(Ticket Waiting) {
  const auto Found =
      std::find_if(Waiters_.begin(), Waiters_.end(),
                   [&](const Waiter &W) { return W.Ticket_ == Waiting; });
  if (Found != Waiters_.end())
    Waiters_.erase(Found);
}

void HttpPool::closeIdle() {
  const auto Closing = std::move(Idle_);
  Idle_.clear();
  for (const auto &Connection : Closing)
    Connection->retire();
}

void HttpPool::dismissWaiters() {
  if (Waiters_.empty())
    return;
  IsDismissing_ = true;
  const Ticket Last = LastTicket_;
  boost::asio::post(Io_, [Self = shared_from_this(), Last] {
    while (!Self->Waiters_.empty() && Self->Waiters_.front().Ticket_ <= Last)
      Self->serveWaiter(Self->Waiters_.begin(), nullptr);
    Self->IsDismissing_ = false;
    Self->openForWaiters();
  });
}

void HttpPool::maintain(model::TimePoint Now, model::milliseconds IdleTimeout) {
  while (!Idle_.empty() && (isNearTimeout(*Idle_.front()) ||
                            (Idle_.size() > Share_.Warm_ &&
                             Now - Idle_.front()->idleSince() > IdleTimeout))) {
    const auto Connection = Idle_.front();
    Idle_.erase(Idle_.begin());
    Connection->retire();
  }
  while (KeepIdle_ && Idle_.size() + Connecting_ < Share_.Warm_ &&
         All_.size() < Share_.Limit_)
    open();
}

std::shared_ptr<HttpConnection> HttpPool::takeIdle(std::string_view CallId) {
  std::shared_ptr<HttpConnection> Out;
  std::vector<std::shared_ptr<HttpConnection>> Unusable;
  for (auto It = Idle_.end(); It != Idle_.begin() && !Out;) {
    --It;
    const auto Connection = *It;
    if (Connection->hasFailedCall(CallId))
      continue;
    It = Idle_.erase(It);
    if (Connection->isStale() || isNearTimeout(*Connection))
      Unusable.push_back(Connection);
    else
      Out = Connection;
  }
  // Closing a connection may change Idle_.
  for (const auto &Connection : Unusable)
    Connection->retire();
  return Out;
}

void HttpPool::open() {
  HttpConnection::Owner Owner;
  Owner.OnIdle_ =
      [Pool = weak_from_this()](std::shared_ptr<HttpConnection> Connection) {
        if (const auto Self = Pool.lock())
          Self->onIdle(std::move(Connection));
      };
  Owner.OnClosed_ = [Pool = weak_from_this()](
                        const std::shared_ptr<HttpConnection> &Connection) {
    if (const auto Self = Pool.lock())
      Self->onClosed(Connection);
  };
  const auto Connection = std::make_shared<HttpConnection>(
      Io_, HeaderLimit_, Names_, std::move(Owner));
  All_.insert(Connection);
  ++Connecting_;
  Connection->connect(Server_, ConnectTimeout_);
}

void HttpPool::onIdle(std::shared_ptr<HttpConnection> Connection) {
  if (Connecting_ > 0 && Connection->isUnused())
    --Connecting_;
  if (!Waiters_.empty() && Connection->isStale())
    return Connection->retire();
  const auto Served =
      std::find_if(Waiters_.begin(), Waiters_.end(), [&](const Waiter &W) {
        return !Connection->hasFailedCall(W.CallId_);
      });
  if (Served != Waiters_.end())
    return serveWaiter(Served, std::move(Connection));
  if (!KeepIdle_ || All_.size() > Share_.Limit_)
    return Connection->retire();
  Idle_.push_back(std::move(Connection));
  openForWaiters();
}

void HttpPool::onClosed(const std::shared_ptr<HttpConnection> &Connection) {
  All_.erase(Connection);
  Idle_.erase(std::remove(Idle_.begin(), Idle_.end(), Connection), Idle_.end());
  if (!Connection->hasConnected()) {
    --Connecting_;
    if (!Waiters_.empty())
      serveWaiter(Waiters_.begin(), nullptr);
  }
  openForWaiters();
}

void HttpPool::openForWaiters() {
  if (IsDismissing_)
    return;
  while (Connecting_ < Waiters_.size() && All_.size() < Share_.Limit_)
    open();
  // The waiting calls have failed on all idle connections.
  if (Connecting_ < Waiters_.size())
    retireOldestIdle();
}

/// Makes room for a new connection, which is then opened for a waiting call.
void HttpPool::retireOldestIdle() {
  if (Idle_.empty())
    return;
  const auto Connection = Idle_.front();
  Idle_.erase(Idle_.begin());
  Connection->retire();
}

void HttpPool::serveWaiter(const std::deque<Waiter>::iterator &Served,
                           std::shared_ptr<HttpConnection> Connection) {
  const LeaseHandler Handler = std::move(Served->Handler_);
  Waiters_.erase(Served);
  Handler(std::move(Connection));
}

} // namespace cumingauge::adapters
