#include "fakestore.h"
#include "control/storecodec.h"
#include "control/storekeys.h"

namespace cumingauge::fakes {

using ports::StoreOperation;

ports::StoreResponse FakeStore::execute(const ports::StoreRequest &Request) {
  ports::StoreResponse Out;
  const auto Found = Values_.find(Request.Key_);
  Out.Found_ = Found != Values_.end();
  if (Out.Found_) {
    Out.Value_ = Found->second.Bytes_;
    Out.Index_ = Found->second.Index_;
  }
  switch (Request.Operation_) {
  case StoreOperation::Get:
  case StoreOperation::Watch:
    break;
  case StoreOperation::CreateIfAbsent:
    Out.Written_ = !Out.Found_;
    break;
  case StoreOperation::CompareAndSwap:
    Out.Written_ = Out.Found_ && Out.Index_ == Request.Index_;
    break;
  case StoreOperation::Delete:
    Values_.erase(Request.Key_);
    break;
  case StoreOperation::ListVms:
    Out.Vms_ = Vms_;
    break;
  }
  if (Out.Written_)
    write(Request);
  return Out;
}

std::uint64_t FakeStore::lastVersion() const {
  return Committed_.empty() ? 0 : Committed_.rbegin()->first;
}

void FakeStore::write(const ports::StoreRequest &Request) {
  Values_[Request.Key_] = {Request.Value_, ++LastIndex_};
  recordCommit(Request);
  if (OnWritten_)
    OnWritten_(Request.Key_);
}

void FakeStore::recordCommit(const ports::StoreRequest &Request) {
  const auto Entry = control::decodeChange(Request.Value_);
  if (!Entry || Request.Key_ != control::entryKey(Entry->Version_))
    return;
  if (Committed_.emplace(Entry->Version_, *Entry).second && OnCommitted_)
    OnCommitted_(*Entry);
}

} // namespace cumingauge::fakes
