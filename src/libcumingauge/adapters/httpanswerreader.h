#pragma once

#include "adapters/httpreadstep.h"
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
  explicit AnswerReader(std::uint32_t HeaderLimit);
  ~AnswerReader();

  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Bytes);
  ReadStep next();
  traffic::AnswerHead &head();
  std::string_view body() const;
  std::size_t buffered() const;

  /// Whether the answer has no more bytes than were given out.
  bool isComplete() const;

  /// Gives memory back between two answers, while no read is under way.
  void shrink();

  /// Begins an answer.
  /// \param ToHead whether it answers a HEAD request and has no body.
  void start(bool ToHead);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace cumingauge::adapters
