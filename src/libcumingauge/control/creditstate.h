#pragma once

#include "control/creditasker.h"
#include "control/creditclaim.h"
#include "control/linktable.h"
#include "model/workspace.h"
#include <array>
#include <map>
#include <optional>
#include <string>

namespace cumingauge::control {

/// The read of all claims.
struct ClaimsRead {
  StoreCallId Call_ = 0; ///< 0: none in flight
  model::TimePoint IssuedAt_;
  std::optional<model::TimePoint> NextAt_; ///< absent: never read
  unsigned Failures_ = 0;                  ///< in a row
  bool IsWanted_ = false; ///< calls wait, and an issuer is not known
  /// Reads in a row that were wanted and have shown no other issuer.
  unsigned Fruitless_ = 0;
};

/// The credit of workspaces with a quota, as issued and requested by one
/// process.
struct CreditState {
  model::Workspaces Workspaces_; ///< those that Quotas_ was made from
  std::map<std::string, model::CallQuota> Quotas_; ///< by workspace
  std::array<CreditPart, CreditParts> Parts_;
  /// Number of members that come before this process in the rendezvous order of
  /// each part; absent before the members are known.
  std::array<std::optional<unsigned>, CreditParts> Ranks_;
  std::optional<model::TimePoint> RankedAt_;
  /// First member in the rendezvous order of each part: the issuer to ask while
  /// no claim is known.
  std::array<std::optional<ports::CreditClaim>, CreditParts> First_;
  /// Time that this process waits before it claims a part of which it is no
  /// candidate; drawn anew for each claim that it observes.
  std::array<model::Duration, CreditParts> Delays_{};
  std::uint64_t Era_ = 0; ///< of the directory in which the claims were read
  std::uint64_t LastNumber_ = 0; ///< of the claims that were written
  ClaimsRead Read_;
  CreditAsker Asker_;
  /// Addresses of issuers, and when they were last asked.
  std::map<PeerAddress, model::TimePoint> Used_;
};

} // namespace cumingauge::control
