#pragma once

#include "ctlsettings.h"
#include "ports/store.h"
#include <memory>

namespace cumingauge::ctl {

/// Store client that blocks until each call has returned.
class BlockingStoreClient {
public:
  explicit BlockingStoreClient(const CtlSettings &Settings);
  ~BlockingStoreClient();

  /// Executes a request. Returns StoreTimeout when the call ends without a
  /// response.
  ports::StoreResponse call(const ports::StoreRequest &Request);

private:
  std::unique_ptr<struct BlockingStoreClientState> State_;
};

} // namespace cumingauge::ctl
