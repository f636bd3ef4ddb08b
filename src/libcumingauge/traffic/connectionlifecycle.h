#pragma once

#include <memory>
#include <variant>
#include <vector>

/// Life cycle of a connection to a backend server.
namespace cumingauge::traffic {

// Events.
struct ConnectSucceeded {};
struct ConnectFailed {};
/// A call took the idle connection from the pool.
struct Leased {};
/// Bytes arrived from the server.
struct BytesArrived {};
/// The request was written to its last byte.
struct RequestSent {};
/// The answer was parsed to its end.
struct AnswerComplete {
  bool KeepAlive_ = false;   ///< neither side asked to close
  bool BytesFollow_ = false; ///< more bytes than the answer arrived
};
/// The server closed the connection, the network failed, or the answer cannot
/// be parsed.
struct ConnectionBroken {};
/// The call no longer waits for its answer.
struct Abandoned {};
/// The connection is no longer needed: its server is leaving, or it was idle
/// for too long. Ignored while the connection carries a call.
struct Retired {};

using ConnectionEvent = std::variant<ConnectSucceeded, ConnectFailed, Leased,
                                     BytesArrived, RequestSent, AnswerComplete,
                                     ConnectionBroken, Abandoned, Retired>;

/// Actions for the owner of the connection.
enum class ConnectionAction {
  AddToPool,    ///< make it available as an idle connection
  ParseAnswer,  ///< parse the bytes for the call that it carries
  ReportEnd,    ///< tell the call that its answer is complete
  ReportFailed, ///< tell the call that its answer will not complete
  Close,
};

/// State machine of one connection to a backend server. Uses no socket or
/// clock. A closed connection is never opened again. A connection becomes
/// available again only after the request was written whole and its answer was
/// complete, with no further bytes behind it; otherwise the next call could be
/// given the answer of an earlier one.
class ConnectionLifecycle {
public:
  ConnectionLifecycle();
  ~ConnectionLifecycle();

  /// Processes one event and returns the actions to perform, in this order.
  std::vector<ConnectionAction> process(const ConnectionEvent &Event);

  bool isIdle() const;
  bool isClosed() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace cumingauge::traffic
