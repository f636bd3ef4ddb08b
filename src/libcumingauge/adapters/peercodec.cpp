#include "adapters/peercodec.h"
#include "adapters/cborshape.h"
#include <algorithm>
#include <websocketpp/utf8_validator.hpp>

namespace cumingauge::adapters {

namespace {

using codec::Json;

boost::leaf::error_id fail(model::ResultCode Code, std::string Message) {
  return boost::leaf::new_error(
      PeerCodecError{Code, {{"", std::move(Message)}}});
}

bool isUtf8(const std::string &Text) {
  return websocketpp::utf8_validator::validate(Text);
}

/// Returns whether all keys and strings of a document are valid UTF-8.
/// Recursive; the depth of the document must be bounded.
bool hasOnlyUtf8(const Json &Value) {
  if (Value.is_string())
    return isUtf8(Value.get_ref<const std::string &>());
  if (Value.is_array())
    return std::all_of(Value.begin(), Value.end(), hasOnlyUtf8);
  const auto Items = Value.items();
  return !Value.is_object() ||
         std::all_of(Items.begin(), Items.end(), [](const auto &Item) {
           return isUtf8(Item.key()) && hasOnlyUtf8(Item.value());
         });
}

/// Returns whether a document is a chunk of a state snapshot. A snapshot is
/// split at byte positions, so a chunk may end within a UTF-8 character.
bool isStateChunk(const Json &Document) {
  return Document.is_object() &&
         Document.value("kind", Json()) == control::StateChunk::Kind;
}

} // namespace

boost::leaf::result<Json> parseCbor(const std::string &Bytes) {
  if (Bytes.size() > MaxPeerMessageBytes)
    return fail(model::ResultCode::PeerMessageTooLarge,
                std::to_string(Bytes.size()) +
                    " bytes exceed the limit of a peer message");
  const std::string Fault = findCborFault(Bytes, MaxPeerMessageDepth);
  if (!Fault.empty())
    return fail(model::ResultCode::PeerMessageMalformed, Fault);
  Json Document = Json::from_cbor(Bytes, /*strict=*/true,
                                  /*allow_exceptions=*/false);
  if (Document.is_discarded())
    return fail(model::ResultCode::PeerMessageMalformed,
                "message is not valid CBOR");
  if (!isStateChunk(Document) && !hasOnlyUtf8(Document))
    return fail(model::ResultCode::PeerMessageMalformed,
                "message contains text that is not UTF-8");
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
