#include "changecommands.h"
#include "adapters/peerhandshake.h"
#include "codec/describedjson.h"
#include "configreader.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include "fleetclient.h"
#include "text.h"
#include <algorithm>
#include <chrono>
#include <ostream>
#include <thread>

namespace cumingauge::ctl {

namespace {

using codec::Json;
using model::ResultCode;

constexpr std::size_t ChangeIdLength = 16;

model::TimePoint now() { return std::chrono::steady_clock::now(); }

control::WriteRequest writeRequest(const Context &Ctx,
                                   const model::ChangeAction &Action,
                                   const SubmitOptions &Options) {
  control::WriteRequest Out;
  Out.Id_ = Options.ChangeId_.empty()
                ? adapters::makeNonce().substr(0, ChangeIdLength)
                : Options.ChangeId_;
  Out.Author_ = Ctx.Settings_.Author_;
  Out.Action_ = Action;
  Out.Confirmed_ = Options.Confirmed_;
  Out.SeenVersion_ = Options.SeenVersion_;
  Out.WallMs_ = wallMs();
  return Out;
}

Json outcomeJson(const control::WriteOutcome &Outcome) {
  const ResultCode Code = control::codeOf(Outcome);
  Json Out{{"code", static_cast<int>(Code)}, {"name", model::nameOf(Code)}};
  if (const auto *Accepted = std::get_if<control::WriteAccepted>(&Outcome)) {
    Out["outcome"] = "accepted";
    Out["version"] = Accepted->Change_.Version_;
    Out["changeId"] = Accepted->Change_.Id_;
  } else if (const auto *Refused =
                 std::get_if<control::WriteRefused>(&Outcome)) {
    Out["outcome"] = "refused";
    Out["problems"] = codec::toJson(Refused->Problems_);
  } else if (const auto *Conflict =
                 std::get_if<control::WriteConflict>(&Outcome)) {
    Out["outcome"] = "conflict";
    Out["version"] = Conflict->Version_;
    Out["author"] = Conflict->Author_;
    Out["otherChangeId"] = Conflict->Id_;
  } else if (const auto *Unknown =
                 std::get_if<control::WriteUnknown>(&Outcome)) {
    Out["outcome"] = "unknown";
    Out["changeId"] = Unknown->Id_;
    Out["triedVersion"] = Unknown->Version_;
  }
  return Out;
}

/// Visitor that prints an outcome as text.
struct OutcomeText {
  std::ostream &Out_;

