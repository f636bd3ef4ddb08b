#pragma once

#include "adapters/httpclient.h"
#include "ports/store.h"

namespace cumingauge::adapters {

/// Largest value that the store accepts, in bytes.
constexpr std::size_t MaxStoreValueBytes = 1024 * 1024;

/// Creates the client of the store, which uses the Consul key-value protocol
/// over HTTP. Handlers run on the thread that runs \p Io. Reads reuse idle
/// connections. Each write uses a new connection: if the store closed an idle
/// connection just as a write was sent, the outcome of the write would be
/// unknown. A value above MaxStoreValueBytes fails with StoreAnswerInvalid and
/// is not sent.
ports::Store makeStoreClient(boost::asio::io_context &Io,
                             HttpClientSettings Settings);

} // namespace cumingauge::adapters
