#pragma once

#include <memory>
#include <variant>
#include <vector>

/// The life of one connection to a backend server, without socket or clock.
namespace cumingauge::traffic {

// Events.
struct ConnectSucceeded {};
struct ConnectFailed {};
/// A call is put on the idle connection.
struct Leased {};
/// Bytes came in.
struct BytesArrived {};
/// The request has been written to its last byte.
struct RequestSent {};
/// The answer was parsed to its end.
struct AnswerComplete {
  bool KeepAlive_ = false;   ///< neither side asked for the connection's end
  bool BytesFollow_ = false; ///< more bytes came than belong to the answer
};
/// The peer closed, the network failed, or the answer cannot be parsed.
struct ConnectionBroken {};
/// The call gave up on its answer.
struct Abandoned {};
/// The connection is no longer wanted: server leaving or idle for too long.
struct Retired {};

using ConnectionEvent = std::variant<ConnectSucceeded, ConnectFailed, Leased,
                                     BytesArrived, RequestSent, AnswerComplete,
                                     ConnectionBroken, Abandoned, Retired>;

/// What is to be done with the connection.
enum class ConnectionAction {
  Offer,        ///< put it among the idle connections
  ParseAnswer,  ///< the bytes belong to the call that it carries
  ReportEnd,    ///< tell the call that its answer is whole
  ReportFailed, ///< tell the call that no whole answer will come
  Close,
};

/// State machine of one connection. A connection that was closed stays so; a
/// connection is offered again only after a whole answer to a whole request
/// with nothing behind it.
class ConnectionLifecycle {
public:
  ConnectionLifecycle();
  ~ConnectionLifecycle();

  std::vector<ConnectionAction> process(const ConnectionEvent &Event);

  bool isIdle() const;
  bool isClosed() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace cumingauge::traffic
