#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace cumingauge::emulator {

/// Runs the context until SIGTERM or SIGINT, then calls \p Stop and returns
/// when the context has no work left.
void runUntilSignal(boost::asio::io_context &Context,
                    const std::function<void()> &Stop);

/// Writes a file atomically, by renaming a temporary file, for readers that
/// wait for it to appear. Does nothing when \p File is empty. Returns false
/// when the file cannot be written.
bool writeFileAtomically(const std::string &File, const std::string &Content);

} // namespace cumingauge::emulator
