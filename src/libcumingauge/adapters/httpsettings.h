#pragma once

#include "adapters/controlruntime.h"
#include "adapters/nativedialect.h"
#include "model/describe.h"
#include "model/problem.h"
#include "model/time.h"
#include <cstdint>
#include <string>

namespace cumingauge::adapters {

/// Limits and timeouts of the HTTP side of an entry process.
struct HttpLimits {
  /// Bytes of a request's head; larger heads are refused with status 431.
  unsigned HeaderBytes_ = 16384;
  /// Larger request bodies are streamed, and their calls are not retried.
  unsigned KeptBodyBytes_ = 65536;
  /// Answers up to this size are passed on once they are complete, so that the
  /// call can be retried when one breaks off; 0: every answer is streamed.
  unsigned KeptAnswerBytes_ = 0;
  /// Fewer where the process may open too few descriptors.
  unsigned MaxCallerConnections_ = 10000;
  /// Memory of the machine. What callers may hold together follows from it.
  unsigned MemoryMb_ = 112;
  /// Descriptors that the process may open, if its own limit is not lower.
  unsigned Descriptors_ = 2870;
  /// Time from the first to the last byte of a request's head.
  model::milliseconds HeadTimeout_{10000};
  /// Time between two requests of a caller's connection.
  model::milliseconds IdleTimeout_{75000};
  /// Time between two pieces of a request's body.
  model::milliseconds BodyTimeout_{10000};
  /// Time during which a caller accepts no bytes of an answer.
  model::milliseconds WriteTimeout_{30000};
  /// Idle time after which connections to a backend server are closed that
  /// exceed the number of warm connections.
  model::milliseconds BackendIdleTimeout_{30000};
  /// How long a call waits for a fresh control view.
  model::milliseconds FreshWait_{1000};
  /// How long a call waits for credit, within a third of the time it has left.
  model::milliseconds CreditWait_{400};
  /// How long new connections are accepted while the process stops.
  model::milliseconds DrainAcceptTime_{0};
  /// How long idle connections are kept while the process stops.
  model::milliseconds DrainIdleTime_{500};
  /// How long calls in flight may run while the process stops.
  model::milliseconds DrainTimeout_{30000};
  /// Value of Retry-After for a call that did not run; 0: no such field.
  model::milliseconds RetryAfter_{0};
  /// Longest time between two checks for due work while no call waits.
  model::milliseconds TickPeriod_{10};
};
BOOST_DESCRIBE_STRUCT(HttpLimits, (),
                      (HeaderBytes_, KeptBodyBytes_, KeptAnswerBytes_,
                       MaxCallerConnections_, MemoryMb_, Descriptors_,
                       HeadTimeout_, IdleTimeout_, BodyTimeout_, WriteTimeout_,
                       BackendIdleTimeout_, FreshWait_, CreditWait_,
                       DrainAcceptTime_, DrainIdleTime_, DrainTimeout_,
                       RetryAfter_, TickPeriod_))

/// Checks the ranges of the limits.
/// \param Path JSON path of the limits, which precedes the key in each problem.
/// \returns the problems; empty when valid.
model::Problems checkHttpLimits(const HttpLimits &Limits,
                                const std::string &Path);

/// Settings of the traffic threads.
struct TrafficSettings {
  AddressSettings Listen_;
  unsigned Threads_ = 2;
  HttpLimits Limits_;
  std::string Zone_;
  std::uint64_t Seed_ = 0; ///< of the balancers' random generators
  traffic::Dialect Dialect_ = nativeDialect();
};

} // namespace cumingauge::adapters
