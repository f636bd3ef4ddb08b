#pragma once

#include "platform/platformsettings.h"
#include "ports/directory.h"
#include <boost/asio/io_context.hpp>

namespace cumingauge::platform {

/// Makes the directory port over the platform's metadata store. Answers arrive
/// on the thread that runs \p Io.
/// \param Base policy values of every preset; the store holds none.
ports::Directory makeDirectory(boost::asio::io_context &Io,
                               const PlatformSettings &Settings,
                               const model::Preset &Base);

} // namespace cumingauge::platform
