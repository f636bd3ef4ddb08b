#pragma once

#include "control/snapshotpointer.h"
#include "model/change.h"
#include "model/configstate.h"
#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Values in the store: JSON text, so that an operator can read them with the
/// platform's own tools. The encoding of equal values is equal.
namespace cumingauge::control {

/// Largest value written to the store, well below its limit of 1 MB.
constexpr std::size_t MaxStoreValueBytes = 262144;

/// Largest piece of a state on a peer link.
constexpr std::size_t MaxPeerChunkBytes = 65536;

std::string encodeChange(const model::Change &Entry);
std::string encodeState(const model::ConfigState &State);
std::string encodePointer(const SnapshotPointer &Pointer);

/// Decoders fail with ResultCode::StoreAnswerInvalid.
boost::leaf::result<model::Change> decodeChange(const std::string &Bytes);
boost::leaf::result<model::ConfigState> decodeState(const std::string &Bytes);
boost::leaf::result<SnapshotPointer> decodePointer(const std::string &Bytes);

/// Cuts an encoded state into pieces; at least one.
std::vector<std::string> splitBytes(std::string_view Bytes, std::size_t Limit);

std::uint64_t digestOf(std::string_view Bytes);

} // namespace cumingauge::control
