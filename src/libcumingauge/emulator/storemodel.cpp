#include "emulator/storemodel.h"
#include <algorithm>

namespace cumingauge::emulator {

namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

bool conditionsHold(const StoreModel &Store, const WriteRequest &Request) {
  const StoredValue *Present = findKey(Store, Request.Key_);
  if (Request.Cas_ && *Request.Cas_ != (Present ? Present->ModifyIndex_ : 0))
    return false;
  const std::string Holder = Present ? Present->Session_ : "";
  if (!Request.Acquire_.empty())
    return Store.Leases_.count(Request.Acquire_) &&
           (Holder.empty() || Holder == Request.Acquire_);
  return Request.Release_.empty() || Holder == Request.Release_;
}

} // namespace

bool writeKey(StoreModel &Store, const WriteRequest &Request) {
  if (!conditionsHold(Store, Request))
    return false;
  StoredValue &Stored = Store.Values_[Request.Key_];
  Stored.ModifyIndex_ = ++Store.Index_;
  if (Stored.CreateIndex_ == 0)
    Stored.CreateIndex_ = Stored.ModifyIndex_;
  Stored.Value_ = Request.Value_;
  if (!Request.Acquire_.empty())
    Stored.Session_ = Request.Acquire_;
  if (!Request.Release_.empty())
    Stored.Session_.clear();
  return true;
}

bool removeKey(StoreModel &Store, const std::string &Key,
               std::optional<std::uint64_t> Cas) {
  const auto Found = Store.Values_.find(Key);
  if (Found == Store.Values_.end())
    return true;
  if (Cas && *Cas != Found->second.ModifyIndex_)
    return false;
  Store.Values_.erase(Found);
  Store.Removed_[Key] = ++Store.Index_;
  return true;
}

const StoredValue *findKey(const StoreModel &Store, const std::string &Key) {
  const auto Found = Store.Values_.find(Key);
  return Found == Store.Values_.end() ? nullptr : &Found->second;
}

std::vector<std::string> keysWithPrefix(const StoreModel &Store,
                                        const std::string &Prefix) {
  std::vector<std::string> Keys;
  for (auto It = Store.Values_.lower_bound(Prefix);
       It != Store.Values_.end() && startsWith(It->first, Prefix); ++It)
    Keys.push_back(It->first);
  return Keys;
}

std::uint64_t watchIndex(const StoreModel &Store, const std::string &Key,
                         bool Recurse) {
  std::uint64_t Latest = 0;
  const auto Covers = [&](const std::string &Other) {
    return Recurse ? startsWith(Other, Key) : Other == Key;
  };
  for (auto It = Store.Values_.lower_bound(Key);
       It != Store.Values_.end() && Covers(It->first); ++It)
    Latest = std::max(Latest, It->second.ModifyIndex_);
  for (auto It = Store.Removed_.lower_bound(Key);
       It != Store.Removed_.end() && Covers(It->first); ++It)
    Latest = std::max(Latest, It->second);
  return Latest;
}

bool isWatchDue(const StoreModel &Store, const std::string &Key, bool Recurse,
                std::uint64_t Seen) {
  return Seen == 0 || watchIndex(Store, Key, Recurse) > Seen;
}

std::string createLease(StoreModel &Store, model::milliseconds TimeToLive,
                        model::TimePoint Now) {
  const std::string Id = "lease-" + std::to_string(Store.NextLease_++);
  Store.Leases_[Id] = {TimeToLive, Now + TimeToLive};
  return Id;
}

bool renewLease(StoreModel &Store, const std::string &Id,
                model::TimePoint Now) {
  expireLeases(Store, Now);
  const auto Found = Store.Leases_.find(Id);
  if (Found == Store.Leases_.end())
    return false;
  Found->second.Expires_ = Now + Found->second.TimeToLive_;
  return true;
}

void destroyLease(StoreModel &Store, const std::string &Id) {
  if (Store.Leases_.erase(Id) == 0)
    return;
  for (auto &Entry : Store.Values_)
    if (Entry.second.Session_ == Id) {
      Entry.second.Session_.clear();
      Entry.second.ModifyIndex_ = ++Store.Index_;
    }
}

void expireLeases(StoreModel &Store, model::TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &Entry : Store.Leases_)
    if (Entry.second.Expires_ <= Now)
      Expired.push_back(Entry.first);
  for (const std::string &Id : Expired)
    destroyLease(Store, Id);
}

void restoreCopy(StoreModel &Store, const StoreModel &Copy,
                 model::TimePoint Now) {
  const std::uint64_t NextLease = std::max(Store.NextLease_, Copy.NextLease_);
  Store = Copy;
  Store.NextLease_ = NextLease;
  for (auto &Entry : Store.Leases_)
    Entry.second.Expires_ = Now + Entry.second.TimeToLive_;
}

} // namespace cumingauge::emulator
