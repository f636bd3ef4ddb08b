#include "control/snapshotwriter.h"
#include "control/corestate.h"
#include "control/fold.h"
#include "control/linkchoice.h"
#include "control/storecodec.h"
#include "control/storekeys.h"
#include <algorithm>

namespace cumingauge::control {

namespace {

using Activity = SnapshotWriter::Activity;
using ports::StoreOperation;

constexpr model::seconds CheckPeriod{10};
constexpr model::seconds RetryPeriod{20};
constexpr model::seconds CallTimeout{20};
constexpr std::uint64_t MaxDeletesPerRound = 500;

/// Ends the current round and waits, with jitter, before the next one.
void endRound(CoreState &State, model::Duration Wait) {
  SnapshotWriter &Writer = State.Snapshots_;
  Writer.Activity_ = Activity::Idle;
  Writer.Call_ = 0;
  Writer.Chunks_.clear();
  Writer.State_.reset();
  Writer.NextAt_ = State.Now_ + jittered(State, Wait);
}

/// Starts an activity; its request is sent at the next tick.
void startActivity(CoreState &State, Activity What) {
  State.Snapshots_.Activity_ = What;
  State.Snapshots_.Call_ = 0;
}

/// Returns the version of the last entry that a snapshot makes obsolete.
std::uint64_t lastObsoleteEntry(const CoreState &State,
                                const SnapshotPointer &Pointer) {
  const std::uint64_t Margin = State.Settings_.EntryMargin_;
  return Pointer.Version_ > Margin ? Pointer.Version_ - Margin : 0;
}

bool isSnapshotDue(const CoreState &State, const SnapshotPointer &Pointer) {
  return versionOf(State) >= Pointer.Version_ + State.Settings_.SnapshotEvery_;
}

bool isDeletionDue(const CoreState &State, const SnapshotPointer &Pointer) {
  return lastObsoleteEntry(State, Pointer) >= Pointer.FirstEntry_ &&
         State.Snapshots_.PointerSince_ &&
         isDue(State.Snapshots_.PointerSince_, State.Settings_.EntryRetention_,
               State.Now_);
}

/// Processes the store's entry at the version of the state. Its digest covers
/// the whole log before it, so a state that differs from the store's log is
/// never written as a snapshot.
void handleLastEntry(CoreState &State, const ports::StoreResponse &Answer) {
  SnapshotWriter &Writer = State.Snapshots_;
  const auto Entry = decodeChange(Answer.Value_);
  if (!Answer.Found_ || !Entry ||
      digestAfter(*Entry) != Writer.State_->LogDigest_) {
    endRound(State, RetryPeriod);
    return;
  }
  const SnapshotPointer &Pointer = *Writer.Pointer_;
  const std::string Bytes = encodeState(*Writer.State_);
  Writer.Chunks_ = splitBytes(Bytes, MaxStoreValueBytes);
  Writer.Next_ = Pointer;
  Writer.Next_.Version_ = Writer.State_->Version_;
  Writer.Next_.Chunks_ = static_cast<std::uint32_t>(Writer.Chunks_.size());
  Writer.Next_.BytesDigest_ = digestOf(Bytes);
  Writer.Next_.PreviousVersion_ = Pointer.Version_;
  Writer.Next_.PreviousChunks_ = Pointer.Chunks_;
  Writer.Chunk_ = 0;
  startActivity(State, Activity::WritingChunk);
}

void startSnapshot(CoreState &State) {
  State.Snapshots_.State_ = State.Log_.State_;
  startActivity(State, Activity::ComparingEntry);
}

void startDeletion(CoreState &State, const SnapshotPointer &Pointer) {
  SnapshotWriter &Writer = State.Snapshots_;
  Writer.Entry_ = Pointer.FirstEntry_;
  Writer.Next_ = Pointer;
  Writer.Next_.FirstEntry_ = std::min(lastObsoleteEntry(State, Pointer) + 1,
                                      Pointer.FirstEntry_ + MaxDeletesPerRound);
  startActivity(State, Activity::DeletingEntry);
}

void handlePointer(CoreState &State, const ports::StoreResponse &Answer) {
  SnapshotWriter &Writer = State.Snapshots_;
  SnapshotPointer Pointer;
  if (Answer.Found_) {
    const auto Decoded = decodePointer(Answer.Value_);
    if (!Decoded) {
      record(State, model::EventKind::Alarm, "store", 0,
             model::ResultCode::StoreAnswerInvalid,
             "holds a snapshot pointer that cannot be read");
      endRound(State, RetryPeriod);
      return;
    }
    Pointer = *Decoded;
  }
  if (!Writer.Pointer_ || Writer.Pointer_->Version_ != Pointer.Version_)
    Writer.PointerSince_ = State.Now_;
  Writer.Pointer_ = Pointer;
  Writer.PointerIndex_ = Answer.Found_ ? Answer.Index_ : 0;
  if (isSnapshotDue(State, Pointer))
    startSnapshot(State);
  else if (isDeletionDue(State, Pointer))
    startDeletion(State, Pointer);
  else
    endRound(State, CheckPeriod);
}

void finishChunk(CoreState &State) {
  SnapshotWriter &Writer = State.Snapshots_;
  ++Writer.Chunk_;
  startActivity(State, Writer.Chunk_ < Writer.Chunks_.size()
                           ? Activity::WritingChunk
                           : Activity::MovingPointer);
}

/// Deletes the last but one snapshot after the pointer has been updated.
void finishPointer(CoreState &State) {
  SnapshotWriter &Writer = State.Snapshots_;
  Writer.Chunk_ = 0;
  if (Writer.Pointer_->PreviousChunks_ > 0)
    startActivity(State, Activity::DeletingChunk);
  else
    endRound(State, CheckPeriod);
}

ports::StoreRequest makeRequest(const SnapshotWriter &Writer) {
  ports::StoreRequest Out;
  switch (Writer.Activity_) {
  case Activity::Idle:
  case Activity::ReadingPointer:
    Out.Key_ = SnapshotPointerKey;
    break;
  case Activity::ComparingEntry:
    Out.Key_ = entryKey(Writer.State_->Version_);
    break;
  case Activity::WritingChunk:
    Out.Operation_ = StoreOperation::CreateIfAbsent;
    Out.Key_ = chunkKey(Writer.Next_.Version_, Writer.Chunk_);
    Out.Value_ = Writer.Chunks_[Writer.Chunk_];
    break;
  case Activity::ComparingChunk:
    Out.Key_ = chunkKey(Writer.Next_.Version_, Writer.Chunk_);
    break;
  case Activity::MovingPointer:
  case Activity::MovingFirstEntry:
    Out.Operation_ = Writer.PointerIndex_ == 0 ? StoreOperation::CreateIfAbsent
                                               : StoreOperation::CompareAndSwap;
    Out.Key_ = SnapshotPointerKey;
    Out.Value_ = encodePointer(Writer.Next_);
    Out.Index_ = Writer.PointerIndex_;
    break;
  case Activity::DeletingEntry:
    Out.Operation_ = StoreOperation::Delete;
    Out.Key_ = entryKey(Writer.Entry_);
    break;
  case Activity::DeletingChunk:
    Out.Operation_ = StoreOperation::Delete;
    Out.Key_ = chunkKey(Writer.Pointer_->PreviousVersion_, Writer.Chunk_);
    break;
  }
  return Out;
}

void handleStep(CoreState &State, const ports::StoreResponse &Answer) {
  SnapshotWriter &Writer = State.Snapshots_;
  switch (Writer.Activity_) {
  case Activity::Idle:
    return;
  case Activity::ReadingPointer:
    handlePointer(State, Answer);
    return;
  case Activity::ComparingEntry:
    handleLastEntry(State, Answer);
    return;
  case Activity::WritingChunk:
    if (Answer.Written_)
      finishChunk(State);
    else
      startActivity(State, Activity::ComparingChunk);
    return;
  case Activity::ComparingChunk:
    if (Answer.Found_ && Answer.Value_ == Writer.Chunks_[Writer.Chunk_])
      finishChunk(State);
    else
      endRound(State, RetryPeriod);
    return;
  case Activity::MovingPointer:
    if (Answer.Written_)
      finishPointer(State);
    else
      endRound(State, CheckPeriod);
    return;
  case Activity::DeletingEntry:
    ++Writer.Entry_;
    startActivity(State, Writer.Entry_ < Writer.Next_.FirstEntry_
                             ? Activity::DeletingEntry
                             : Activity::MovingFirstEntry);
    return;
  case Activity::DeletingChunk:
    ++Writer.Chunk_;
    if (Writer.Chunk_ < Writer.Pointer_->PreviousChunks_)
      startActivity(State, Activity::DeletingChunk);
    else
      endRound(State, CheckPeriod);
    return;
  case Activity::MovingFirstEntry:
    endRound(State, CheckPeriod);
    return;
  }
}

/// Whether a snapshot or a deletion is due, as far as known without a request.
bool mayHaveWork(const CoreState &State) {
  const auto &Pointer = State.Snapshots_.Pointer_;
  return !Pointer || isSnapshotDue(State, *Pointer) ||
         isDeletionDue(State, *Pointer);
}

/// Whether this process is the one that writes snapshots.
bool isResponsible(const CoreState &State) {
  return State.Confirmed_ && !State.Follower_.IsUnreachable_ &&
         versionOf(State) > 0 &&
         ranksAmongFirst(State.Settings_.Self_, livePeers(State), "snapshot",
                         1);
}

} // namespace

void writeSnapshots(CoreState &State) {
  SnapshotWriter &Writer = State.Snapshots_;
  if (Writer.Call_ != 0) {
    if (State.Now_ - Writer.Issued_ >= CallTimeout)
      endRound(State, RetryPeriod);
    return;
  }
  if (Writer.Activity_ == Activity::Idle) {
    if (State.Now_ < Writer.NextAt_ || !isResponsible(State) ||
        !mayHaveWork(State))
      return;
    Writer.Activity_ = Activity::ReadingPointer;
  }
  Writer.Issued_ = State.Now_;
  Writer.Call_ = callStore(State, makeRequest(Writer));
}

bool handleSnapshotResponse(CoreState &State, StoreCallId Call,
                            const ports::StoreResponse &Answer) {
  SnapshotWriter &Writer = State.Snapshots_;
  if (Call != Writer.Call_ || Call == 0)
    return false;
  Writer.Call_ = 0;
  if (Answer.Code_ == model::ResultCode::Ok)
    handleStep(State, Answer);
  else
    endRound(State, RetryPeriod);
  return true;
}

} // namespace cumingauge::control
