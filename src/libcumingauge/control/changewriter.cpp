#include "control/changewriter.h"
#include "control/fold.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using model::ResultCode;
using Phase = ChangeWriter::Phase;

void refuse(ChangeWriter &Writer, ResultCode Code, model::Problems Problems) {
  Writer.Outcome_ = WriteRefused{Code, std::move(Problems)};
}

/// Ends the write without a definite response from the store: the outcome is
/// unknown if an attempt may have succeeded.
void giveUp(ChangeWriter &Writer, ResultCode Code) {
  if (Writer.MayHaveBeenWritten_)
    Writer.Outcome_ = WriteUnknown{Writer.Request_.Id_, Writer.Entry_.Version_};
  else
    refuse(Writer, Code, {{"", "the store could not be asked in time"}});
}

/// Returns an accepted change that the operator had not seen and that affects
/// the same preset or server, or null.
const model::Change *findConflict(const ChangeWriter &Writer) {
  const std::uint64_t Seen = *Writer.Request_.SeenVersion_;
  const auto &Entries = Writer.Reader_.Entries_;
  const auto Found = std::find_if(
      Entries.begin(), Entries.end(), [&](const model::Change &Entry) {
        return Entry.Version_ > Seen &&
               Entry.Action_ != Writer.Request_.Action_ &&
               isSameSubject(Entry.Action_, Writer.Request_.Action_);
      });
  return Found == Entries.end() ? nullptr : &*Found;
}

/// Returns the requested change if it is among the entries read, or null.
const model::Change *findRequestedChange(const ChangeWriter &Writer) {
  const auto &Entries = Writer.Reader_.Entries_;
  const auto Found = std::find_if(Entries.begin(), Entries.end(),
                                  [&](const model::Change &Entry) {
                                    return Entry.Id_ == Writer.Request_.Id_;
                                  });
  return Found == Entries.end() ? nullptr : &*Found;
}

bool isIdUsed(const ChangeWriter &Writer) {
  const auto &Ids = Writer.Reader_.State_.RecentChangeIds_;
  return std::find(Ids.begin(), Ids.end(), Writer.Request_.Id_) != Ids.end();
}

/// Checks the action against the state that was read and prepares the entry.
void prepare(ChangeWriter &Writer) {
  const model::ConfigState &State = Writer.Reader_.State_;
  const WriteRequest &Request = Writer.Request_;
  if (!Writer.Request_.SeenVersion_)
    Writer.Request_.SeenVersion_ = State.Version_;
  const std::uint64_t OldestSeen =
      State.Version_ - Writer.Reader_.Entries_.size();
  if (*Request.SeenVersion_ < OldestSeen) {
    refuse(Writer, ResultCode::ChangeRefused,
           {{"/seenVersion", "is older than the entries still in the log, so a "
                             "conflict cannot be ruled out; read the "
                             "current configuration first"}});
    return;
  }
  if (const model::Change *Other = findConflict(Writer)) {
    Writer.Outcome_ =
        WriteConflict{Other->Version_, Other->Author_, Other->Id_};
    return;
  }
  const auto Checked = boost::leaf::try_handle_some(
      [&]() { return checkAction(Request.Action_, State, Request.Confirmed_); },
      [&](const ChangeFault &Fault) -> boost::leaf::result<void> {
        refuse(Writer, Fault.Code_, Fault.Problems_);
        return {};
      });
  if (!Checked || Writer.Outcome_)
    return;
  Writer.Entry_ = {Request.Id_,     Request.Author_, State.Version_ + 1,
                   Request.WallMs_, Request.Action_, State.LogDigest_};
  Writer.EntryBytes_ = encodeChange(Writer.Entry_);
  if (Writer.EntryBytes_.size() > MaxStoreValueBytes) {
    refuse(Writer, ResultCode::ChangeRefused,
           {{"", "is larger than " + std::to_string(MaxStoreValueBytes) +
                     " bytes; split the change"}});
    return;
  }
  Writer.Phase_ = Phase::Creating;
}

void concludeReading(ChangeWriter &Writer) {
  if (Writer.Reader_.Phase_ == StateReader::Phase::Failed) {
    refuse(Writer, Writer.Reader_.Reason_,
           {{entryKey(Writer.Reader_.State_.Version_ + 1),
             "the store holds a value that cannot be read"}});
    return;
  }
  if (Writer.Reader_.Phase_ != StateReader::Phase::Done)
    return;
  if (const model::Change *Own = findRequestedChange(Writer)) {
    Writer.Outcome_ = WriteAccepted{*Own};
    return;
  }
  if (isIdUsed(Writer)) {
    refuse(Writer, ResultCode::ChangeRefused,
           {{"/id", "is the id of an earlier change"}});
    return;
  }
  prepare(Writer);
}

