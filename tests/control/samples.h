#pragma once

#include "model/change.h"
#include "model/configstate.h"
#include <string>

/// Small valid values for the tests of the control state.
namespace cumingauge::samples {

inline model::Preset preset(const std::string &Name) {
  model::Preset Out;
  Out.Name_ = Name;
  model::Route Search;
  Search.Name_ = "search";
  Search.PathPrefix_ = "/search";
  Search.Service_ = "catalogue";
  Search.Idempotent_ = true;
  Search.Priority_ = model::Priority::Urgent;
  Search.Deadline_ = model::milliseconds(300);
  Search.MaxBodyBytes_ = 4096;
  Out.Routes_ = {Search};
  return Out;
}

inline model::BackendServer server(const std::string &Name,
                                   const std::string &Vm = "vm-1") {
  return {Name, Vm, "catalogue", "milano-a", "127.0.0.1", 9000, 3};
}

} // namespace cumingauge::samples
