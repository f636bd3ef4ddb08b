#include "control/statereader.h"
#include "control/fold.h"
#include "control/storecodec.h"
#include "control/storekeys.h"

namespace cumingauge::control {

namespace {

using model::ResultCode;
using Phase = StateReader::Phase;

/// Reading starts over when the snapshot is replaced while it is being read.
constexpr unsigned MaxRestarts = 3;

void fail(StateReader &Reader, ResultCode Reason) {
  Reader.Phase_ = Phase::Failed;
  Reader.Reason_ = Reason;
}

void restart(StateReader &Reader) {
  const unsigned Restarts = Reader.Restarts_ + 1;
  if (Restarts > MaxRestarts) {
    fail(Reader, ResultCode::StoreAnswerInvalid);
    return;
  }
  Reader = StateReader();
  Reader.Restarts_ = Restarts;
}

void handlePointer(StateReader &Reader, const ports::StoreResponse &Answer) {
  if (!Answer.Found_) {
    Reader.Phase_ = Phase::Entries;
    return;
  }
  auto Pointer = decodePointer(Answer.Value_);
  if (!Pointer) {
    fail(Reader, ResultCode::StoreAnswerInvalid);
    return;
  }
  Reader.Pointer_ = *Pointer;
  Reader.PointerIndex_ = Answer.Index_;
  Reader.Phase_ = Pointer->Version_ > Reader.State_.Version_ ? Phase::Chunks
                                                             : Phase::Entries;
}

void handleChunk(StateReader &Reader, const ports::StoreResponse &Answer) {
  if (!Answer.Found_) {
    restart(Reader);
    return;
  }
  Reader.Bytes_ += Answer.Value_;
  if (++Reader.NextChunk_ < Reader.Pointer_.Chunks_)
    return;
  auto State = decodeState(Reader.Bytes_);
  if (!State || digestOf(Reader.Bytes_) != Reader.Pointer_.BytesDigest_ ||
      State->Version_ != Reader.Pointer_.Version_) {
    fail(Reader, ResultCode::StoreAnswerInvalid);
    return;
  }
  Reader.State_ = std::move(*State);
  Reader.Bytes_ = std::string();
  Reader.Phase_ = Phase::Entries;
}

void handleEntry(StateReader &Reader, const ports::StoreResponse &Answer) {
  if (!Answer.Found_) {
    Reader.Phase_ = Phase::Done;
    return;
  }
  auto Entry = decodeChange(Answer.Value_);
  if (!Entry || Entry->Version_ != Reader.State_.Version_ + 1 ||
      Entry->BasisDigest_ != Reader.State_.LogDigest_) {
    fail(Reader, ResultCode::StoreAnswerInvalid);
    return;
  }
  Reader.State_ = std::move(apply(*Entry, std::move(Reader.State_)).value());
  Reader.Entries_.push_back(std::move(*Entry));
}

} // namespace

std::optional<ports::StoreRequest> nextRequest(const StateReader &Reader) {
  ports::StoreRequest Out;
  Out.Operation_ = ports::StoreOperation::Get;
  switch (Reader.Phase_) {
  case Phase::Pointer:
    Out.Key_ = SnapshotPointerKey;
    return Out;
  case Phase::Chunks:
    Out.Key_ = chunkKey(Reader.Pointer_.Version_, Reader.NextChunk_);
    return Out;
  case Phase::Entries:
    Out.Key_ = entryKey(Reader.State_.Version_ + 1);
    return Out;
  case Phase::Done:
  case Phase::Failed:
    break;
  }
  return std::nullopt;
}

void handleResponse(StateReader &Reader, const ports::StoreResponse &Answer) {
  if (Answer.Code_ != ResultCode::Ok)
    return;
  if (Reader.Phase_ == Phase::Pointer)
    handlePointer(Reader, Answer);
  else if (Reader.Phase_ == Phase::Chunks)
    handleChunk(Reader, Answer);
  else if (Reader.Phase_ == Phase::Entries)
    handleEntry(Reader, Answer);
}

} // namespace cumingauge::control
