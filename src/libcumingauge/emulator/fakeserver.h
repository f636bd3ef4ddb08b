#pragma once

#include "emulator/backendsettings.h"
#include "emulator/httpserver.h"
#include "emulator/journal.h"
#include <memory>
#include <string>

namespace cumingauge::emulator {

/// Identity, state and counters of an emulated backend server. The counters go
/// on when it is stopped and started again.
struct ServerCounters {
  std::string Server_;
  std::string Vm_;
  std::uint16_t Port_ = 0;
  bool Listening_ = false;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  unsigned Connections_ = 0;
  std::uint64_t Started_ = 0; ///< calls that began to run
  std::uint64_t JournalDropped_ = 0;
  std::uint64_t Refused_ = 0; ///< calls refused by a full queue, drain, cold
                              ///< start or passed deadline
  std::uint64_t Probes_ = 0;
  std::uint64_t PeakProbesPerSecond_ = 0;
  std::uint64_t ConnectionsAccepted_ = 0;
};
BOOST_DESCRIBE_STRUCT(ServerCounters, (),
                      (Server_, Vm_, Port_, Listening_, Running_, Waiting_,
                       Connections_, Started_, JournalDropped_, Refused_,
                       Probes_, PeakProbesPerSecond_, ConnectionsAccepted_))

/// How a backend server stops.
enum class StopMode {
  Graceful, ///< closes; calls in flight are recorded as cut off
  Kill      ///< resets all connections; calls are recorded as killed
};
BOOST_DESCRIBE_ENUM(StopMode, Graceful, Kill)

/// An emulated backend server. Runs on the thread of its io_context. GET
/// /journal, GET /counters and POST /control are answered on its own port too,
/// whatever its behaviour.
class FakeServer : public std::enable_shared_from_this<FakeServer> {
public:
  FakeServer(boost::asio::io_context &Context, ServerSettings Settings,
             Behaviour Config, std::size_t JournalEntries,
             std::shared_ptr<JournalFile> File, std::uint64_t Seed);
  ~FakeServer();

  /// Binds the address and returns its port. Throws boost::system::system_error
  /// when the address cannot be bound.
  std::uint16_t start();
  void stop(StopMode Mode);

  /// Answers a request for the journal, the counters or a change of behaviour.
  /// Returns false for any other path.
  bool handleAdmin(const std::shared_ptr<HttpExchange> &Exchange,
                   const Target &Where);

  ServerCounters counters() const;
  boost::asio::io_context &context();
  const std::string &name() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace cumingauge::emulator
