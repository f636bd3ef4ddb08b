#pragma once

#include "ports/store.h"
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace cumingauge::adapters {

/// How the platform's key-value service is reached.
struct StoreClientSettings {
  std::string Host_ = "127.0.0.1";
  std::uint16_t Port_ = 0;
  model::milliseconds ConnectTimeout_{1000};
  model::milliseconds AnswerTimeout_{2000}; ///< beyond the wait of a watch
};

/// Largest value that the service holds.
constexpr std::size_t MaxStoreValueBytes = 1024 * 1024;

/// Makes the store port over HTTP with the Consul key-value protocol. Answers
/// arrive on the thread that runs \p Io. Reads share idle connections; a write
/// uses a new one, so that a connection closed by the service between calls
/// never leaves the outcome of a write open.
ports::Store makeStoreClient(boost::asio::io_context &Io,
                             const StoreClientSettings &Settings);

} // namespace cumingauge::adapters
