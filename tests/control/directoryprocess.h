#pragma once

#include "control/core.h"
#include "control/directoryfleet.h"
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cumingauge::control::fakes {

/// One process that follows a directory whose responses the test gives. It has
/// read the member list and found no other member.
class DirectoryProcess {
public:
  DirectoryProcess();

  void feed(const CoreInput &Input);

  void wait(model::milliseconds Time);

  /// The same, while the directory confirms that nothing has changed.
  void waitUnchanged(model::milliseconds Time);

  /// Waits until a poll is in flight and returns it.
  const CallDirectory *nextPoll();

  /// Lets time pass without ticks, as for a suspended process.
  void sleep(model::milliseconds Time);

  /// Returns the call about a topic that is in flight beside polls, or null. A
  /// ping is about none.
  const CallDirectory *call(ports::DirectoryTopic Topic) const;

  /// Returns the latest poll that is in flight, or null.
  const CallDirectory *poll() const;

  /// Returns the ping that is in flight, or null.
  const CallDirectory *ping() const;

  void answer(ports::DirectoryTopic Topic, ports::DirectoryResponse Response);
  void answer(const CallDirectory *Call, ports::DirectoryResponse Response);

  /// Answers the pings, and the polls with what confirms that nothing has
  /// changed.
  void answerChecks();

  /// Returns the commands of the steps since the last call.
  std::vector<CoreCommand> takeCommands() {
    return std::exchange(Commands_, {});
  }

  /// Returns the events of a kind.
  std::vector<RecordEvent> events(model::EventKind Kind) const;

  /// Returns the updates that were sent to peers.
  const std::vector<DirectoryUpdate> &updates() const { return Updates_; }

  const DirectoryEra &era() const { return directoryEra(*Core_); }
  model::TimePoint now() const { return Now_; }
  std::string source() const { return configurationSource(*Core_); }
  model::ConfigurationKnowledge configuration() const {
    return configurationKnowledge(*Core_, {});
  }
  model::TimePoint confirmedAt() const { return lastExchange(*Core_); }
  unsigned calls() const { return static_cast<unsigned>(Calls_.size()); }
  const model::ControlView *view() const { return View_.get(); }
  bool isListed(const std::string &Name) const;
  bool isLeaving(const std::string &Name) const;

private:
  template <class Predicate>
  const CallDirectory *findCall(const Predicate &Matches) const {
    for (auto It = Calls_.rbegin(); It != Calls_.rend(); ++It)
      if (Matches(It->Request_) && !Answered_.count(It->Call_))
        return &*It;
    return nullptr;
  }

  model::TimePoint Now_{model::seconds(1000)};
  std::shared_ptr<CoreState> Core_;
  std::vector<CallDirectory> Calls_;
  std::set<StoreCallId> Answered_;
  std::shared_ptr<const model::ControlView> View_;
  std::vector<RecordEvent> Events_;
  std::vector<CoreCommand> Commands_;
  std::vector<DirectoryUpdate> Updates_;
};

// Responses of the directory.

ports::DirectoryResponse configuration(std::uint64_t Version,
                                       std::uint64_t Revision);
ports::DirectoryResponse servers(const std::vector<ports::ServerEntry> &Entries,
                                 std::uint64_t Revision);
ports::DirectoryResponse ofEra(std::uint64_t Era,
                               ports::DirectoryResponse Response);
ports::DirectoryResponse failure();
/// The history after the requested revision is gone.
ports::DirectoryResponse compacted();

/// Returns a process that knows version 5 and the servers a, b and c at
/// revision 10.
DirectoryProcess makeSettledProcess();

} // namespace cumingauge::control::fakes
