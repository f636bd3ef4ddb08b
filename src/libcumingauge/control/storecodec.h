#pragma once

#include "control/snapshotpointer.h"
#include "model/change.h"
#include "model/configstate.h"
#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Encoding of values in the store: JSON text, so that an operator can read
/// them with the platform's own tools. Equal values have equal encodings.
namespace cumingauge::control {

/// Maximum size of a value written to the store, which accepts up to 1 MB.
constexpr std::size_t MaxStoreValueBytes = 262144;

/// Maximum size of a chunk of a state on a peer link.
constexpr std::size_t MaxPeerChunkBytes = 65536;

std::string encodeChange(const model::Change &Entry);
std::string encodeState(const model::ConfigState &State);
std::string encodePointer(const SnapshotPointer &Pointer);

/// Decode a value. Fail with ResultCode::StoreAnswerInvalid.
boost::leaf::result<model::Change> decodeChange(const std::string &Bytes);
boost::leaf::result<model::ConfigState> decodeState(const std::string &Bytes);
boost::leaf::result<SnapshotPointer> decodePointer(const std::string &Bytes);

/// Splits an encoded state into chunks of at most \p Limit bytes. Returns at
/// least one chunk, which may be empty.
std::vector<std::string> splitBytes(std::string_view Bytes, std::size_t Limit);

/// Returns a 64-bit XXH3 hash of the bytes.
std::uint64_t digestOf(std::string_view Bytes);

} // namespace cumingauge::control
