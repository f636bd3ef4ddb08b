#pragma once

#include "emulator/describe.h"
#include "model/time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// State of the emulated key-value service: keys with modify indexes, and
/// leases that expire. The present time is a parameter.
namespace cumingauge::emulator {

/// Value of one key. Indexes come from one counter for the whole store.
struct StoredValue {
  std::string Value_;
  std::uint64_t CreateIndex_ = 0;
  std::uint64_t ModifyIndex_ = 0;
  std::string Session_; ///< lease that holds the key's lock, or empty
};
BOOST_DESCRIBE_STRUCT(StoredValue, (),
                      (Value_, CreateIndex_, ModifyIndex_, Session_))

/// A lease. It expires unless it is renewed within its time to live.
struct Lease {
  model::milliseconds TimeToLive_{0};
  model::TimePoint Expires_;
};

/// Keys and leases of the store.
struct StoreModel {
  std::uint64_t Index_ = 1; ///< of the last write
  std::map<std::string, StoredValue> Values_;
  /// Index of each key's last removal.
  std::map<std::string, std::uint64_t> Removed_;
  std::map<std::string, Lease> Leases_;
  std::uint64_t NextLease_ = 1;
};

/// A write and its condition: at most one of Cas_, Acquire_ and Release_ is
/// set.
struct WriteRequest {
  std::string Key_;
  std::string Value_;
  std::optional<std::uint64_t> Cas_; ///< expected modify index, 0 for absent
  std::string Acquire_;              ///< lease that acquires the key's lock
  std::string Release_;              ///< lease that releases the key's lock
};

/// Writes a key when its condition holds. Returns true when it was written.
bool writeKey(StoreModel &Store, const WriteRequest &Request);

/// Removes a key; when \p Cas is given, only at this modify index. Returns true
/// when the key is absent afterwards.
bool removeKey(StoreModel &Store, const std::string &Key,
               std::optional<std::uint64_t> Cas);

/// Returns the value of a key, or null when it is absent.
const StoredValue *findKey(const StoreModel &Store, const std::string &Key);

/// Returns the keys that start with a prefix, in sorted order.
std::vector<std::string> keysWithPrefix(const StoreModel &Store,
                                        const std::string &Prefix);

/// Returns the index of a watch on a key or prefix: that of the latest write or
/// removal which it covers; 0 when there was none.
std::uint64_t watchIndex(const StoreModel &Store, const std::string &Key,
                         bool Recurse);

/// Returns true when a watch that last saw index \p Seen must be answered;
/// always for 0. A watch on an absent key waits for its creation, or for a
/// removal after \p Seen.
bool isWatchDue(const StoreModel &Store, const std::string &Key, bool Recurse,
                std::uint64_t Seen);

/// Creates a lease and returns its id.
std::string createLease(StoreModel &Store, model::milliseconds TimeToLive,
                        model::TimePoint Now);

/// Renews a lease. Returns false when it has expired or never existed.
bool renewLease(StoreModel &Store, const std::string &Id, model::TimePoint Now);

/// Ends a lease and releases its locks; the values stay.
void destroyLease(StoreModel &Store, const std::string &Id);

/// Ends every lease whose time to live has passed.
void expireLeases(StoreModel &Store, model::TimePoint Now);

/// Returns the store to an earlier copy: indexes go back and are given out
/// again, and leases that were created since are gone. The time to live of the
/// others starts anew, as it does after a restart of the service. Ids of leases
/// are not given out again.
void restoreCopy(StoreModel &Store, const StoreModel &Copy,
                 model::TimePoint Now);

} // namespace cumingauge::emulator
