#pragma once

#include "adapters/httpreadstep.h"
#include "model/answerfault.h"
#include "traffic/dialect.h"
#include "traffic/messagehead.h"
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

namespace cumingauge::adapters {

/// Parses the answers that arrive on one connection to a backend server.
/// Interim answers (status 1xx) are skipped.
class AnswerReader {
public:
  /// \param HeaderLimit longest head in bytes.
  /// \param Names header fields that are evaluated; must outlive the reader.
  AnswerReader(std::uint32_t HeaderLimit, const traffic::Dialect &Names);
  ~AnswerReader();

  /// Returns room for the next read; commit follows before next is called.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Bytes);
  /// Parses up to the next head, piece of body or end of an answer.
  ReadStep next();
  /// Head of the current answer, valid after ReadStep::Head.
  traffic::AnswerHead &head();
  const traffic::AnswerHead &head() const;
  /// Piece of the body, valid after ReadStep::Body until the next call.
  std::string_view body() const;
  /// Bytes that were read but not parsed yet.
  std::size_t buffered() const;

  /// Whether a part of the current answer has been received.
  bool hasBegun() const;

  /// What is wrong with the answer, after ReadStep::Failed.
  model::AnswerFault fault() const;
  /// Status that was received; 0 before the first head was parsed.
  unsigned status() const;

  /// Whether the answer ends with the bytes returned so far.
  bool isComplete() const;

  /// Tells the parser that the peer has closed the connection. Returns true
  /// when the answer may end this way; next() then returns ReadStep::End.
  bool finishAtClose();

  /// Releases memory that a large answer has taken. To be called between two
  /// answers, while no read is pending.
  void shrink();

  /// Returns the bytes that the buffers take.
  std::size_t capacity() const;

  /// Prepares for the next answer.
  /// \param ToHeadRequest whether it answers a HEAD request and has no body.
  void start(bool ToHeadRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace cumingauge::adapters
