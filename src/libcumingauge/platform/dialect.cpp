#include "platform/dialect.h"
#include "platform/wirenames.h"
#include <array>
#include <charconv>

namespace cumingauge::platform {

namespace {

constexpr unsigned StatusMisdirected = 421;
constexpr std::size_t MinFields = 3;

/// Returns whether an answer guarantees that the call did not run: it has the
/// header field Not-Executed, or status 421, with or without that field.
bool isNotRun(unsigned Status, std::string_view NotExecuted) {
  return Status == StatusMisdirected || !NotExecuted.empty();
}

/// Returns whether an answer shows that the server has gone: with status 421
/// another server has its address now.
bool isLeaving(unsigned Status, std::string_view /*NotExecuted*/) {
  return Status == StatusMisdirected;
}

traffic::Dialect makeDialect() {
  traffic::Dialect Out;
  Out.DeadlineMs_ = wirenames::DeadlineMs;
  Out.CallId_ = wirenames::AttemptId;
  Out.ResultCode_ = "X-Result-Code";
  Out.NotRun_ = wirenames::NotExecuted;
  Out.LoadReport_ = wirenames::ServerLoad;
  Out.Server_ = wirenames::ExpectedInstance;
  Out.AnswerProof_ = wirenames::ResponseSignature;
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
  std::array<unsigned, MinFields + 1> Fields{0, 0, 0, 100};
  std::size_t Count = 0;
  const char *Position = Text.data();
  const char *const End = Position + Text.size();
  while (Count < Fields.size()) {
    const auto Read = std::from_chars(Position, End, Fields[Count]);
    if (Read.ec != std::errc())
      return std::nullopt;
    ++Count;
    Position = Read.ptr;
    if (Position == End || *Position != ',')
      break;
    ++Position;
  }
  if (Count < MinFields)
    return std::nullopt;
  model::LoadReport Out;
  Out.InFlight_ = Fields[0];
  Out.Queued_ = Fields[1];
  Out.Slots_ = Fields[2];
  Out.PacePercent_ = Fields[3];
  return Out;
}

} // namespace cumingauge::platform