/// Processes the entry that was found at the version of the attempt.
void handleOccupant(ChangeWriter &Writer, const ports::StoreResponse &Answer) {
  const auto Occupant = decodeChange(Answer.Value_);
  if (!Answer.Found_ || !Occupant) {
    // The entry existed when the attempt was rejected, so what has become of
    // the attempt is not certain.
    Writer.MayHaveBeenWritten_ = true;
    giveUp(Writer, ResultCode::StoreAnswerInvalid);
    return;
  }
  if (Occupant->Id_ == Writer.Request_.Id_) {
    Writer.Outcome_ = WriteAccepted{*Occupant};
    return;
  }
  // Entries are never overwritten, so no attempt at this version can succeed
  // any more.
  Writer.MayHaveBeenWritten_ = false;
  Writer.Phase_ = Phase::Reading;
  Writer.Reader_.Phase_ = StateReader::Phase::Entries;
}

/// Counts a failed request. A failed creation may have taken effect unless the
/// store definitely did not execute it.
void handleFailure(ChangeWriter &Writer, ResultCode Code) {
  ++Writer.Failures_;
  if (Writer.Phase_ == Phase::Creating &&
      Code != ResultCode::StoreUnavailable &&
      Code != ResultCode::StoreRateLimited)
    Writer.MayHaveBeenWritten_ = true;
}

/// Whether the time limit of the write has passed. A response after that is not
/// evidence of anything, since the log may have been compacted meanwhile.
bool isTimedOut(const ChangeWriter &Writer, model::TimePoint Now) {
  return Now - Writer.StartedAt_ >= Writer.Limits_.Timeout_;
}

/// Processes the response to the creation of the entry.
void handleCreated(ChangeWriter &Writer, const ports::StoreResponse &Answer) {
  if (Answer.Written_)
    Writer.Outcome_ = WriteAccepted{Writer.Entry_};
  else
    Writer.Phase_ = Phase::ReadingOccupant;
}

} // namespace

ResultCode codeOf(const WriteOutcome &Outcome) {
  if (std::holds_alternative<WriteAccepted>(Outcome))
    return ResultCode::Ok;
  if (const auto *Refused = std::get_if<WriteRefused>(&Outcome))
    return Refused->Code_;
  return std::holds_alternative<WriteConflict>(Outcome)
             ? ResultCode::ChangeConflict
             : ResultCode::ChangeOutcomeUnknown;
}

ChangeWriter startWrite(WriteRequest Request, const WriteLimits &Limits,
                        model::TimePoint Now) {
  ChangeWriter Out;
  Out.Request_ = std::move(Request);
  Out.Limits_ = Limits;
  Out.StartedAt_ = Now;
  return Out;
}

WriterStep nextStep(ChangeWriter &Writer, model::TimePoint Now) {
  WriterStep Out;
  if (!Writer.Outcome_ && isTimedOut(Writer, Now))
    giveUp(Writer, ResultCode::StoreUnavailable);
  if (Writer.Outcome_) {
    Out.Outcome_ = Writer.Outcome_;
    return Out;
  }
  if (Writer.Failures_ > 0) {
    const unsigned Doublings = std::min(Writer.Failures_ - 1, 10U);
    Out.Delay_ = std::min<model::Duration>(Writer.Limits_.InitialBackoff_ *
                                               (1 << Doublings),
                                           Writer.Limits_.MaxBackoff_);
  }
  if (Writer.Phase_ == Phase::Reading) {
    Out.Request_ = nextRequest(Writer.Reader_);
    return Out;
  }
  ports::StoreRequest Request;
  Request.Key_ = entryKey(Writer.Entry_.Version_);
  Request.Operation_ = ports::StoreOperation::Get;
  if (Writer.Phase_ == Phase::Creating) {
    Request.Operation_ = ports::StoreOperation::CreateIfAbsent;
    Request.Value_ = Writer.EntryBytes_;
  }
  Out.Request_ = std::move(Request);
  return Out;
}

void handleResponse(ChangeWriter &Writer, const ports::StoreResponse &Answer,
                    model::TimePoint Now) {
  if (Writer.Phase_ == Phase::Creating && isTimedOut(Writer, Now)) {
    Writer.MayHaveBeenWritten_ = Writer.MayHaveBeenWritten_ ||
                                 Answer.Code_ == ResultCode::StoreTimeout ||
                                 Answer.Written_;
    giveUp(Writer, ResultCode::StoreUnavailable);
    return;
  }
  if (Answer.Code_ != ResultCode::Ok) {
    handleFailure(Writer, Answer.Code_);
    return;
  }
  Writer.Failures_ = 0;
  if (Writer.Phase_ == Phase::Reading) {
    handleResponse(Writer.Reader_, Answer);
    concludeReading(Writer);
  } else if (Writer.Phase_ == Phase::Creating) {
    handleCreated(Writer, Answer);
  } else {
    handleOccupant(Writer, Answer);
  }
}

} // namespace cumingauge::control
