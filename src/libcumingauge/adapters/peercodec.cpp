#include "adapters/peercodec.h"
#include "adapters/cborshape.h"

namespace cumingauge::adapters {

namespace {

using codec::Json;

boost::leaf::error_id fail(model::ResultCode Code, std::string Message) {
  return boost::leaf::new_error(
      PeerCodecError{Code, {{"", std::move(Message)}}});
}

} // namespace

boost::leaf::result<Json> parseCbor(const std::string &Bytes) {
  if (Bytes.size() > MaxPeerMessageBytes)
    return fail(model::ResultCode::PeerMessageTooLarge,
                std::to_string(Bytes.size()) + " bytes");
  const std::string Fault = findCborFault(Bytes, MaxPeerMessageDepth);
  if (!Fault.empty())
    return fail(model::ResultCode::PeerMessageMalformed, Fault);
  Json Document = Json::from_cbor(Bytes, /*strict=*/true,
                                  /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return fail(model::ResultCode::PeerMessageMalformed, "not valid CBOR");
  return Document;
}

std::string encodePeerMessage(const control::PeerMessage &Message) {
  return encodeCbor(Message);
}

boost::leaf::result<control::PeerMessage>
decodePeerMessage(const std::string &Bytes) {
  return decodeCbor<control::PeerMessage>(Bytes);
}

} // namespace cumingauge::adapters
