#pragma once

#include "codec/describedjson.h"
#include "control/peermessage.h"
#include "model/problem.h"
#include "model/resultcode.h"
#include <boost/leaf.hpp>
#include <cstddef>
#include <string>

/// Values as CBOR, for the links between processes.
namespace cumingauge::adapters {

/// Largest message on a peer link.
constexpr std::size_t MaxPeerMessageBytes = 2 * 1024 * 1024;
/// Deepest nesting of lists and objects in a message. A state chunk or a
/// preset in a log entry needs 8.
constexpr unsigned MaxPeerMessageDepth = 16;

/// Why bytes from a link were refused: PeerMessageTooLarge, or
/// PeerMessageMalformed with the faults found.
struct PeerCodecError {
  model::ResultCode Code_ = model::ResultCode::PeerMessageMalformed;
  model::Problems Problems_;
};

/// Parses CBOR with a bound on size and depth. Fails with a PeerCodecError.
boost::leaf::result<codec::Json> parseCbor(const std::string &Bytes);

template <class T> std::string encodeCbor(const T &Value) {
  std::string Out;
  codec::Json::to_cbor(codec::toJson(Value), Out);
  return Out;
}

/// Reads a described value; unknown keys and wrong types are refused. Fails
/// with a PeerCodecError.
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
