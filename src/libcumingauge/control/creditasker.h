#pragma once

#include "control/core.h"
#include "control/creditbucket.h"
#include <array>
#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Requests of this process for credit: which part each goes to, and when it is
/// given up. Without network and clock.
namespace cumingauge::control {

/// Time from sending a request in which its answer counts. Credit that arrives
/// later is lost: the call would start outside the window of its grant.
constexpr model::milliseconds CreditTimeout{300};

/// Longest time for which the refusal of a part counts for further calls. An
/// issuer counts callers that may never return, so that it may have credit
/// earlier than it said.
constexpr model::milliseconds MaxClosedTime{500};

using PartSet = std::bitset<CreditParts>;

/// A call that waits for credit.
struct CreditWant {
  std::string Workspace_;
  model::TimePoint WantedAt_;
  /// No further part is asked from then on, as the call does not wait longer.
  model::TimePoint Until_ = model::TimePoint::max();
  /// The part that is asked now; absent: none yet.
  std::optional<unsigned> Part_;
  model::TimePoint AskedAt_; ///< when Part_ was chosen
  /// Number of the message to Part_ that carries the request; 0: not sent.
  std::uint64_t Message_ = 0;
  PartSet Tried_;
  unsigned Refusals_ = 0;
  bool IsKnownEmpty_ = false;         ///< a part was not asked, as it is closed
  unsigned Failures_ = 0;             ///< parts that did not answer
  model::milliseconds RetryAfter_{0}; ///< shortest of the refusals
};

/// What this process knows of one part for one workspace. A part that has
/// refused is closed for a time; then one call asks it, and it stays closed for
/// the others until that call has an answer.
struct CreditOutlook {
  model::TimePoint EmptyUntil_;  ///< by the last refusal
  model::TimePoint ClosedUntil_; ///< zero: the last answer was a grant
};

/// Where the next request of a workspace goes.
struct CreditTurn {
  unsigned Next_ = 0;
  std::array<CreditOutlook, CreditParts> Outlooks_;
};

/// A message with requests that has not been answered.
struct CreditBatch {
  LinkId Link_ = 0;
  model::TimePoint SentAt_;
  std::vector<std::uint64_t> Requests_; ///< their numbers
};

struct CreditAsker {
  std::map<std::uint64_t, CreditWant> Wants_; ///< by number of the request
  std::map<std::uint64_t, CreditBatch> Sent_; ///< by number of the message
  std::uint64_t LastMessage_ = 0;
  std::map<std::string, CreditTurn> Turns_; ///< by workspace
  /// Parts that have not answered are asked last until then.
  std::array<model::TimePoint, CreditParts> AvoidUntil_;
  /// Since when each part owes an answer.
  std::array<std::optional<model::TimePoint>, CreditParts> OwesSince_;
};

/// Chooses the part to ask for a call. Returns false when none of the usable
/// parts is left, or only ones that are closed, that have been silent for long,
/// that do not answer while another one has refused, or that refused last, when
/// others have refused this call. Parts that have refused
/// or not answered are tried by one call at a time. \param Start part
/// that is asked first for a workspace that is new.
bool choosePart(CreditAsker &Asker, CreditWant &Want, const PartSet &Usable,
                unsigned Start, model::TimePoint Now);

/// Returns whether none of the usable parts has answered for so long that a
/// call is to be refused at once. One call per second still tries each.
bool areSilent(const CreditAsker &Asker, const PartSet &Usable,
               model::TimePoint Now);

/// Records that a part can be asked again, as this process issues it now.
void forgetSilence(CreditAsker &Asker, unsigned Part);

/// Applies the answer of the part that is asked. Returns the decision on the
/// call; nothing when another part is to be asked.
std::optional<CreditDecision> applyCreditAnswer(CreditAsker &Asker,
                                                CreditWant &Want,
                                                const CreditDecision &Answer,
                                                model::TimePoint Now);

/// Records that the part that is asked gives no answer. Returns as
/// applyCreditAnswer does.
std::optional<CreditDecision>
applyCreditFailure(CreditAsker &Asker, CreditWant &Want, model::TimePoint Now);

/// Returns the decision on a call for which no part is left to be asked.
CreditDecision concludeWant(const CreditWant &Want);

/// Returns whether the time for the present step of a call is over.
bool isOverdue(const CreditWant &Want, model::TimePoint Now);

} // namespace cumingauge::control
