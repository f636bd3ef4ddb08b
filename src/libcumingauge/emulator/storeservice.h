#pragma once

#include "emulator/httpserver.h"
#include "emulator/storemodel.h"
#include "emulator/storesettings.h"
#include <memory>

namespace cumingauge::emulator {

/// The platform's key-value service and VM list over HTTP, as the Consul
/// paths /v1/kv, /v1/session and /v1/catalog/nodes. Runs on one thread.
class StoreService {
public:
  StoreService(boost::asio::io_context &Context, const StoreSettings &Settings);

  /// Binds the address of the settings and returns its port. Throws
  /// boost::system::system_error.
  std::uint16_t start();

  /// Stops accepting and closes every connection.
  void stop();

  StoreCounters counters() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace cumingauge::emulator
