#include "adapters/httprequestreader.h"
#include "adapters/httpmessagereader.h"
#include <algorithm>
#include <array>
#include <charconv>

namespace cumingauge::adapters {

using namespace messages;
using model::ResultCode;
using traffic::Framing;

namespace {

/// Holds the whole head of most requests.
constexpr std::size_t SmallReadBytes = 1024;
constexpr unsigned Http11 = 11;
constexpr unsigned Http10 = 10;

template <class Number> std::optional<Number> parseNumber(string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

/// Returns a time in ms; decimals are cut off.
std::optional<std::uint32_t> parseMillis(string_view Text) {
  const std::size_t Point = std::min(Text.find('.'), Text.size());
  const string_view Decimals = Text.substr(Point);
  const bool HasOnlyDigits =
      Decimals.find_first_not_of("0123456789", 1) == string_view::npos;
  if (!HasOnlyDigits || Decimals.size() == 1)
    return std::nullopt;
  return parseNumber<std::uint32_t>(Text.substr(0, Point));
}

ResultCode resultCodeOf(boost::beast::error_code Error) {
  if (Error == http::error::header_limit ||
      Error == http::error::buffer_overflow)
    return ResultCode::RequestHeadersTooLarge;
  if (Error == http::error::bad_content_length ||
      Error == http::error::bad_transfer_encoding ||
      Error == http::error::multiple_content_length)
    return ResultCode::RequestLengthConflict;
  return ResultCode::RequestMalformed;
}

/// Returns path and query of a request, also of one whose target names its host
/// too; empty when the target has another form or names another host. Hosts
/// that servers could read in another way are not taken.
template <class Message> string_view pathOf(const Message &Parsed) {
  constexpr std::string_view Scheme = "http://";
  constexpr std::string_view Delimiters = "/?#@";
  const string_view Target = Parsed.target();
  if (Target.empty() || Target.front() == '/')
    return Target;
  if (!iequals(Target.substr(0, Scheme.size()), Scheme))
    return {};
  const string_view Rest = Target.substr(Scheme.size());
  const std::size_t Path = std::min(Rest.find('/'), Rest.size());
  const string_view Host = Rest.substr(0, Path);
  if (Host.empty() || Host.find_first_of(Delimiters) != string_view::npos ||
      !iequals(Host, Parsed[http::field::host]))
    return {};
  return Path == Rest.size() ? "/" : Rest.substr(Path);
}

/// Returns Ok, or the code of the first fault that Beast does not check for.
template <class Parser> ResultCode checkRequest(Parser &Source) {
  const auto &Parsed = Source.get();
  const bool Http11Request = Parsed.version() == Http11;
  if (Parsed.version() != Http11 && Parsed.version() != Http10)
    return ResultCode::RequestMalformed;
  if (!isTransferCodingKnown(Parsed) || (!Http11Request && Source.chunked()))
    return ResultCode::RequestLengthConflict;
  if (Parsed.count(http::field::content_length) > 1)
    return ResultCode::RequestLengthConflict;
  const std::size_t Hosts = Parsed.count(http::field::host);
  if (Hosts > 1 || (Http11Request && Hosts == 0))
    return ResultCode::RequestMalformed;
  if (pathOf(Parsed).empty())
    return ResultCode::RequestMalformed;
  const string_view Expected = Parsed[http::field::expect];
  if (!Expected.empty() && !iequals(Expected, "100-continue"))
    return ResultCode::RequestExpectationUnknown;
  return ResultCode::Ok;
}

/// Stores a field that this process acts on in its member of Head, and appends
/// any other field to Head.Fields_.
/// \returns false when the value cannot be parsed.
bool storeRequestField(const traffic::Dialect &Names, string_view Name,
                       string_view Value, traffic::RequestHead &Head) {
  if (iequals(Name, Names.DeadlineMs_)) {
    const auto Ms = parseMillis(Value);
    if (Ms)
      Head.Deadline_ = model::milliseconds(*Ms);
    return Ms.has_value();
  }
  if (iequals(Name, Names.Attempt_)) {
    const auto Attempt = parseNumber<unsigned>(Value);
    Head.Attempt_ = Attempt.value_or(0);
    return Attempt.has_value();
  }
  if (iequals(Name, Names.CallId_)) {
    Head.CallId_ = textOf(Value);
    return true;
  }
  if (iequals(Name, Names.Caller_))
    Head.Caller_ = textOf(Value);
  if (iequals(Name, Names.Key_)) {
    Head.Credentials_.push_back(textOf(Value));
    return true;
  }
  // Dropped; this process sets both itself.
  if (iequals(Name, Names.Server_) || iequals(Name, Names.Workspace_))
    return true;
  appendField(Head.Fields_, Name, Value);
  return true;
}

/// Checks a parsed head and fills Head from it.
template <class Parser>
ResultCode fillRequest(const traffic::Dialect &Names, Parser &Source,
                       traffic::RequestHead &Head) {
  const ResultCode Result = checkRequest(Source);
  const auto &Parsed = Source.get();
  Head = {};
  Head.Http10_ = Parsed.version() != Http11;
  Head.IsHead_ = Parsed.method() == http::verb::head;
  if (Result != ResultCode::Ok)
    return Result;
  Head.Method_ = textOf(Parsed.method_string());
  Head.Target_ = textOf(pathOf(Parsed));
  Head.Host_ = textOf(Parsed[http::field::host]);
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
    if (!storeRequestField(Names, Field.name_string(), Field.value(), Head))
      return ResultCode::RequestMalformed;
  }
  return ResultCode::Ok;
}

} // namespace

struct RequestReader::Impl {
  Impl(std::uint32_t HeaderLimit, const traffic::Dialect &Names)
      : Names_(Names), Reader_(HeaderLimit) {
    Reader_.start();
  }

