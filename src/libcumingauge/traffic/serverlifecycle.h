#pragma once

#include <memory>
#include <variant>
#include <vector>

/// Life cycle of a backend server as one traffic thread sees it.
namespace cumingauge::traffic {

// Events.
struct ServerListed {}; ///< in the control view and not leaving
struct ServerLeft {};   ///< marked as leaving, or gone from the control view
struct ServerCallStarted {};
struct ServerCallEnded {};

using ServerEvent =
    std::variant<ServerListed, ServerLeft, ServerCallStarted, ServerCallEnded>;

/// Actions for the traffic thread.
enum class ServerAction {
  CloseIdle,      ///< close its idle connections
  RecordLastCall, ///< record that a leaving server has no call in flight
};

/// State machine of one backend server. Its states are serving, draining
/// (leaving, with calls in flight) and drained (leaving, without). Uses no
/// socket or clock.
class ServerLifecycle {
public:
  ServerLifecycle();
  ~ServerLifecycle();

  /// Processes one event and returns the actions to perform, in this order.
  std::vector<ServerAction> process(const ServerEvent &Event);

  /// Returns the number of calls in flight at the server.
  unsigned calls() const;
  bool isLeaving() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace cumingauge::traffic
