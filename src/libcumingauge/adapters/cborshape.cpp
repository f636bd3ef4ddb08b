#include "adapters/cborshape.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace cumingauge::adapters {

namespace {

// Major types of CBOR, the upper three bits of an item's first byte.
constexpr unsigned ByteString = 2;
constexpr unsigned TextString = 3;
constexpr unsigned List = 4;
constexpr unsigned Object = 5;
constexpr unsigned Tag = 6;

/// The head of an item: its major type and its value or length.
struct ItemHead {
  unsigned Major_ = 0;
  std::uint64_t Argument_ = 0;
};

std::optional<ItemHead> readHead(const std::string &Bytes, std::size_t &At) {
  constexpr unsigned OneByteFollows = 24;
  constexpr unsigned EightBytesFollow = 27;
  if (At >= Bytes.size())
    return std::nullopt;
  const auto First = static_cast<unsigned char>(Bytes[At++]);
  const unsigned Info = First & 0x1fU;
  ItemHead Head{static_cast<unsigned>(First) >> 5U, Info};
  if (Info < OneByteFollows)
    return Head;
  if (Info > EightBytesFollow)
    return std::nullopt;
  const std::size_t Width = std::size_t{1} << (Info - OneByteFollows);
  if (Bytes.size() - At < Width)
    return std::nullopt;
  Head.Argument_ = 0;
  for (std::size_t I = 0; I < Width; ++I)
    Head.Argument_ =
        Head.Argument_ << 8U | static_cast<unsigned char>(Bytes[At++]);
  return Head;
}

std::string atByte(std::size_t At, const char *Fault) {
  return std::string(Fault) + " at byte " + std::to_string(At);
}

} // namespace

std::string findCborFault(const std::string &Bytes, std::size_t MaxDepth) {
  std::size_t At = 0;
  std::vector<std::uint64_t> ItemsLeft{1}; // of each open list or object
  while (!ItemsLeft.empty()) {
    if (ItemsLeft.back() == 0) {
      ItemsLeft.pop_back();
      continue;
    }
    --ItemsLeft.back();
    const std::size_t Start = At;
    const std::optional<ItemHead> Head = readHead(Bytes, At);
    if (!Head)
      return atByte(Start, "truncated, reserved or of indefinite length");
    if (Head->Major_ == ByteString || Head->Major_ == Tag)
      return atByte(Start, "byte string or tag");
    const bool HasLength = Head->Major_ >= TextString && Head->Major_ <= Object;
    if (HasLength && Head->Argument_ > Bytes.size() - At)
      return atByte(Start, "length beyond the end");
    if (Head->Major_ == TextString)
      At += Head->Argument_;
    if (Head->Major_ == List || Head->Major_ == Object) {
      if (ItemsLeft.size() > MaxDepth)
        return atByte(Start, "nested too deep");
      ItemsLeft.push_back(Head->Argument_ * (Head->Major_ == Object ? 2 : 1));
    }
  }
  return At == Bytes.size() ? "" : atByte(At, "more bytes than one item");
}

} // namespace cumingauge::adapters
