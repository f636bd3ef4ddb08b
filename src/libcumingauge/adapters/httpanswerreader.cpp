#include "adapters/httpanswerreader.h"
#include "adapters/httpmessagereader.h"
#include "traffic/headers.h"

namespace cumingauge::adapters {

using namespace messages;
using traffic::Framing;

namespace {

constexpr unsigned MaxInterimAnswers = 8;
constexpr unsigned StatusSwitchingProtocols = 101;
constexpr unsigned StatusNoContent = 204;

bool isInterim(unsigned Status) { return Status >= 100 && Status < 200; }

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
  if (!isTransferCodingKnown(Parsed) || isInterim(Parsed.result_int()) ||
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

struct AnswerReader::Impl {
  explicit Impl(std::uint32_t HeaderLimit) : Reader_(HeaderLimit) {}

  /// True when the head just parsed is that of an interim answer.
  bool skipInterim() {
    const unsigned Status = Reader_.parser().get().result_int();
    if (!isInterim(Status) || Status == StatusSwitchingProtocols ||
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
