#pragma once

#include "ports/store.h"
#include <cstdint>
#include <string>

/// The Consul key-value protocol without its transport: the targets of requests
/// and the interpretation of responses.
namespace cumingauge::adapters::storeprotocol {

/// HTTP method and target of a request.
struct HttpRequestLine {
  std::string Method_;
  std::string Target_;
};

/// The parts of an HTTP response that the protocol uses.
struct HttpResponse {
  unsigned Status_ = 0;
  std::uint64_t ConsulIndex_ = 0; ///< header X-Consul-Index, or 0
  std::string Body_;
};

/// Returns whether an operation changes the store.
bool isWrite(ports::StoreOperation Operation);

/// Returns the HTTP method and target that request an operation.
HttpRequestLine requestLineFor(const ports::StoreRequest &Request);

/// Interprets an HTTP response. The result is StoreTimeout when the response to
/// a write does not show whether the write was applied.
ports::StoreResponse readResponse(const ports::StoreRequest &Request,
                                  const HttpResponse &Response);

/// Returns the result of a request that got no HTTP response: StoreTimeout for
/// a write that may have been applied, otherwise StoreUnavailable. \param
/// MayHaveSent whether any byte of the request may have been sent.
ports::StoreResponse unansweredResponse(const ports::StoreRequest &Request,
                                        bool MayHaveSent);

} // namespace cumingauge::adapters::storeprotocol
