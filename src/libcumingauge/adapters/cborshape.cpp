#include "adapters/cborshape.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace cumingauge::adapters {

namespace {

// Major types of CBOR (RFC 8949): the upper three bits of the first byte of an
// item.
constexpr unsigned ByteString = 2;
constexpr unsigned TextString = 3;
constexpr unsigned Array = 4;
constexpr unsigned Map = 5;
constexpr unsigned Tag = 6;

/// Head of a CBOR item: its major type, and its argument, which is a value, a
/// length in bytes or a number of items.
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
  const unsigned AdditionalInfo = First & 0x1fU;
  ItemHead Head{static_cast<unsigned>(First) >> 5U, AdditionalInfo};
  if (AdditionalInfo < OneByteFollows)
    return Head;
  if (AdditionalInfo > EightBytesFollow)
    return std::nullopt;
  const std::size_t Width = std::size_t{1} << (AdditionalInfo - OneByteFollows);
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
  // Items still to be read in each open array or map, outermost first.
  std::vector<std::uint64_t> ItemsLeft{1};
  while (!ItemsLeft.empty()) {
    if (ItemsLeft.back() == 0) {
      ItemsLeft.pop_back();
      continue;
    }
    --ItemsLeft.back();
    const std::size_t Start = At;
    const std::optional<ItemHead> Head = readHead(Bytes, At);
    if (!Head)
      return atByte(Start,
                    "item head is truncated, reserved or of indefinite length");
    if (Head->Major_ == ByteString || Head->Major_ == Tag)
      return atByte(Start, "byte string or tag is not allowed");
    const bool HasLength = Head->Major_ >= TextString && Head->Major_ <= Map;
    if (HasLength && Head->Argument_ > Bytes.size() - At)
      return atByte(Start, "length exceeds the remaining bytes");
    if (Head->Major_ == TextString)
      At += Head->Argument_;
    if (Head->Major_ == Array || Head->Major_ == Map) {
      if (ItemsLeft.size() > MaxDepth)
        return atByte(Start, "nesting exceeds the depth limit");
      ItemsLeft.push_back(Head->Argument_ * (Head->Major_ == Map ? 2 : 1));
    }
  }
  return At == Bytes.size() ? "" : atByte(At, "trailing bytes after the item");
}

} // namespace cumingauge::adapters
