#pragma once

#include "emulator/httpserver.h"
#include "emulator/storemodel.h"
#include "emulator/storesettings.h"
#include <memory>

namespace cumingauge::emulator {

/// Emulates the platform's key-value service and VM list over HTTP, with the
/// Consul paths /v1/kv, /v1/session and /v1/catalog/nodes. Runs on one thread.
class StoreService {
public:
  StoreService(boost::asio::io_context &Context, const StoreSettings &Settings);

  /// Binds the address of the settings and returns its port. Throws
  /// boost::system::system_error when the address cannot be bound.
  std::uint16_t start();

  /// Stops accepting and closes every connection.
  void stop();

  StoreCounters counters() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace cumingauge::emulator
