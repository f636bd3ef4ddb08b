#pragma once

#include "adapters/controlruntime.h"
#include "adapters/nativedialect.h"
#include "model/describe.h"
#include "model/problem.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::adapters {

/// Limits of the HTTP side of an entry process.
struct HttpLimits {
  unsigned HeaderBytes_ = 16384;   ///< larger heads get 431
  unsigned KeptBodyBytes_ = 65536; ///< larger bodies stream, without retry
  /// Answers up to this size are passed on when they are whole, so that a
  /// broken one can be tried again; 0: every answer streams.
  unsigned KeptAnswerBytes_ = 0;
  unsigned MaxCallerConnections_ = 10000;
  model::milliseconds HeadTimeout_{10000};  ///< first to last byte of a head
  model::milliseconds IdleTimeout_{75000};  ///< between two requests
  model::milliseconds BodyTimeout_{10000};  ///< between two pieces of a body
  model::milliseconds WriteTimeout_{30000}; ///< caller reads no answer bytes
  model::milliseconds BackendIdleTimeout_{30000}; ///< above the warm ones
  model::milliseconds FreshWait_{1000};           ///< wait for a fresh view
  /// New connections when stopping.
  model::milliseconds DrainAcceptTime_{0};
  model::milliseconds DrainIdleTime_{500};  ///< idle connections when stopping
  model::milliseconds DrainTimeout_{30000}; ///< calls in flight when stopping
  /// When a caller may come back after a call that did not run; 0: not said.
  model::milliseconds RetryAfter_{0};
  /// Longest time between two looks at what is due while no call waits.
  model::milliseconds TickPeriod_{10};
};
BOOST_DESCRIBE_STRUCT(HttpLimits, (),
                      (HeaderBytes_, KeptBodyBytes_, KeptAnswerBytes_,
                       MaxCallerConnections_, HeadTimeout_, IdleTimeout_,
                       BodyTimeout_, WriteTimeout_, BackendIdleTimeout_,
                       FreshWait_, DrainAcceptTime_, DrainIdleTime_,
                       DrainTimeout_, RetryAfter_, TickPeriod_))

/// Range checks; empty when valid.
model::Problems checkHttpLimits(const HttpLimits &Limits,
                                const std::string &Path);

/// What the traffic threads need to start.
struct TrafficSettings {
  AddressSettings Listen_;
  unsigned Threads_ = 2;
  HttpLimits Limits_;
  std::string Zone_;
  std::uint64_t Seed_ = 0; ///< for the balancers' draws
  traffic::Dialect Dialect_ = nativeDialect();
};

} // namespace cumingauge::adapters
