#pragma once

#include "ports/store.h"
#include <cstdint>
#include <string>

/// The Consul key-value protocol without its transport: targets of requests
/// and the meaning of answers.
namespace cumingauge::adapters::storeprotocol {

/// HTTP method and target of a request.
struct HttpCall {
  std::string Method_;
  std::string Target_;
};

/// An HTTP answer as far as the protocol reads it.
struct HttpAnswer {
  unsigned Status_ = 0;
  std::uint64_t ConsulIndex_ = 0; ///< header X-Consul-Index, or 0
  std::string Body_;
};

/// True for operations that change the store.
bool isWrite(ports::StoreOperation Operation);

HttpCall httpCallFor(const ports::StoreRequest &Request);

/// Reads an answer. A write that was answered in a way that does not tell its
/// outcome gives StoreTimeout.
ports::StoreResponse readAnswer(const ports::StoreRequest &Request,
                                const HttpAnswer &Answer);

/// The response to a call that got no answer.
/// \param BytesLeft whether any byte of the request may have been sent.
ports::StoreResponse withoutAnswer(const ports::StoreRequest &Request,
                                   bool BytesLeft);

} // namespace cumingauge::adapters::storeprotocol
