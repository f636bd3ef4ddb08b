#include "adapters/httptext.h"
#include <charconv>

namespace cumingauge::adapters {

namespace {

constexpr int HexBase = 16;
constexpr std::size_t HexDigits = 16;

} // namespace

void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value) {
  if (Name.empty())
    return;
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

void appendFraming(std::string &Out, traffic::Framing Framing,
                   std::uint64_t Length) {
  if (Framing == traffic::Framing::Length)
    appendHeader(Out, "Content-Length", std::to_string(Length));
  if (Framing == traffic::Framing::Chunked)
    appendHeader(Out, "Transfer-Encoding", "chunked");
}

void appendChunkHead(std::string &Out, std::size_t Bytes) {
  char Digits[HexDigits];
  const auto End = std::to_chars(Digits, Digits + HexDigits, Bytes, HexBase);
  Out.append(Digits, static_cast<std::size_t>(End.ptr - Digits));
  Out.append("\r\n");
}

void appendChunkTail(std::string &Out, bool AfterBytes, bool Last) {
  if (AfterBytes)
    Out.append("\r\n");
  if (Last)
    Out.append("0\r\n\r\n");
}

void appendChunk(std::string &Out, std::string_view Bytes, bool Last) {
  if (!Bytes.empty()) {
    appendChunkHead(Out, Bytes.size());
    Out.append(Bytes);
  }
  appendChunkTail(Out, !Bytes.empty(), Last);
}

} // namespace cumingauge::adapters
