#pragma once

#include "platform/platformsettings.h"
#include "ports/directory.h"
#include <boost/asio/io_context.hpp>

namespace cumingauge::platform {

/// Creates the client of the directory, which the platform's metadata store
/// provides. Handlers run on the thread that runs \p Io.
/// \param Base policy values of every preset; the store does not contain them.
ports::Directory makeDirectory(boost::asio::io_context &Io,
                               const PlatformSettings &Settings,
                               const model::Preset &Base);

} // namespace cumingauge::platform
