#include "adapters/httpanswersyntax.h"
#include "adapters/httpmessagereader.h"

namespace cumingauge::adapters {

namespace http = boost::beast::http;
using model::AnswerFault;

namespace {

// Valid status codes (RFC 9110, section 15).
constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned Http11 = 11;

} // namespace

AnswerFault findHeadFault(const ParsedAnswer &Parsed) {
  const auto &Head = Parsed.get();
  const unsigned Status = Head.result_int();
  if (Status < FirstStatus || Status > LastStatus)
    return AnswerFault::Status;
  if (Status == StatusSwitchingProtocols) // no request asks for it
    return AnswerFault::Interim;
  // HTTP/1.0 has no transfer codings (RFC 9112, section 6.1).
  const bool HasCoding = Head.count(http::field::transfer_encoding) > 0;
  if (!messages::isTransferCodingKnown(Head) ||
      (HasCoding && Head.version() < Http11))
    return AnswerFault::Framing;
  return AnswerFault::None;
}

AnswerFault faultOf(boost::beast::error_code Error) {
  if (Error == http::error::bad_version || Error == http::error::bad_status ||
      Error == http::error::bad_reason)
    return AnswerFault::StatusLine;
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return AnswerFault::TooLong;
  if (Error == http::error::bad_content_length ||
      Error == http::error::multiple_content_length ||
      Error == http::error::bad_transfer_encoding)
    return AnswerFault::Framing;
  if (Error == http::error::bad_chunk ||
      Error == http::error::bad_chunk_extension)
    return AnswerFault::Chunk;
  return AnswerFault::FieldLine;
}

bool isInterimStatus(unsigned Status) {
  return Status >= FirstStatus && Status < FirstFinalStatus;
}

} // namespace cumingauge::adapters
