#include "control/memberfeed.h"
#include "control/corestate.h"
#include "control/directorycalls.h"
#include "control/directorylinks.h"
#include <algorithm>
#include <utility>

namespace cumingauge::control {

using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryTopic;

namespace {

/// Returns whether the next call about the members announces this process.
bool mustAnnounce(const CoreState &State) {
  const DirectoryFollower &Follower = State.Directory_;
  return !Follower.Announced_ &&
         (State.Settings_.IsFirstStart_ || Follower.Members_.Read_);
}

/// Returns whether the list has this process at its present address, as after a
/// restart.
bool listsSelf(const CoreState &State,
               const std::vector<model::Member> &Members) {
  const model::Member &Self = State.Settings_.Self_;
  return std::any_of(
      Members.begin(), Members.end(), [&](const model::Member &Listed) {
        return Listed.Process_ == Self.Process_ && Listed.Host_ == Self.Host_ &&
               Listed.Port_ == Self.Port_ && Listed.Zone_ == Self.Zone_ &&
               Listed.LinkMbps_ == Self.LinkMbps_;
      });
}

void handleAnnounced(CoreState &State) {
  DirectoryFollower &Follower = State.Directory_;
  Follower.Announced_ = true;
  Follower.Members_.NextAt_ =
      Follower.Members_.Read_
          ? State.Now_ + jittered(State, State.Settings_.MembersPeriod_)
          : State.Now_ + membersReadDelay(State);
}

void handleMembersRead(CoreState &State,
                       const ports::DirectoryResponse &Response) {
  DirectoryFollower &Follower = State.Directory_;
  Follower.ListedMembers_ = Response.Members_;
  Follower.Announced_ =
      Follower.Announced_ || listsSelf(State, Response.Members_);
  if (!Follower.Announced_)
    Follower.ListedMembers_.push_back(State.Settings_.Self_);
  Follower.Members_.NextAt_ =
      Follower.Announced_
          ? State.Now_ + jittered(State, State.Settings_.MembersPeriod_)
          : State.Now_;
  Follower.Members_.Read_ = true;
  Follower.Members_.ConfirmedAt_ = State.Now_;
  State.Links_.NextChoice_ = State.Now_;
  State.Vms_.EntryVms_ = static_cast<unsigned>(Follower.ListedMembers_.size());
  State.Vms_.EntryVmsAt_ = State.Now_;
  State.ViewChanged_ = true;
}

} // namespace

void followMembers(CoreState &State) {
  DirectoryFeed &Feed = State.Directory_.Members_;
  if (State.Directory_.IsAway_ || !isDueNow(State, Feed))
    return;
  DirectoryRequest Request;
  Request.Topic_ = DirectoryTopic::Members;
  if (mustAnnounce(State)) {
    Request.Operation_ = DirectoryOperation::Announce;
    Request.Self_ = State.Settings_.Self_;
  }
  issueCall(State, Feed, std::move(Request));
}

void handleMembersResponse(CoreState &State,
                           const ports::DirectoryResponse &Response) {
  if (mustAnnounce(State))
    return handleAnnounced(State);
  handleMembersRead(State, Response);
}

} // namespace cumingauge::control
