#pragma once

#include "model/change.h"
#include "model/configstate.h"
#include <string>

/// Small valid values for the tests in this folder.
namespace cumingauge::samples {

inline model::Preset preset(const std::string &Name) {
  model::Preset Out;
  Out.Name_ = Name;
  Out.Routes_ = {{"search", "/search", "catalogue", true,
                  model::Priority::Urgent, model::milliseconds(300), 4096}};
  return Out;
}

inline model::BackendServer server(const std::string &Name,
                                   const std::string &Vm = "vm-1") {
  return {Name, Vm, "catalogue", "milano-a", "127.0.0.1", 9000, 3};
}

} // namespace cumingauge::samples
