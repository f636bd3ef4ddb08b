#pragma once

#include <memory>
#include <variant>
#include <vector>

/// The life of one backend server as one traffic thread sees it.
namespace cumingauge::traffic {

// Events.
struct ServerListed {}; ///< the view has it, and it is not leaving
struct ServerLeft {};   ///< marked as leaving, or no longer in the view
struct ServerCallStarted {};
struct ServerCallEnded {};

using ServerEvent =
    std::variant<ServerListed, ServerLeft, ServerCallStarted, ServerCallEnded>;

enum class ServerAction {
  CloseIdle,      ///< close its idle connections
  RecordLastCall, ///< a leaving server has no call in flight any more
};

/// State machine of one backend server: serving, draining (leaving with calls
/// in flight) or drained.
class ServerLifecycle {
public:
  ServerLifecycle();
  ~ServerLifecycle();

  std::vector<ServerAction> process(const ServerEvent &Event);

  unsigned calls() const;
  bool isLeaving() const;

private:
  struct Machine;
  std::unique_ptr<Machine> Machine_;
};

} // namespace cumingauge::traffic
