#pragma once

#include "model/change.h"
#include "model/configstate.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include <boost/leaf.hpp>

/// Fold of the change log: applies its entries one by one to the configuration
/// state.
namespace cumingauge::control {

/// Number of recent change ids that a state stores, to detect ids that are used
/// twice and to look changes up.
constexpr std::size_t RecentChangeLimit = 512;

/// Why a change cannot be written or applied. Code_ is ChangeRefused,
/// ConfirmationNeeded or ChangeConflict (the entry is not the next version, or
/// was written on top of a log with other contents).
struct ChangeFault {
  model::ResultCode Code_ = model::ResultCode::ChangeRefused;
  model::Problems Problems_;
};

/// Checks an action against the state that it would be applied to. Fails with a
/// ChangeFault.
/// \param Confirmed whether the operator has confirmed the change; needed to
/// remove a server that is not marked as leaving, and to mark the last server
/// of a service as leaving.
boost::leaf::result<void> checkAction(const model::ChangeAction &Action,
                                      const model::ConfigState &State,
                                      bool Confirmed);

/// Applies entry N+1 to a state of version N. An action that is invalid on this
/// state has no effect but still counts as a version; this is the same in every
/// process. Fails with a ChangeFault when the entry does not follow the state.
boost::leaf::result<model::ConfigState> apply(const model::Change &Entry,
                                              model::ConfigState State);

/// Returns the digest of the log that ends with this entry.
std::uint64_t digestAfter(const model::Change &Entry);

/// Returns true when both actions affect the same preset or server, or both
/// select the preset in force. Such a change must not replace the other one
/// unless the operator has seen that.
bool isSameSubject(const model::ChangeAction &Left,
                   const model::ChangeAction &Right);

} // namespace cumingauge::control
