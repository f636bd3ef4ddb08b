#include "platform/dialect.h"
#include "platform/words.h"
#include <array>
#include <charconv>

namespace cumingauge::platform {

namespace {

constexpr unsigned StatusMisdirected = 421;
constexpr std::size_t LeastFigures = 3;

/// A misdirected call did not run, with or without a word about it.
bool isNotRun(unsigned Status, std::string_view NotExecuted) {
  return Status == StatusMisdirected || !NotExecuted.empty();
}

/// Another server has the address now.
bool isLeaving(unsigned Status, std::string_view /*NotExecuted*/) {
  return Status == StatusMisdirected;
}

traffic::Dialect makeDialect() {
  traffic::Dialect Out;
  Out.DeadlineMs_ = words::DeadlineMs;
  Out.CallId_ = words::AttemptId;
  Out.ResultCode_ = "X-Result-Code";
  Out.NotRun_ = words::NotExecuted;
  Out.LoadReport_ = words::ServerLoad;
  Out.Server_ = words::ExpectedInstance;
  Out.AnswerProof_ = words::ResponseSignature;
  Out.CallIdRequired_ = true;
  Out.SkipsStaleAnswers_ = true;
  Out.AnswersUntilClose_ = true;
  Out.ReadReport_ = readServerLoad;
  Out.IsNotRun_ = isNotRun;
  Out.IsLeaving_ = isLeaving;
  return Out;
}

} // namespace

const traffic::Dialect &platformDialect() {
  static const traffic::Dialect Dialect = makeDialect();
  return Dialect;
}

std::optional<model::LoadReport> readServerLoad(std::string_view Text) {
  std::array<unsigned, LeastFigures + 1> Figures{0, 0, 0, 100};
  std::size_t Count = 0;
  const char *At = Text.data();
  const char *const End = At + Text.size();
  while (Count < Figures.size()) {
    const auto Read = std::from_chars(At, End, Figures[Count]);
    if (Read.ec != std::errc())
      return std::nullopt;
    ++Count;
    At = Read.ptr;
    if (At == End || *At != ',')
      break;
    ++At;
  }
  if (Count < LeastFigures)
    return std::nullopt;
  model::LoadReport Out;
  Out.InFlight_ = Figures[0];
  Out.Queued_ = Figures[1];
  Out.Slots_ = Figures[2];
  Out.PacePercent_ = Figures[3];
  return Out;
}

} // namespace cumingauge::platform