  void operator()(const control::WriteAccepted &Outcome) const {
    Out_ << "accepted: version " << Outcome.Change_.Version_ << ", change "
         << Outcome.Change_.Id_ << "\n";
  }
  void operator()(const control::WriteRefused &Outcome) const {
    Out_ << "refused (" << model::nameOf(Outcome.Code_)
         << "): nothing was changed\n";
    for (const model::Problem &Problem : Outcome.Problems_)
      Out_ << "  " << (Problem.Path_.empty() ? "/" : Problem.Path_) << ": "
           << Problem.Message_ << "\n";
  }
  void operator()(const control::WriteConflict &Outcome) const {
    Out_ << "conflict with version " << Outcome.Version_ << " by "
         << Outcome.Author_ << " (change " << Outcome.Id_
         << "): nothing was changed\n";
  }
  void operator()(const control::WriteUnknown &Outcome) const {
    Out_ << "unknown: the store did not tell whether version "
         << Outcome.Version_ << " took this change. Ask later with:\n"
         << "  cumingaugectl change show " << Outcome.Id_ << "\n";
  }
};

void pushAccepted(const Context &Ctx, const control::WriteOutcome &Outcome) {
  const auto *Accepted = std::get_if<control::WriteAccepted>(&Outcome);
  if (!Accepted || Ctx.Settings_.Peers_.empty())
    return;
  const unsigned Count = pushEntries(Ctx.Settings_, {Accepted->Change_});
  if (!Ctx.Json_)
    Ctx.Out_ << "in force already on " << Count
             << " entry processes that were handed the change\n";
}

Json changeJson(const model::Change &Change) {
  Json Out{{"outcome", "accepted"}, {"code", 0}};
  Out["change"] = codec::toJson(Change);
  return Out;
}

void printChange(const Context &Ctx, const model::Change &Change) {
  if (Ctx.Json_) {
    Ctx.Out_ << printable(changeJson(Change)) << "\n";
    return;
  }
  Ctx.Out_ << "accepted: version " << Change.Version_ << " by "
           << Change.Author_ << " at " << timeText(Change.AcceptedAtMs_) << "\n"
           << codec::toJson(Change.Action_).dump(2) << "\n";
}

/// Searches the log entries that the store retains although the snapshot
/// already covers them.
std::optional<model::Change>
findRetainedEntry(BlockingStoreClient &Store,
                  const control::StateReader &Reader, const std::string &Id) {
  const std::uint64_t First = Reader.Pointer_.FirstEntry_;
  for (std::uint64_t V = Reader.Pointer_.Version_; V >= First && V > 0; --V) {
    ports::StoreRequest Request;
    Request.Key_ = control::entryKey(V);
    const ports::StoreResponse Answer = Store.call(Request);
    const auto Change = control::decodeChange(Answer.Value_);
    if (Answer.Found_ && Change && Change->Id_ == Id)
      return *Change;
  }
  return std::nullopt;
}

} // namespace

control::WriteOutcome submit(const Context &Ctx,
                             const model::ChangeAction &Action,
                             const SubmitOptions &Options) {
  BlockingStoreClient Store(Ctx.Settings_);
  control::WriteLimits Limits;
  Limits.Timeout_ = Ctx.Settings_.ChangeTimeout_;
  control::WriteRequest Request = writeRequest(Ctx, Action, Options);
  // Printed before the first attempt, so that the operator knows the id even
  // when this program ends before the outcome is known.
  Ctx.Err_ << "change " << Request.Id_ << std::endl;
  control::ChangeWriter Writer =
      control::startWrite(std::move(Request), Limits, now());
  while (true) {
    const control::WriterStep Step = control::nextStep(Writer, now());
    if (Step.Outcome_)
      return *Step.Outcome_;
    std::this_thread::sleep_for(Step.Delay_);
    control::handleResponse(Writer, Store.call(*Step.Request_), now());
  }
}

void reportOutcome(const Context &Ctx, const control::WriteOutcome &Outcome) {
  if (Ctx.Json_)
    Ctx.Out_ << printable(outcomeJson(Outcome)) << "\n";
  else
    std::visit(OutcomeText{Ctx.Out_}, Outcome);
  pushAccepted(Ctx, Outcome);
}

ResultCode change(const Context &Ctx, const model::ChangeAction &Action,
                  const SubmitOptions &Options) {
  const control::WriteOutcome Outcome = submit(Ctx, Action, Options);
  reportOutcome(Ctx, Outcome);
  return control::codeOf(Outcome);
}

CommandResult showChange(const Context &Ctx, const std::string &Id) {
  BlockingStoreClient Store(Ctx.Settings_);
  BOOST_LEAF_AUTO(Reader, readConfig(Store, Ctx.Settings_));
  std::optional<model::Change> Found;
  for (const model::Change &Change : Reader.Entries_)
    if (Change.Id_ == Id)
      Found = Change;
  const auto &Ids = Reader.State_.RecentChangeIds_;
  const bool IsKnown = std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
  if (!Found)
    Found = findRetainedEntry(Store, Reader, Id);
  if (Found) {
    printChange(Ctx, *Found);
    return ResultCode::Ok;
  }
  if (IsKnown) {
    Ctx.Out_ << (Ctx.Json_ ? "{\"outcome\":\"accepted\",\"code\":0}\n"
                           : "accepted; its entry is no longer kept\n");
    return ResultCode::Ok;
  }
  const std::string Version = std::to_string(Reader.State_.Version_);
  return fail(ResultCode::ChangeNotFound,
              "not in the log up to version " + Version +
                  ". If it was tried at a version up to " + Version +
                  ", it never took effect and never will; if it was tried at "
                  "a later one, it may still come: ask again");
}

} // namespace cumingauge::ctl
