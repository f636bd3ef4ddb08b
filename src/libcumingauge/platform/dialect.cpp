#include "platform/dialect.h"
#include "platform/wirenames.h"
#include <array>
#include <charconv>
#include <cmath>

namespace cumingauge::platform {

namespace {

constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusUnavailable = 503;
constexpr std::size_t MinFields = 3;
/// Longest time for which a server may want no calls; longer ones are errors.
constexpr double MaxPauseSeconds = 3600;
/// Longest time for which a server may be cold; longer ones are errors.
constexpr double MaxColdMs = 24.0 * 60 * 60 * 1000;
constexpr std::string_view LeavingValue = "1";

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

/// Returns a plain number, whole or with decimals; nothing when the text is not
/// one or it is larger than \p Max.
std::optional<double> readNumber(const std::string &Text, double Max) {
  const bool IsPlain = !Text.empty() &&
                       Text.find_first_not_of("0123456789.") == Text.npos &&
                       Text.front() != '.' && Text.back() != '.';
  double Out = 0;
  const char *const End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Out);
  if (!IsPlain || Read.ec != std::errc() || Read.ptr != End || Out > Max)
    return std::nullopt;
  return Out;
}

/// Returns a time in seconds, if the text is one.
std::optional<model::milliseconds> readSeconds(const std::string &Text) {
  const auto Seconds = readNumber(Text, MaxPauseSeconds);
  if (!Seconds)
    return std::nullopt;
  return std::chrono::ceil<model::milliseconds>(
      std::chrono::duration<double>(*Seconds));
}

/// Returns a whole or decimal number of milliseconds; nothing when the text is
/// not one or the time is too long.
std::optional<model::milliseconds> readMillis(const std::string &Text) {
  const auto Millis = readNumber(Text, MaxColdMs);
  if (!Millis)
    return std::nullopt;
  return model::milliseconds(static_cast<long long>(std::ceil(*Millis)));
}

/// Reads the fields Server-Leaving and Cold-Milliseconds, in any answer, and
/// Retry-After, which asks for a pause in an answer 503 only.
model::ServerNotice readNotice(unsigned Status,
                               const traffic::NoticeFields &Fields) {
  model::ServerNotice Out;
  Out.IsLeaving_ = Fields.Leaving_ == LeavingValue;
  Out.IsUnreadable_ = Fields.Leaving_ && !Out.IsLeaving_;
  if (Fields.Cold_) {
    const auto ColdFor = readMillis(*Fields.Cold_);
    Out.ColdFor_ = ColdFor.value_or(model::milliseconds(0));
    Out.IsUnreadable_ = Out.IsUnreadable_ || !ColdFor;
  }
  if (Status != StatusUnavailable || !Fields.Pause_)
    return Out;
  const auto Pause = readSeconds(*Fields.Pause_);
  Out.Pause_ = Pause.value_or(model::milliseconds(0));
  Out.IsUnreadable_ = Out.IsUnreadable_ || !Pause;
  return Out;
}

traffic::Dialect makeDialect() {
  traffic::Dialect Out;
  Out.DeadlineMs_ = wirenames::DeadlineMs;
  Out.CallId_ = wirenames::AttemptId;
  Out.Key_ = wirenames::Authorization;
  Out.KeyScheme_ = wirenames::KeyScheme;
  Out.Workspace_ = wirenames::Tenant;
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
  Out.Leaving_ = wirenames::ServerLeaving;
  Out.Pause_ = wirenames::RetryAfter;
  Out.Cold_ = wirenames::ColdMilliseconds;
  Out.ReadNotice_ = readNotice;
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
