#include "adapters/httpreader.h"
#include "traffic/headers.h"
#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <vector>

namespace cumingauge::adapters {

namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using boost::beast::string_view;
using model::ResultCode;
using traffic::Framing;

constexpr std::size_t HeadReadBytes = 4096;
constexpr std::size_t BodyReadBytes = 65536;
constexpr std::size_t KeptBufferBytes = 16384;
/// Longest chunk header or trailer that may be incomplete in the buffer.
constexpr std::size_t MaxPendingBytes = 16384;
constexpr unsigned MaxInterimAnswers = 8;
constexpr unsigned Http11 = 11;
constexpr unsigned StatusNoContent = 204;

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

  boost::asio::mutable_buffer prepare() {
    return Buffer_.prepare(
        Parser_ && Parser_->is_header_done() ? BodyReadBytes : HeadReadBytes);
  }

  void commit(std::size_t Bytes) { Buffer_.commit(Bytes); }

  ReadStep next() {
    if (!Parser_->is_header_done())
      return parseHead();
    return parseBody();
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
bool isHopByHop(http::field Name) {
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
bool isListed(string_view ConnectionField, string_view Name) {
  return !ConnectionField.empty() &&
         http::token_list{ConnectionField}.exists(Name);
}

void appendField(std::string &Out, string_view Name, string_view Value) {
  Out.append(Name.data(), Name.size()).append(": ");
  Out.append(Value.data(), Value.size()).append("\r\n");
}

std::string textOf(string_view Text) { return {Text.data(), Text.size()}; }

template <class Number> std::optional<Number> numberOf(string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

/// Whether there is no transfer coding but a single "chunked".
template <class Message> bool isTransferCodingKnown(const Message &Parsed) {
  const std::size_t Count = Parsed.count(http::field::transfer_encoding);
  if (Count == 0)
    return true;
  return Count == 1 &&
         iequals(Parsed[http::field::transfer_encoding], "chunked");
}

ResultCode codeOf(boost::beast::error_code Error) {
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return ResultCode::RequestHeadersTooLarge;
  if (Error == http::error::bad_content_length ||
      Error == http::error::bad_transfer_encoding ||
      Error == http::error::multiple_content_length)
    return ResultCode::RequestLengthConflict;
  return ResultCode::RequestMalformed;
}

/// Checks that Beast leaves to its users.
template <class Parser> ResultCode checkRequest(Parser &Source) {
  const auto &Parsed = Source.get();
  const bool Http11Request = Parsed.version() == Http11;
  if (Parsed.version() != Http11 && Parsed.version() != 10)
    return ResultCode::RequestMalformed;
  if (!isTransferCodingKnown(Parsed) || (!Http11Request && Source.chunked()))
    return ResultCode::RequestLengthConflict;
  if (Parsed.count(http::field::content_length) > 1)
    return ResultCode::RequestLengthConflict;
  const std::size_t Hosts = Parsed.count(http::field::host);
  if (Hosts > 1 || (Http11Request && Hosts == 0))
    return ResultCode::RequestMalformed;
  if (Parsed.target().empty() || Parsed.target().front() != '/')
    return ResultCode::RequestMalformed;
  const string_view Expected = Parsed[http::field::expect];
  if (!Expected.empty() && !iequals(Expected, "100-continue"))
    return ResultCode::RequestExpectationUnknown;
  return ResultCode::Ok;
}

/// Takes the fields out that this process acts on. False for a value that it
/// cannot read.
bool takeRequestField(string_view Name, string_view Value,
                      traffic::RequestHead &Head) {
  namespace names = traffic::headers;
  if (iequals(Name, names::DeadlineMs)) {
    const auto Ms = numberOf<std::uint32_t>(Value);
    if (Ms)
      Head.Deadline_ = model::milliseconds(*Ms);
    return Ms.has_value();
  }
  if (iequals(Name, names::Attempt)) {
    const auto Attempt = numberOf<unsigned>(Value);
    Head.Attempt_ = Attempt.value_or(0);
    return Attempt.has_value();
  }
  if (iequals(Name, names::CallId)) {
    Head.CallId_ = textOf(Value);
    return true;
  }
  if (iequals(Name, names::Caller))
    Head.Caller_ = textOf(Value);
  appendField(Head.Fields_, Name, Value);
  return true;
}

template <class Parser>
ResultCode fillRequest(Parser &Source, traffic::RequestHead &Head) {
  const ResultCode Checked = checkRequest(Source);
  const auto &Parsed = Source.get();
  Head = {};
  Head.Http10_ = Parsed.version() != Http11;
  Head.IsHead_ = Parsed.method() == http::verb::head;
  if (Checked != ResultCode::Ok)
    return Checked;
  Head.Method_ = textOf(Parsed.method_string());
  Head.Target_ = textOf(Parsed.target());
  Head.KeepAlive_ = Source.keep_alive();
  Head.ExpectsContinue_ =
      !Head.Http10_ && Parsed.count(http::field::expect) > 0;
  if (Source.chunked()) {
    Head.Framing_ = Framing::Chunked;
  } else if (const auto Length = Source.content_length()) {
    Head.Framing_ = Framing::Length;
    Head.Length_ = *Length;
  }
  const string_view Connection = Parsed[http::field::connection];
  for (const auto &Field : Parsed) {
    if (isHopByHop(Field.name()) || isListed(Connection, Field.name_string()))
      continue;
    if (!takeRequestField(Field.name_string(), Field.value(), Head))
      return ResultCode::RequestMalformed;
  }
  return ResultCode::Ok;
}

/// Takes the fields out that this process acts on; gives false for those that
/// are passed on.
bool takeAnswerField(string_view Name, string_view Value,
                     traffic::AnswerHead &Head) {
  namespace names = traffic::headers;
  if (iequals(Name, names::ResultCode))
    return true;
  if (iequals(Name, names::CallId)) {
    Head.CallId_ = textOf(Value);
    return true;
  }
  if (iequals(Name, names::NotRun))
    Head.NotRun_ = textOf(Value);
  if (iequals(Name, names::LoadReport))
    Head.Report_ = textOf(Value);
  return false;
}

/// False when the end of the answer cannot be told from a lost connection or
/// its framing is ambiguous.
template <class Parser>
bool fillAnswer(Parser &Source, bool ToHead, traffic::AnswerHead &Head) {
  const auto &Parsed = Source.get();
  Head = {};
  if (!isTransferCodingKnown(Parsed) || Parsed.result_int() < 200 ||
      Parsed.count(http::field::content_length) > 1)
    return false;
  Head.Status_ = Parsed.result_int();
  Head.Reason_ = textOf(Parsed.reason());
  Head.KeepAlive_ = Source.keep_alive();
  if (Source.chunked()) {
    Head.Framing_ = Framing::Chunked;
  } else if (const auto Length = Source.content_length()) {
    Head.Framing_ = Framing::Length;
    Head.Length_ = *Length;
  } else if (!ToHead && Source.need_eof()) {
    return false;
  }
  if (Head.Status_ == StatusNoContent)
    Head.Framing_ = Framing::None;
  const string_view Connection = Parsed[http::field::connection];
  for (const auto &Field : Parsed)
    if (!isHopByHop(Field.name()) &&
        !isListed(Connection, Field.name_string()) &&
        !takeAnswerField(Field.name_string(), Field.value(), Head))
      appendField(Head.Fields_, Field.name_string(), Field.value());
  return true;
}

} // namespace

struct RequestReader::Impl {
  explicit Impl(std::uint32_t HeaderLimit) : Reader_(HeaderLimit) {
    Reader_.start();
  }

  MessageReader<true> Reader_;
  traffic::RequestHead Head_;
  ResultCode Error_ = ResultCode::Ok;
};

RequestReader::RequestReader(std::uint32_t HeaderLimit)
    : Impl_(std::make_unique<Impl>(HeaderLimit)) {}

RequestReader::~RequestReader() = default;

boost::asio::mutable_buffer RequestReader::prepare() {
  return Impl_->Reader_.prepare();
}

void RequestReader::commit(std::size_t Bytes) { Impl_->Reader_.commit(Bytes); }

ReadStep RequestReader::next() {
  const ReadStep Step = Impl_->Reader_.next();
  if (Step == ReadStep::Failed)
    Impl_->Error_ = codeOf(Impl_->Reader_.error());
  if (Step != ReadStep::Head)
    return Step;
  Impl_->Error_ = fillRequest(Impl_->Reader_.parser(), Impl_->Head_);
  return Impl_->Error_ == ResultCode::Ok ? Step : ReadStep::Failed;
}

traffic::RequestHead &RequestReader::head() { return Impl_->Head_; }

std::string_view RequestReader::body() const { return Impl_->Reader_.body(); }

ResultCode RequestReader::error() const { return Impl_->Error_; }

bool RequestReader::isInside() const {
  return Impl_->Reader_.buffered() > 0 || Impl_->Reader_.parser().got_some();
}

std::size_t RequestReader::buffered() const {
  return Impl_->Reader_.buffered();
}

void RequestReader::startNext() {
  Impl_->Reader_.shrink();
  Impl_->Reader_.start();
}

struct AnswerReader::Impl {
  explicit Impl(std::uint32_t HeaderLimit) : Reader_(HeaderLimit) {}

  /// True when the head just parsed is that of an interim answer.
  bool skipInterim() {
    const unsigned Status = Reader_.parser().get().result_int();
    if (Status < 100 || Status >= 200 || Status == 101 ||
        ++Interim_ > MaxInterimAnswers)
      return false;
    start();
    return true;
  }

  void start() {
    Reader_.start();
    Reader_.parser().skip(ToHead_);
  }

  MessageReader<false> Reader_;
  traffic::AnswerHead Head_;
  bool ToHead_ = false;
  unsigned Interim_ = 0;
};

AnswerReader::AnswerReader(std::uint32_t HeaderLimit)
    : Impl_(std::make_unique<Impl>(HeaderLimit)) {
  start(/*ToHead=*/false);
}

AnswerReader::~AnswerReader() = default;

boost::asio::mutable_buffer AnswerReader::prepare() {
  return Impl_->Reader_.prepare();
}

void AnswerReader::commit(std::size_t Bytes) { Impl_->Reader_.commit(Bytes); }

ReadStep AnswerReader::next() {
  while (true) {
    const ReadStep Step = Impl_->Reader_.next();
    if (Step != ReadStep::Head)
      return Step;
    if (Impl_->skipInterim())
      continue;
    return fillAnswer(Impl_->Reader_.parser(), Impl_->ToHead_, Impl_->Head_)
               ? Step
               : ReadStep::Failed;
  }
}

traffic::AnswerHead &AnswerReader::head() { return Impl_->Head_; }

std::string_view AnswerReader::body() const { return Impl_->Reader_.body(); }

std::size_t AnswerReader::buffered() const { return Impl_->Reader_.buffered(); }

bool AnswerReader::isComplete() const {
  return Impl_->Reader_.parser().is_done();
}

void AnswerReader::shrink() { Impl_->Reader_.shrink(); }

void AnswerReader::start(bool ToHead) {
  Impl_->ToHead_ = ToHead;
  Impl_->Interim_ = 0;
  Impl_->start();
}

} // namespace cumingauge::adapters
