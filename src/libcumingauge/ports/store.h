#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include "model/time.h"
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cumingauge::ports {

/// Operations on the platform's key-value service and VM list.
enum class StoreOperation {
  Get,
  CreateIfAbsent,
  CompareAndSwap,
  Delete,
  Watch, ///< long poll: waits up to Wait_ for a value newer than Index_
  ListVms
};
BOOST_DESCRIBE_ENUM(StoreOperation, Get, CreateIfAbsent, CompareAndSwap, Delete,
                    Watch, ListVms)

/// A request to the store.
struct StoreRequest {
  StoreOperation Operation_ = StoreOperation::Get;
  std::string Key_;
  std::string Value_;
  std::uint64_t Index_ = 0; ///< modify index for CompareAndSwap and Watch
  model::milliseconds Wait_{0};
};

/// One VM of the platform's VM list.
struct VmEntry {
  std::string Vm_;
  bool Leaving_ = false;
  std::string Role_; ///< "cumingauge" for entry VMs, "backend" or empty
};

/// Response to a request. Code_ is Ok (the result is definite),
/// StoreUnavailable (definitely not executed), StoreTimeout (a write may have
/// taken effect, or may still take effect later), StoreRateLimited or
/// StoreAnswerInvalid.
struct StoreResponse {
  model::ResultCode Code_ = model::ResultCode::Ok;
  bool Found_ = false; ///< Get, Watch: whether the key exists
  /// CreateIfAbsent, CompareAndSwap: whether this write took effect.
  bool Written_ = false;
  std::string Value_;
  std::uint64_t Index_ = 0;
  std::vector<VmEntry> Vms_; ///< ListVms
};

using StoreHandler = std::function<void(const StoreResponse &)>;

/// Port to the platform's key-value service and VM list.
struct Store {
  std::function<void(const StoreRequest &, StoreHandler)> Execute_;
};

} // namespace cumingauge::ports
