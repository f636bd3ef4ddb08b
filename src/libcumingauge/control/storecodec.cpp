#include "control/storecodec.h"
#include "codec/describedjson.h"
#include "model/resultcode.h"
#include <xxhash.h>

namespace cumingauge::control {

namespace {

template <class T> std::string encode(const T &Value) {
  return codec::toJson(Value).dump(-1, ' ', false,
                                   codec::Json::error_handler_t::replace);
}

template <class T> boost::leaf::result<T> decode(const std::string &Bytes) {
  const codec::Json Document =
      codec::Json::parse(Bytes, /*cb=*/nullptr, /*allow_exceptions=*/false);
  T Out;
  model::Problems Found;
  if (!Document.is_discarded())
    codec::fromJson(Document, "", Out, Found);
  if (Document.is_discarded() || !Found.empty())
    return boost::leaf::new_error(model::ResultCode::StoreAnswerInvalid,
                                  std::move(Found));
  return Out;
}

} // namespace

std::string encodeChange(const model::Change &Entry) { return encode(Entry); }

std::string encodeState(const model::ConfigState &State) {
  return encode(State);
}

std::string encodePointer(const SnapshotPointer &Pointer) {
  return encode(Pointer);
}

boost::leaf::result<model::Change> decodeChange(const std::string &Bytes) {
  return decode<model::Change>(Bytes);
}

boost::leaf::result<model::ConfigState> decodeState(const std::string &Bytes) {
  return decode<model::ConfigState>(Bytes);
}

boost::leaf::result<SnapshotPointer> decodePointer(const std::string &Bytes) {
  return decode<SnapshotPointer>(Bytes);
}

std::vector<std::string> splitBytes(std::string_view Bytes, std::size_t Limit) {
  std::vector<std::string> Out;
  for (std::size_t At = 0; At < Bytes.size(); At += Limit)
    Out.emplace_back(Bytes.substr(At, Limit));
  if (Out.empty())
    Out.emplace_back();
  return Out;
}

std::uint64_t digestOf(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace cumingauge::control
