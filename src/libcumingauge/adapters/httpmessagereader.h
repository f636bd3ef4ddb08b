#pragma once

#include "adapters/httpreadstep.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the readers of requests and of answers share. Includes Beast: only for
/// their source files.
namespace cumingauge::adapters::messages {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;

constexpr std::size_t HeadReadBytes = 4096;
constexpr std::size_t BodyReadBytes = 65536;
constexpr std::size_t KeptBufferBytes = 16384;
/// Longest chunk header or trailer that may be incomplete in the buffer.
constexpr std::size_t MaxPendingBytes = 16384;

/// One parser with its bytes; a parser serves one message.
template <bool IsRequest> class MessageReader {
public:
  using Parser = http::parser<IsRequest, http::buffer_body>;

  explicit MessageReader(std::uint32_t HeaderLimit)
      : HeaderLimit_(HeaderLimit) {}

  /// Gives memory back that a large body has left behind. Not to be called
  /// while a read is under way.
  void shrink() {
    if (Buffer_.size() == 0 && Buffer_.capacity() > KeptBufferBytes)
      Buffer_ = boost::beast::flat_buffer();
    if (Piece_.size() > KeptBufferBytes)
      Piece_ = {};
  }

  void start() {
    Parser_.emplace();
    Parser_->header_limit(HeaderLimit_);
    Parser_->body_limit(boost::none);
    Body_ = {};
  }

  std::size_t wantedBytes() const {
    return Parser_ && Parser_->is_header_done() ? BodyReadBytes : HeadReadBytes;
  }

  /// Room in the buffer itself; nothing may be parsed until commit.
  boost::asio::mutable_buffer prepare() {
    return Buffer_.prepare(wantedBytes());
  }

  void append(std::string_view Bytes) {
    Buffer_.commit(boost::asio::buffer_copy(
        Buffer_.prepare(Bytes.size()),
        boost::asio::buffer(Bytes.data(), Bytes.size())));
  }

  void commit(std::size_t Bytes) { Buffer_.commit(Bytes); }

  ReadStep next() {
    if (!Parser_->is_header_done())
      return parseHead();
    return parseBody();
  }

  /// Ends a body that lasts until the connection ends; false for all others.
  bool takeEnd() {
    if (!Parser_->is_header_done() || Parser_->is_done() ||
        !Parser_->need_eof() || Parser_->chunked() || Parser_->content_length())
      return false;
    Error_ = {};
    Parser_->put_eof(Error_);
    return !Error_;
  }

  Parser &parser() { return *Parser_; }
  std::string_view body() const { return Body_; }
  std::size_t buffered() const { return Buffer_.size(); }
  boost::beast::error_code error() const { return Error_; }

private:
  ReadStep parseHead() {
    if (Buffer_.size() == 0)
      return ReadStep::NeedMore;
    Error_ = {};
    const std::size_t Used = Parser_->put(Buffer_.data(), Error_);
    Buffer_.consume(Used);
    if (Error_ == http::error::need_more)
      return ReadStep::NeedMore;
    if (Error_)
      return ReadStep::Failed;
    return Parser_->is_header_done() ? ReadStep::Head : ReadStep::NeedMore;
  }

  ReadStep parseBody() {
    while (!Parser_->is_done()) {
      if (Buffer_.size() == 0)
        return ReadStep::NeedMore;
      const std::size_t Room = roomForBody();
      auto &Target = Parser_->get().body();
      Target.data = Piece_.data();
      Target.size = Room;
      Target.more = true;
      Error_ = {};
      const std::size_t Used = Parser_->put(Buffer_.data(), Error_);
      Buffer_.consume(Used);
      if (Error_ && Error_ != http::error::need_buffer &&
          Error_ != http::error::need_more)
        return ReadStep::Failed;
      const std::size_t Got = Room - Target.size;
      Body_ = {Piece_.data(), Got};
      if (Got > 0)
        return ReadStep::Body;
      if (Used == 0 && !Parser_->is_done())
        return needMoreOfBody();
    }
    return ReadStep::End;
  }

  ReadStep needMoreOfBody() {
    if (Buffer_.size() < MaxPendingBytes)
      return ReadStep::NeedMore;
    Error_ = http::error::bad_chunk;
    return ReadStep::Failed;
  }

  std::size_t roomForBody() {
    if (Piece_.size() < Buffer_.size())
      Piece_.resize(Buffer_.size());
    return Piece_.size();
  }

  const std::uint32_t HeaderLimit_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::vector<char> Piece_;
  std::string_view Body_;
  boost::beast::error_code Error_;
};

/// Fields that concern one connection only.
inline bool isHopByHop(http::field Name) {
  switch (Name) {
  case http::field::connection:
  case http::field::keep_alive:
  case http::field::proxy_connection:
  case http::field::proxy_authenticate:
  case http::field::proxy_authorization:
  case http::field::te:
  case http::field::trailer:
  case http::field::transfer_encoding:
  case http::field::upgrade:
  case http::field::content_length:
  case http::field::expect:
    return true;
  default:
    return false;
  }
}

/// Whether the Connection field names this field as one of the connection.
inline bool isListed(string_view ConnectionField, string_view Name) {
  return !ConnectionField.empty() &&
         http::token_list{ConnectionField}.exists(Name);
}

inline void appendField(std::string &Out, string_view Name, string_view Value) {
  Out.append(Name.data(), Name.size()).append(": ");
  Out.append(Value.data(), Value.size()).append("\r\n");
}

inline std::string textOf(string_view Text) {
  return {Text.data(), Text.size()};
}

/// Whether there is no transfer coding but a single "chunked".
template <class Message> bool isTransferCodingKnown(const Message &Parsed) {
  const std::size_t Count = Parsed.count(http::field::transfer_encoding);
  if (Count == 0)
    return true;
  return Count == 1 &&
         iequals(Parsed[http::field::transfer_encoding], "chunked");
}

} // namespace cumingauge::adapters::messages
