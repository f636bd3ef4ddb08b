#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// Callbacks that provide the content of the admin pages.
struct AdminHooks {
  std::function<bool()> IsHealthy_;           ///< the control thread is running
  std::function<bool()> IsReady_;             ///< the process accepts new calls
  std::function<std::string()> Metrics_;      ///< Prometheus text format
  std::function<std::string()> BalancerPage_; ///< JSON document
};

/// Starts the HTTP server of the admin port with the pages `/healthz`,
/// `/readyz`, `/metrics` and `/balancer`. `/readyz` and `/balancer` return
/// status 503 when the process is not ready, `/healthz` when it is not healthy.
/// Runs until \p Io stops.
/// \returns the bound port.
/// \throws boost::system::system_error when the address cannot be bound.
std::uint16_t startAdminServer(boost::asio::io_context &Io,
                               const std::string &Host, std::uint16_t Port,
                               AdminHooks Hooks);

} // namespace cumingauge::adapters
