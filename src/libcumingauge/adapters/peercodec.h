#pragma once

#include "codec/describedjson.h"
#include "control/peermessage.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include <boost/leaf.hpp>
#include <cstddef>
#include <string>

/// CBOR encoding of the messages on links between processes.
namespace cumingauge::adapters {

/// Largest message on a peer link, in bytes.
constexpr std::size_t MaxPeerMessageBytes = 2 * 1024 * 1024;
/// Deepest nesting of arrays and maps in a message. A state chunk and a preset
/// in a log entry need 8 levels.
constexpr unsigned MaxPeerMessageDepth = 16;

/// Reason for the refusal of a received message: PeerMessageTooLarge, or
/// PeerMessageMalformed with the problems found.
struct PeerCodecError {
  model::ResultCode Code_ = model::ResultCode::PeerMessageMalformed;
  model::Problems Problems_;
};

/// Parses CBOR with limits on size (MaxPeerMessageBytes) and nesting
/// (MaxPeerMessageDepth). Fails with a PeerCodecError.
boost::leaf::result<codec::Json> parseCbor(const std::string &Bytes);

/// Returns the CBOR encoding of a described value.
template <class T> std::string encodeCbor(const T &Value) {
  std::string Out;
  codec::Json::to_cbor(codec::toJson(Value), Out);
  return Out;
}

/// Decodes a described value. Fails with a PeerCodecError, also for unknown
/// keys and values of a wrong type.
template <class T> boost::leaf::result<T> decodeCbor(const std::string &Bytes) {
  BOOST_LEAF_AUTO(Document, parseCbor(Bytes));
  T Out;
  PeerCodecError Error;
  codec::fromJson(Document, "", Out, Error.Problems_);
  if (!Error.Problems_.empty())
    return boost::leaf::new_error(std::move(Error));
  return Out;
}

std::string encodePeerMessage(const control::PeerMessage &Message);

boost::leaf::result<control::PeerMessage>
decodePeerMessage(const std::string &Bytes);

} // namespace cumingauge::adapters
