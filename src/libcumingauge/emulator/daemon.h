#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace cumingauge::emulator {

/// Runs the context until SIGTERM or SIGINT, then calls \p Stop and returns
/// when no work is left.
void runUntilSignal(boost::asio::io_context &Context,
                    const std::function<void()> &Stop);

/// Writes a file in one step, for readers that wait for it to appear. Does
/// nothing when \p File is empty. False when it cannot be written.
bool writeFileAtomically(const std::string &File, const std::string &Content);

} // namespace cumingauge::emulator
