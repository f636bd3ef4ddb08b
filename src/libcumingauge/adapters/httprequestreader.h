#pragma once

#include "adapters/httpreadstep.h"
#include "model/resultcode.h"
#include "traffic/dialect.h"
#include "traffic/messagehead.h"
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <memory>
#include <string_view>

namespace cumingauge::adapters {

/// Reads the requests of one connection from its bytes, one after the other.
/// Holds at most one head or one piece of a body.
class RequestReader {
public:
  /// \param HeaderLimit bytes that the head of a request may have.
  /// \param Names must outlive the reader.
  RequestReader(std::uint32_t HeaderLimit, const traffic::Dialect &Names);
  ~RequestReader();

  /// Room for bytes that are to be read; commit tells how many came.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Bytes);

  /// Goes on with the bytes at hand.
  ReadStep next();

  traffic::RequestHead &head();

  /// The piece that ReadStep::Body gave; valid until the next call.
  std::string_view body() const;

  /// Why it failed.
  model::ResultCode error() const;

  /// Whether a request has begun but not ended.
  bool isInside() const;

  /// Bytes that were read but not yet looked at.
  std::size_t buffered() const;

  /// To be called after ReadStep::End.
  void startNext();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace cumingauge::adapters
