#pragma once

#include "adapters/httpanswersyntax.h"
#include "adapters/httpmessagereader.h"

namespace cumingauge::adapters {

/// Parses the answers that arrive on one connection, one after the other, and
/// refuses those that are not well-formed. Interim answers (status 1xx) are
/// skipped. This header includes Boost.Beast, so only source files include it.
class AnswerParser {
public:
  /// \param HeaderLimit longest head in bytes.
  explicit AnswerParser(std::uint32_t HeaderLimit) : Reader_(HeaderLimit) {}

  /// Prepares for the next answer.
  /// \param ToHeadRequest whether it answers a HEAD request and has no body.
  void start(bool ToHeadRequest);

  /// Returns room for the next read; commit follows before next is called.
  boost::asio::mutable_buffer prepare() { return Reader_.prepare(); }
  void commit(std::size_t Bytes) { Reader_.commit(Bytes); }

  /// Parses up to the next head, piece of body or end of an answer.
  ReadStep next();

  /// The parsed head, valid after ReadStep::Head.
  const ParsedAnswer &parsed() { return Reader_.parser(); }
  /// Piece of the body, valid after ReadStep::Body until the next call.
  std::string_view body() const { return Reader_.body(); }
  /// Bytes that were read but not parsed yet.
  std::size_t buffered() const { return Reader_.buffered(); }
  /// Whether a part of the current answer has been received.
  bool hasBegun() { return buffered() > 0 || Reader_.parser().got_some(); }
  /// Whether the answer ends with the bytes returned so far.
  bool isComplete() { return Reader_.parser().is_done(); }
  /// What is wrong with the answer, after ReadStep::Failed.
  model::AnswerFault fault() const { return Fault_; }
  /// Status that was received; 0 before the first head was parsed.
  unsigned status() const { return Status_; }

  /// Tells the parser that the peer has closed the connection. Returns true
  /// when the answer may end this way; next() then returns ReadStep::End.
  bool finishAtClose() { return Reader_.finishAtClose(); }

  /// Releases memory that a large answer has taken. To be called between two
  /// answers, while no read is pending.
  void shrink() { Reader_.shrink(); }

  /// Bytes that the buffers take.
  std::size_t capacity() const { return Reader_.capacity(); }

private:
  void startMessage();
  ReadStep fail(model::AnswerFault Fault);

  messages::MessageReader<false> Reader_;
  bool ToHeadRequest_ = false;
  unsigned InterimCount_ = 0;
  unsigned Status_ = 0;
  model::AnswerFault Fault_ = model::AnswerFault::None;
};

} // namespace cumingauge::adapters
