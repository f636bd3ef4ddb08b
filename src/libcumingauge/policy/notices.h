#pragma once

#include "model/servernotice.h"
#include "policy/balancerstate.h"
#include <vector>

/// What backend servers announce about themselves: that they leave, that they
/// want no call for a while, or that they are cold. A leaving or paused a
/// server is taken out of the members of its service, so that no way of
/// choosing a server leads to it.
namespace cumingauge::policy {

/// Returns whether a server may get calls as far as its own notices go.
bool isOpen(const ServerRecord &Server, model::TimePoint Now);

/// The same for a handle, with the limit on calls to cold servers.
bool isOpen(const BalancerState &State, ServerHandle Server,
            model::TimePoint Now);

/// Returns whether a server may get calls by the present view and by its own
/// notices.
bool takesCalls(const BalancerState &State, ServerHandle Server,
                model::TimePoint Now);

/// Returns whether the server has announced that it leaves.
bool hasAnnouncedLeaving(const BalancerState &State, ServerHandle Server);

/// What a notice has changed.
enum class NoticeEffect { None, Left, Paused, Cold };

/// Applies a notice of a server. A leaving server stays so for good; of two
/// pauses the one that ends later counts.
NoticeEffect applyNotice(BalancerState &State, ServerHandle Server,
                         const model::ServerNotice &Notice,
                         model::TimePoint Now);

/// Returns the servers whose pauses have ended, which get calls again from now
/// on.
std::vector<ServerHandle> endPauses(BalancerState &State, model::TimePoint Now);

/// Returns the time until the first of the service's servers is open again that
/// is paused, or closed to this thread because it is cold; zero when there is
/// none.
model::Duration timeToFirstOpen(const BalancerState &State,
                                const ServiceRecord &Service,
                                model::TimePoint Now);

/// Number of listed servers that get no calls because of their notices.
struct NoticeCounts {
  unsigned Leaving_ = 0;
  unsigned Paused_ = 0;
};
NoticeCounts countNotices(const BalancerState &State, model::TimePoint Now);

} // namespace cumingauge::policy
