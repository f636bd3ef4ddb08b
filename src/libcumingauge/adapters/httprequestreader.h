#pragma once

#include "adapters/httpreadstep.h"
#include "model/resultcode.h"
#include "traffic/dialect.h"
#include "traffic/messagehead.h"
#include <boost/asio/buffer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cumingauge::adapters {

/// Parses the requests of one connection, one after the other. Holds at most
/// one head or one piece of a body.
class RequestReader {
public:
  /// \param HeaderLimit bytes that the head of a request may have at most.
  /// \param Names names of the header fields; must outlive the reader.
  RequestReader(std::uint32_t HeaderLimit, const traffic::Dialect &Names);
  ~RequestReader();

  /// Sets the limit for heads of which nothing was parsed yet.
  void setHeaderLimit(std::uint32_t Bytes);

  /// Returns a buffer for the next read from the socket. It is small, as each
  /// connection that waits has one; a read that fills it is followed by one
  /// into a larger buffer that the connections share.
  boost::asio::mutable_buffer prepare();

  /// Appends the bytes that were read into the buffer of prepare().
  void commit(std::size_t Bytes);

  /// Appends bytes that were read elsewhere.
  void append(std::string_view Bytes);

  /// Returns how many bytes should be read at once at most.
  std::size_t readSize() const;

  /// Parses the buffered bytes up to the next step.
  ReadStep next();

  /// Returns the head that ReadStep::Head gave.
  traffic::RequestHead &head();

  /// Returns the piece that ReadStep::Body gave; valid until the next call.
  std::string_view body() const;

  /// Returns the result code for ReadStep::Failed.
  model::ResultCode error() const;

  /// Returns what the parser found wrong; empty without a fault of syntax.
  std::string errorText() const;

  /// Returns whether bytes of a request have arrived that has not ended.
  bool hasPartialRequest() const;

  /// Returns the bytes of memory that the reader takes.
  std::size_t heldBytes() const;

  /// Forgets the request that is being read, to release its memory. Nothing may
  /// be parsed afterwards.
  void release();

  /// Returns the number of bytes that were read but not yet parsed.
  std::size_t buffered() const;

  /// Prepares for the next request; to be called after ReadStep::End.
  void startNext();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace cumingauge::adapters
