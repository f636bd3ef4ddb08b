#pragma once

#include "ctlsettings.h"
#include "ports/store.h"
#include <memory>

namespace cumingauge::ctl {

/// Calls to the store, one at a time, each waited for.
class StoreCalls {
public:
  explicit StoreCalls(const CtlSettings &Settings);
  ~StoreCalls();

  ports::StoreResponse call(const ports::StoreRequest &Request);

private:
  std::unique_ptr<struct StoreCallsState> State_;
};

} // namespace cumingauge::ctl
