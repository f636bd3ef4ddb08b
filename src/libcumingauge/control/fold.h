#pragma once

#include "model/change.h"
#include "model/configstate.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include <boost/leaf.hpp>

/// The fold of the change log into the configuration in force.
namespace cumingauge::control {

/// Ids of the latest changes that a state remembers.
constexpr std::size_t RecentChangeLimit = 512;

/// Why a change cannot be written or applied. Code_ is ChangeRefused,
/// ConfirmationNeeded, ChangeConflict (not the next version, or written on
/// top of another history).
struct ChangeFault {
  model::ResultCode Code_ = model::ResultCode::ChangeRefused;
  model::Problems Problems_;
};

/// Checks an action against the state that it would be applied to. Fails with
/// a ChangeFault.
/// \param Confirmed the operator insists on a change that takes the last
/// server of a service away.
boost::leaf::result<void> checkAction(const model::ChangeAction &Action,
                                      const model::ConfigState &State,
                                      bool Confirmed);

/// Applies entry N+1 on a state of version N. An action that does not hold on
/// this state counts as a version without effect, on every process alike.
/// Fails with a ChangeFault when the entry does not follow the state.
boost::leaf::result<model::ConfigState> apply(const model::Change &Entry,
                                              model::ConfigState State);

/// Digest of the log that ends with this entry.
std::uint64_t digestAfter(const model::Change &Entry);

/// True when both actions decide about the same preset or server, so that one
/// must not silently replace the other.
bool isSameSubject(const model::ChangeAction &Left,
                   const model::ChangeAction &Right);

} // namespace cumingauge::control
