#pragma once

#include "model/describe.h"
#include "model/resultcode.h"
#include "model/time.h"
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cumingauge::ports {

/// What is asked of the platform's key-value service.
enum class StoreOperation {
  Get,
  CreateIfAbsent,
  CompareAndSwap,
  Delete,
  Watch, ///< answers when the key is newer than Index_, or after Wait_
  ListVms
};
BOOST_DESCRIBE_ENUM(StoreOperation, Get, CreateIfAbsent, CompareAndSwap, Delete,
                    Watch, ListVms)

struct StoreRequest {
  StoreOperation Operation_ = StoreOperation::Get;
  std::string Key_;
  std::string Value_;
  std::uint64_t Index_ = 0; ///< modify index for CompareAndSwap and Watch
  model::milliseconds Wait_{0};
};

/// One VM of the platform's list.
struct VmEntry {
  std::string Vm_;
  bool Leaving_ = false;
  std::string Role_; ///< "cumingauge" for entry VMs, "backend" or empty
};

/// Code_ is Ok (definite answer), StoreUnavailable (definitely not done),
/// StoreTimeout (a write may have taken effect, now or later),
/// StoreRateLimited or StoreAnswerInvalid.
struct StoreResponse {
  model::ResultCode Code_ = model::ResultCode::Ok;
  bool Found_ = false;   ///< Get, Watch: the key exists
  bool Written_ = false; ///< CreateIfAbsent, CompareAndSwap: this write won
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
