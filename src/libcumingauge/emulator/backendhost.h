#pragma once

#include "emulator/fakeserver.h"
#include <boost/asio/executor_work_guard.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cumingauge::emulator {

/// Runs all emulated backend servers of one process and their common admin
/// port: GET /servers; GET /servers/NAME/journal and /counters; POST
/// /servers/NAME/control, /servers/NAME/stop?mode=graceful|kill and
/// /servers/NAME/start. The admin port also answers for a server that is
/// frozen or stopped.
class BackendHost {
public:
  BackendHost(boost::asio::io_context &AdminContext,
              const BackendSettings &Settings);
  ~BackendHost();

  /// Binds all ports and starts the threads; returns the admin port. Throws
  /// boost::system::system_error.
  std::uint16_t start();

  /// Stops all servers gracefully and joins the threads.
  void stop();

  /// Returns names, VMs, ports and counters of the servers. Blocks until the
  /// threads of the servers have delivered them.
  codec::Json describe() const;

private:
  struct Worker {
    boost::asio::io_context Context_{1};
    std::thread Thread_;
  };
  using WorkGuard =
      boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  /// Answers a request to the admin port.
  void handle(const std::shared_ptr<HttpExchange> &Exchange);
  /// Answers an admin request about one server. Runs on that server's thread.
  void handleServerRequest(const std::shared_ptr<FakeServer> &Server,
                           const std::shared_ptr<HttpExchange> &Exchange,
                           const Target &Where);

  const BackendSettings Settings_;
  HttpServer Admin_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<WorkGuard> Guards_; ///< keep the threads running without work
  std::vector<std::shared_ptr<FakeServer>> Servers_;
};

} // namespace cumingauge::emulator
