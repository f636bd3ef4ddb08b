#pragma once

#include "emulator/describe.h"
#include "model/time.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The platform's key-value service as plain state: keys with modify indexes
/// and leases that lapse. Time is passed in.
namespace cumingauge::emulator {

/// One key. Indexes come from one counter for the whole store.
struct StoredValue {
  std::string Value_;
  std::uint64_t CreateIndex_ = 0;
  std::uint64_t ModifyIndex_ = 0;
  std::string Session_; ///< holder of the key's lock, or empty
};
BOOST_DESCRIBE_STRUCT(StoredValue, (),
                      (Value_, CreateIndex_, ModifyIndex_, Session_))

/// A lease: it lapses unless it is renewed within its time to live.
struct Lease {
  model::milliseconds TimeToLive_{0};
  model::TimePoint Expires_;
};

struct StoreModel {
  std::uint64_t Index_ = 1; ///< of the last write
  std::map<std::string, StoredValue> Values_;
  std::map<std::string, std::uint64_t> Removed_; ///< index of last removal
  std::map<std::string, Lease> Leases_;
  std::uint64_t NextLease_ = 1;
};

/// What a write asks for. At most one of the conditions is set.
struct WriteRequest {
  std::string Key_;
  std::string Value_;
  std::optional<std::uint64_t> Cas_; ///< expected modify index, 0 for absent
  std::string Acquire_;              ///< lease that takes the key's lock
  std::string Release_;              ///< lease that gives it back
};

/// Writes a key when the conditions hold. True when written.
bool writeKey(StoreModel &Store, const WriteRequest &Request);

/// Removes a key, only at modify index \p Cas when given. True when it is
/// absent afterwards.
bool removeKey(StoreModel &Store, const std::string &Key,
               std::optional<std::uint64_t> Cas);

/// The key, or null.
const StoredValue *findKey(const StoreModel &Store, const std::string &Key);

/// Keys that start with a prefix, in order.
std::vector<std::string> keysWithPrefix(const StoreModel &Store,
                                        const std::string &Prefix);

/// Index for a watch on a key or prefix: the latest write or removal below
/// it; 0 when there was none.
std::uint64_t watchIndex(const StoreModel &Store, const std::string &Key,
                         bool Recurse);

/// Whether a watch that last saw \p Seen has something to tell. A watch on an
/// absent key waits for its creation, or for a removal after \p Seen.
bool isWatchDue(const StoreModel &Store, const std::string &Key, bool Recurse,
                std::uint64_t Seen);

/// Opens a lease and returns its id.
std::string createLease(StoreModel &Store, model::milliseconds TimeToLive,
                        model::TimePoint Now);

/// False when the lease has lapsed or never was.
bool renewLease(StoreModel &Store, const std::string &Id, model::TimePoint Now);

/// Ends a lease and gives back its locks; the values stay.
void destroyLease(StoreModel &Store, const std::string &Id);

/// Ends every lease whose time has passed.
void expireLeases(StoreModel &Store, model::TimePoint Now);

} // namespace cumingauge::emulator
