#include "adapters/httpanswerreader.h"
#include "adapters/httpanswerparser.h"
#include <algorithm>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace cumingauge::adapters {

using namespace messages;
using model::AnswerFault;
using traffic::Framing;

namespace {

constexpr unsigned StatusNoContent = 204;

/// Stores the value of a field that this process evaluates. Returns true for a
/// field that is not passed on to the caller.
bool storeAnswerField(const traffic::Dialect &Names, string_view Name,
                      string_view Value, traffic::AnswerHead &Head) {
  if (iequals(Name, Names.ResultCode_))
    return true;
  if (iequals(Name, Names.CallId_)) {
    Head.CallId_ = textOf(Value);
    return true;
  }
  if (iequals(Name, Names.NotRun_))
    Head.NotRun_ = textOf(Value);
  if (iequals(Name, Names.LoadReport_))
    Head.Report_ = textOf(Value);
  if (iequals(Name, Names.AnswerProof_))
    Head.HasProof_ = !Value.empty();
  return false;
}

/// Returns the values of a field, joined by commas; nothing when it is absent.
template <class Fields>
std::optional<std::string> valuesOf(const Fields &Parsed,
                                    const std::string &Name) {
  if (Name.empty())
    return std::nullopt;
  std::optional<std::string> Out;
  const auto Range = Parsed.equal_range(Name);
  for (auto It = Range.first; It != Range.second; ++It)
    Out = Out ? *Out + "," + textOf(It->value()) : textOf(It->value());
  return Out;
}

/// Whether all fields of this name have the same value.
template <class Fields>
bool haveOneValue(const Fields &Parsed, const std::string &Name) {
  const auto Range = Parsed.equal_range(Name);
  return std::all_of(Range.first, Range.second, [&](const auto &Field) {
    return Field.value() == Range.first->value();
  });
}

/// Returns the "timeout" parameter of a Keep-Alive field.
std::optional<model::seconds> idleTimeoutOf(string_view KeepAlive) {
  for (const auto &Parameter : http::param_list{KeepAlive}) {
    unsigned Count = 0;
    if (iequals(Parameter.first, "timeout") &&
        boost::conversion::try_lexical_convert(textOf(Parameter.second), Count))
      return model::seconds(Count);
  }
  return std::nullopt;
}

/// Converts a well-formed head. Returns a fault when the end of the answer
/// could not be distinguished from a lost connection, or when it names two
/// calls.
AnswerFault readAnswerHead(const traffic::Dialect &Names,
                           const ParsedAnswer &Source, bool ToHeadRequest,
                           traffic::AnswerHead &Head) {
  const auto &Parsed = Source.get();
  Head = {};
  Head.HasProof_ = Names.AnswerProof_.empty();
  Head.Status_ = Parsed.result_int();
  Head.Reason_ = textOf(Parsed.reason());
  Head.KeepAlive_ = Source.keep_alive();
  if (Source.chunked()) {
    Head.Framing_ = Framing::Chunked;
  } else if (const auto Length = Source.content_length()) {
    Head.Framing_ = Framing::Length;
    Head.Length_ = *Length;
  } else if (!ToHeadRequest && Source.need_eof()) {
    if (!Names.AnswersUntilClose_)
      return AnswerFault::Framing;
    Head.UntilClose_ = true;
    Head.Framing_ = Framing::Chunked; // so that the caller sees where it ends
  }
  if (Head.Status_ == StatusNoContent)
    Head.Framing_ = Framing::None;
  const string_view Connection = Parsed[http::field::connection];
  for (const auto &Field : Parsed)
    if (!isHopByHop(Field.name()) &&
        !isListed(Connection, Field.name_string()) &&
        !storeAnswerField(Names, Field.name_string(), Field.value(), Head))
      appendField(Head.Fields_, Field.name_string(), Field.value());
  if (Names.ReadNotice_)
    Head.Notice_ =
        Names.ReadNotice_(Head.Status_, {valuesOf(Parsed, Names.Leaving_),
                                         valuesOf(Parsed, Names.Pause_),
                                         valuesOf(Parsed, Names.Cold_)});
  // param_list expects a leading ';', which the value of the field lacks.
  const std::string KeepAlive = ";" + textOf(Parsed[http::field::keep_alive]);
  Head.IdleTimeout_ = idleTimeoutOf(KeepAlive);
  return haveOneValue(Parsed, Names.CallId_) ? AnswerFault::None
                                             : AnswerFault::WrongCall;
}

} // namespace

struct AnswerReader::Impl {
  Impl(std::uint32_t HeaderLimit, const traffic::Dialect &Names)
      : Names_(Names), Parser_(HeaderLimit) {}

  const traffic::Dialect &Names_;
  AnswerParser Parser_;
  traffic::AnswerHead Head_;
  bool ToHeadRequest_ = false;
  AnswerFault Fault_ = AnswerFault::None;
};

AnswerReader::AnswerReader(std::uint32_t HeaderLimit,
                           const traffic::Dialect &Names)
    : Impl_(std::make_unique<Impl>(HeaderLimit, Names)) {
  start(/*ToHeadRequest=*/false);
}

AnswerReader::~AnswerReader() = default;

boost::asio::mutable_buffer AnswerReader::prepare() {
  return Impl_->Parser_.prepare();
}

void AnswerReader::commit(std::size_t Bytes) { Impl_->Parser_.commit(Bytes); }

ReadStep AnswerReader::next() {
  const ReadStep Step = Impl_->Parser_.next();
  Impl_->Fault_ = Impl_->Parser_.fault();
  if (Step != ReadStep::Head)
    return Step;
  Impl_->Fault_ = readAnswerHead(Impl_->Names_, Impl_->Parser_.parsed(),
                                 Impl_->ToHeadRequest_, Impl_->Head_);
  return Impl_->Fault_ == AnswerFault::None ? Step : ReadStep::Failed;
}

traffic::AnswerHead &AnswerReader::head() { return Impl_->Head_; }

const traffic::AnswerHead &AnswerReader::head() const { return Impl_->Head_; }

std::string_view AnswerReader::body() const { return Impl_->Parser_.body(); }

std::size_t AnswerReader::buffered() const { return Impl_->Parser_.buffered(); }

bool AnswerReader::hasBegun() const { return Impl_->Parser_.hasBegun(); }

bool AnswerReader::isComplete() const { return Impl_->Parser_.isComplete(); }

AnswerFault AnswerReader::fault() const { return Impl_->Fault_; }

unsigned AnswerReader::status() const { return Impl_->Parser_.status(); }

bool AnswerReader::finishAtClose() { return Impl_->Parser_.finishAtClose(); }

std::size_t AnswerReader::capacity() const { return Impl_->Parser_.capacity(); }

void AnswerReader::shrink() { Impl_->Parser_.shrink(); }

void AnswerReader::start(bool ToHeadRequest) {
  Impl_->ToHeadRequest_ = ToHeadRequest;
  Impl_->Fault_ = AnswerFault::None;
  Impl_->Parser_.start(ToHeadRequest);
}

} // namespace cumingauge::adapters
