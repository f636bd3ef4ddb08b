#pragma once

#include "model/loadreport.h"
#include <optional>
#include <string_view>

namespace cumingauge::adapters {

/// Reads a load report as backend servers send it, a JSON object with the
/// members of model::LoadReport. Other members are left aside. Nothing when
/// it is malformed.
std::optional<model::LoadReport> parseLoadReport(std::string_view Text);

} // namespace cumingauge::adapters
