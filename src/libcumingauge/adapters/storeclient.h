#pragma once

#include "adapters/httpclient.h"
#include "ports/store.h"

namespace cumingauge::adapters {

/// Largest value that the service holds.
constexpr std::size_t MaxStoreValueBytes = 1024 * 1024;

/// Makes the store port over HTTP with the Consul key-value protocol. Answers
/// arrive on the thread that runs \p Io. Reads share idle connections; a write
/// uses a new one, so that a connection closed by the service between calls
/// never leaves the outcome of a write open.
ports::Store makeStoreClient(boost::asio::io_context &Io,
                             HttpClientSettings Settings);

} // namespace cumingauge::adapters