  const traffic::Dialect &Names_;

  MessageReader<true> Reader_;
  /// Target of socket reads. Requests are parsed while a read is in progress,
  /// and parsing moves the bytes in the parser's buffer, so the read needs a
  /// separate buffer.
  std::array<char, SmallReadBytes> Incoming_;
  traffic::RequestHead Head_;
  ResultCode Error_ = ResultCode::Ok;
};

RequestReader::RequestReader(std::uint32_t HeaderLimit,
                             const traffic::Dialect &Names)
    : Impl_(std::make_unique<Impl>(HeaderLimit, Names)) {}

RequestReader::~RequestReader() = default;

void RequestReader::setHeaderLimit(std::uint32_t Bytes) {
  Impl_->Reader_.setHeaderLimit(Bytes);
}

boost::asio::mutable_buffer RequestReader::prepare() {
  return boost::asio::buffer(Impl_->Incoming_);
}

void RequestReader::commit(std::size_t Bytes) {
  Impl_->Reader_.append({Impl_->Incoming_.data(), Bytes});
}

void RequestReader::append(std::string_view Bytes) {
  Impl_->Reader_.append(Bytes);
}

std::size_t RequestReader::readSize() const {
  return Impl_->Reader_.readSize();
}

ReadStep RequestReader::next() {
  const ReadStep Step = Impl_->Reader_.next();
  if (Step == ReadStep::NeedMore)
    Impl_->Reader_.releaseRoom();
  if (Step == ReadStep::Failed)
    Impl_->Error_ = resultCodeOf(Impl_->Reader_.error());
  if (Step != ReadStep::Head)
    return Step;
  Impl_->Error_ =
      fillRequest(Impl_->Names_, Impl_->Reader_.parser(), Impl_->Head_);
  // The parser's list of fields takes many times the bytes of short fields.
  Impl_->Reader_.parser().get().clear();
  return Impl_->Error_ == ResultCode::Ok ? Step : ReadStep::Failed;
}

traffic::RequestHead &RequestReader::head() { return Impl_->Head_; }

std::string_view RequestReader::body() const { return Impl_->Reader_.body(); }

ResultCode RequestReader::error() const { return Impl_->Error_; }

std::string RequestReader::errorText() const {
  const auto Error = Impl_->Reader_.error();
  return Error && Impl_->Error_ != ResultCode::Ok ? Error.message() : "";
}

bool RequestReader::hasPartialRequest() const {
  return Impl_->Reader_.buffered() > 0 || Impl_->Reader_.parser().got_some();
}

std::size_t RequestReader::heldBytes() const {
  return sizeof(Impl) + Impl_->Reader_.capacity() +
         traffic::heldBytes(Impl_->Head_);
}

void RequestReader::release() {
  Impl_->Reader_.drop();
  Impl_->Head_ = {};
}

std::size_t RequestReader::buffered() const {
  return Impl_->Reader_.buffered();
}

void RequestReader::startNext() {
  Impl_->Reader_.shrink();
  Impl_->Reader_.start();
}

} // namespace cumingauge::adapters
