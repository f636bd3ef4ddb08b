#pragma once

#include "adapters/httpreadstep.h"
#include "traffic/dialect.h"
#include "traffic/messagehead.h"
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

namespace cumingauge::adapters {

/// Reads the answers of one connection to a backend server. Interim answers
/// (status 1xx) are skipped.
class AnswerReader {
public:
  /// \param Names must outlive the reader.
  AnswerReader(std::uint32_t HeaderLimit, const traffic::Dialect &Names);
  ~AnswerReader();

  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Bytes);
  ReadStep next();
  traffic::AnswerHead &head();
  const traffic::AnswerHead &head() const;
  std::string_view body() const;
  std::size_t buffered() const;

  /// Whether the answer has no more bytes than were given out.
  bool isComplete() const;

  /// The connection has ended in order. True when the answer may end so; the
  /// next step is then its end.
  bool takeEnd();

  /// Gives memory back between two answers, while no read is under way.
  void shrink();

  /// Begins an answer.
  /// \param ToHeadRequest whether it answers a HEAD request and has no body.
  void start(bool ToHeadRequest);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace cumingauge::adapters
