#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// What the pages of the admin port are made from.
struct AdminHooks {
  std::function<bool()> IsHealthy_; ///< the control thread is running
  std::function<bool()> IsReady_;   ///< new calls are welcome
  std::function<std::string()> Metrics_;
  std::function<std::string()> BalancerPage_; ///< JSON document
};

/// Starts the admin port of a process: `/healthz`, `/readyz`, `/metrics` and
/// `/balancer`. `/readyz` and `/balancer` answer 503 when the process is not
/// ready. Runs until \p Io stops.
/// \returns the port that was bound.
/// \throws boost::system::system_error when the address cannot be bound.
std::uint16_t startAdminServer(boost::asio::io_context &Io,
                               const std::string &Host, std::uint16_t Port,
                               AdminHooks Hooks);

} // namespace cumingauge::adapters
