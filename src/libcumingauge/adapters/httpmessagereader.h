#pragma once

#include "adapters/httpreadstep.h"
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

/// Parsing that the readers of requests and of answers share. This header
/// includes Boost.Beast, so only the source files of the readers include it.
namespace cumingauge::adapters::messages {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;

/// Bytes of one read while a head is expected.
constexpr std::size_t HeadReadBytes = 4096;
/// Bytes of one read while a body is expected.
constexpr std::size_t BodyReadBytes = 65536;
/// Larger buffers are released between messages.
constexpr std::size_t KeptBufferBytes = 16384;
/// Smaller buffers are kept while a connection waits.
constexpr std::size_t SmallBufferBytes = 2048;
/// Bytes of an incomplete chunk header or trailer in the buffer from which on
/// the message counts as malformed.
constexpr std::size_t MaxPendingBytes = 16384;
/// Bytes of the shortest end of a chunked body: "0", CRLF, CRLF.
constexpr std::size_t MinChunkedEndBytes = 5;

/// Parses the messages of one connection, one after the other, with a new Beast
/// parser for each message.
template <bool IsRequest> class MessageReader {
public:
  using Parser = http::parser<IsRequest, http::buffer_body>;

  explicit MessageReader(std::uint32_t HeaderLimit)
      : HeaderLimit_(HeaderLimit) {}

  /// Releases buffers that grew for a large body. Must not be called while a
  /// read into the buffer of prepare() is in progress.
  void shrink() {
    if (Buffer_.size() == 0 && Buffer_.capacity() > KeptBufferBytes)
      Buffer_ = boost::beast::flat_buffer();
    if (Piece_.size() > KeptBufferBytes)
      std::vector<char>().swap(Piece_);
  }

  /// Releases room that holds no bytes, so that a connection which waits takes
  /// little more than what has arrived. Ends the validity of body().
  void releaseRoom() {
    if (Buffer_.capacity() > SmallBufferBytes &&
        Buffer_.capacity() / 2 > Buffer_.size())
      Buffer_.shrink_to_fit();
    Body_ = {};
    if (Piece_.capacity() > SmallBufferBytes)
      std::vector<char>().swap(Piece_);
  }

  /// Drops all bytes and starts with a new message.
  void drop() {
    Buffer_ = boost::beast::flat_buffer();
    std::vector<char>().swap(Piece_);
    start();
  }

  /// Returns the bytes that the buffers take.
  std::size_t capacity() const {
    return Buffer_.capacity() + Piece_.capacity();
  }

  /// Sets the limit for heads of which nothing was parsed yet.
  void setHeaderLimit(std::uint32_t Bytes) {
    HeaderLimit_ = Bytes;
    if (Parser_ && !Parser_->got_some())
      Parser_->header_limit(Bytes);
  }

  /// Starts with a new message.
  void start() {
    Parser_.emplace();
    Parser_->header_limit(HeaderLimit_);
    Parser_->body_limit(boost::none);
    Body_ = {};
    NeededBytes_ = 1;
    HasSkippedLine_ = false;
  }

  /// Returns how many bytes the next read should ask for.
  std::size_t readSize() const {
    return Parser_ && Parser_->is_header_done() ? BodyReadBytes : HeadReadBytes;
  }

  /// Returns room for a read within the buffer that is parsed. Nothing may be
  /// parsed before commit() was called.
  boost::asio::mutable_buffer prepare() { return Buffer_.prepare(readSize()); }

  /// Appends bytes that were read into a separate buffer.
  void append(std::string_view Bytes) {
    Buffer_.commit(boost::asio::buffer_copy(
        Buffer_.prepare(Bytes.size()),
        boost::asio::buffer(Bytes.data(), Bytes.size())));
  }

  /// Adds the bytes that were read into the buffer of prepare().
  void commit(std::size_t Bytes) { Buffer_.commit(Bytes); }

  /// Parses the buffered bytes up to the next step.
  ReadStep next() {
    if (!Parser_->is_header_done())
      return parseHead();
    return parseBody();
  }

  /// Ends the message when the connection was closed.
  /// \returns false unless the body lasts until the connection closes.
  bool finishAtClose() {
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
  /// Parses buffered bytes, sets Error_ and returns the bytes consumed. A field
  /// that the parser cannot store is reported as one above the limit.
  std::size_t put() {
    Error_ = {};
    std::size_t Used = 0;
    try {
      Used = Parser_->put(Buffer_.data(), Error_);
    } catch (const std::length_error &) {
      Error_ = http::error::header_limit;
    }
    Buffer_.consume(Used);
    return Used;
  }

  std::string_view pending() const {
    return {static_cast<const char *>(Buffer_.data().data()), Buffer_.size()};
  }

  /// Skips one empty line ahead of a request, as RFC 9112 asks for.
  void skipEmptyLine() {
    if (Parser_->got_some() || HasSkippedLine_)
      return;
    HasSkippedLine_ = pending().substr(0, 2) == "\r\n";
    Buffer_.consume(HasSkippedLine_ ? 2 : 0);
  }

  ReadStep parseHead() {
    if (IsRequest)
      skipEmptyLine();
    const bool IsHalfLine =
        IsRequest && !Parser_->got_some() && pending() == "\r";
    if (Buffer_.size() == 0 || IsHalfLine)
      return ReadStep::NeedMore;
    put();
    if (Error_ == http::error::need_more)
      return ReadStep::NeedMore;
    if (Error_)
      return ReadStep::Failed;
    return Parser_->is_header_done() ? ReadStep::Head : ReadStep::NeedMore;
  }

  ReadStep parseBody() {
    while (!Parser_->is_done()) {
      if (Buffer_.size() < NeededBytes_)
        return ReadStep::NeedMore;
      NeededBytes_ = 1;
      const std::size_t Room = roomForBody();
      auto &Target = Parser_->get().body();
      Target.data = Piece_.data();
      Target.size = Room;
      Target.more = true;
      const std::size_t Used = put();
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
    // Beast asserts that it gets so many when it has asked for more of the last
    // chunk.
    NeededBytes_ = MinChunkedEndBytes;
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

  std::uint32_t HeaderLimit_;
  boost::beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::vector<char> Piece_;
  std::string_view Body_;
  bool HasSkippedLine_ = false;
  std::size_t NeededBytes_ = 1; ///< below that, parsing the body waits
  boost::beast::error_code Error_;
};

/// Returns whether a field concerns a single connection and is not passed on.
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

/// Returns whether the Connection field lists this field as hop-by-hop.
inline bool isListed(string_view ConnectionField, string_view Name) {
  return !ConnectionField.empty() &&
         http::token_list{ConnectionField}.exists(Name);
}

inline void appendField(std::string &Out, string_view Name, string_view Value) {
  Out.append(Name.data(), Name.size()).append(": ");
  Out.append(Value.data(), Value.size()).append("\r\n");
}

/// Converts Beast's string view, which differs from std::string_view.
inline std::string textOf(string_view Text) {
  return {Text.data(), Text.size()};
}

/// Returns whether the message has no transfer coding, or only a single
/// "chunked".
template <class Message> bool isTransferCodingKnown(const Message &Parsed) {
  const std::size_t Count = Parsed.count(http::field::transfer_encoding);
  if (Count == 0)
    return true;
  return Count == 1 &&
         iequals(Parsed[http::field::transfer_encoding], "chunked");
}

} // namespace cumingauge::adapters::messages
