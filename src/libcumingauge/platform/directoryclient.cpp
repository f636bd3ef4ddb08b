#include "platform/directoryclient.h"
#include "adapters/httpclient.h"
#include "codec/base64.h"
#include "codec/describedjson.h"
#include "platform/claimentry.h"
#include "platform/configurationdocument.h"
#include "platform/jsonfields.h"
#include "platform/serverentry.h"
#include "platform/wirenames.h"
#include <algorithm>
#include <cctype>
#include <charconv>

namespace cumingauge::platform {

namespace {

using adapters::HttpClient;
using adapters::HttpClientAnswer;
using adapters::HttpClientCall;
using model::ResultCode;
using ports::DirectoryOperation;
using ports::DirectoryRequest;
using ports::DirectoryResponse;
using ports::DirectoryTopic;

/// Shortest wait of a watch, which polls.
constexpr model::milliseconds PollWait{1};
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpGone = 410;
constexpr unsigned HttpPreconditionFailed = 412;
constexpr unsigned HttpTooManyRequests = 429;
constexpr unsigned HttpInternalError = 500;

const char *prefixOf(DirectoryTopic Topic) {
  switch (Topic) {
  case DirectoryTopic::Configuration:
    return wirenames::OperatorPrefix;
  case DirectoryTopic::Servers:
    return wirenames::ServersPrefix;
  case DirectoryTopic::CreditClaims:
    return wirenames::CreditClaimsPrefix;
  case DirectoryTopic::Members:
    break;
  }
  return wirenames::MembersPrefix;
}

/// Returns a key as the value of a field in a request target.
std::string encodeKey(const std::string &Key) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  constexpr std::string_view Unreserved = "-._~/";
  std::string Out;
  for (const char C : Key) {
    const auto Byte = static_cast<unsigned char>(C);
    if (std::isalnum(Byte) || Unreserved.find(C) != Unreserved.npos) {
      Out += C;
      continue;
    }
    Out += '%';
    Out += Digits[Byte >> 4];
    Out += Digits[Byte & 0xf];
  }
  return Out;
}

std::string announcementBody(const model::Member &Self) {
  const std::string Value = codec::toJson(Self).dump();
  const Json Put{{"key", wirenames::MembersPrefix + Self.Process_},
                 {"value", codec::encodeBase64(Value)},
                 {"lease", 0}};
  return Json{{"expected-revision", Json::array()},
              {"puts", Json::array({Put})},
              {"deletes", Json::array()}}
      .dump();
}

std::string watchTarget(const DirectoryRequest &Request,
                        model::milliseconds Wait) {
  return std::string(wirenames::Watch) + prefixOf(Request.Topic_) +
         "&after=" + std::to_string(Request.After_) +
         "&wait-ms=" + std::to_string(Wait.count());
}

HttpClientCall callFor(const DirectoryRequest &Request) {
  HttpClientCall Out;
  Out.Method_ = "GET";
  switch (Request.Operation_) {
  case DirectoryOperation::Read:
    Out.Target_ = std::string(wirenames::ReadRange) + prefixOf(Request.Topic_);
    if (!Request.Page_.empty())
      Out.Target_ += "&after=" + encodeKey(Request.Page_);
    break;
  case DirectoryOperation::Watch:
    Out.Target_ = watchTarget(Request, Request.Wait_);
    Out.Wait_ = Request.Wait_;
    Out.Repeatable_ = false;
    break;
  case DirectoryOperation::Poll:
    Out.Target_ = watchTarget(Request, PollWait);
    break;
  case DirectoryOperation::Announce:
    Out.Method_ = "POST";
    Out.Target_ = wirenames::Transaction;
    Out.Body_ = announcementBody(Request.Self_);
    Out.ContentType_ = "application/json";
    Out.NewConnection_ = true;
    break;
  case DirectoryOperation::Claim:
    // May be sent twice: its condition holds only once.
    Out.Method_ = "POST";
    Out.Target_ = wirenames::Transaction;
    Out.Body_ = claimBody(Request.Claim_);
    Out.ContentType_ = "application/json";
    break;
  case DirectoryOperation::Ping:
    Out.Target_ = std::string(wirenames::ReadKey) + wirenames::AbsentKey +
                  wirenames::AllowStale;
    break;
  }
  return Out;
}

bool isDeletion(const Json &Item) {
  const Json *Deleted = findField(Item, "deleted");
  return Deleted && Deleted->is_boolean() && Deleted->get<bool>();
}

/// Reads the items of one response. Items that cannot be read are left out and
/// listed in DirectoryResponse::Unreadable_.
class ResponseReader {
public:
  ResponseReader(const DirectoryRequest &Request, const model::Preset &Base,
                 DirectoryResponse &Out)
      : Request_(Request), Base_(Base), Out_(Out) {}

  void add(const Json &Item) {
    const std::string Key = textField(Item, "key").value_or("");
    if (Request_.Topic_ == DirectoryTopic::Configuration &&
        hasPrefix(Key, wirenames::EvacuationPrefix))
      return addZone(Key, !isDeletion(Item));
    if (isDeletion(Item))
      return addDeletion(Key);
    if (Request_.Topic_ == DirectoryTopic::CreditClaims)
      return addClaim(Item, Key);
    const auto Value = valueOf(Item);
    if (!Value) {
      addUnreadable(Key);
      return addDeletion(Key);
    }
    Revision_ = countField(Item, "revision").value_or(0);
    switch (Request_.Topic_) {
    case DirectoryTopic::CreditClaims:
      return; // handled above
    case DirectoryTopic::Configuration:
      return addConfiguration(Key, *Value);
    case DirectoryTopic::Servers:
      return addServer(Key, *Value);
    case DirectoryTopic::Members:
      return addMember(Key, *Value);
    }
  }

private:
  void addUnreadable(const std::string &Key) {
    Out_.Unreadable_.push_back({Key, "cannot be read"});
  }

  void addConfiguration(const std::string &Key, const std::string &Value) {
    if (Key != wirenames::ConfigurationKey)
      return; // another key with the same prefix
    if (auto Read = readConfiguration(Value, Base_, Out_.Unreadable_))
      Out_.Configuration_ = std::move(Read);
  }

  /// Only the key of an evacuation counts.
  void addZone(const std::string &Key, bool Evacuated) {
    Out_.Zones_.push_back(
        {Key.substr(std::string_view(wirenames::EvacuationPrefix).size()),
         Evacuated});
  }

  static bool hasPrefix(const std::string &Key, std::string_view Prefix) {
    return Key.rfind(Prefix, 0) == 0;
  }

  void addDeletion(const std::string &Key) {
    if (Request_.Topic_ == DirectoryTopic::Servers)
      Out_.Servers_.push_back({nameFromKey(Key), std::nullopt, Revision_});
  }

  void addServer(const std::string &Key, const std::string &Value) {
    const std::string Name = nameFromKey(Key);
    auto Read = readServerEntry(Name, Value);
    if (!Read)
      addUnreadable(Key);
    Out_.Servers_.push_back({Name, std::move(Read), Revision_});
  }

  /// Returns what follows the prefix of the servers' keys, so that no other key
  /// has the name of a server.
  static std::string nameFromKey(const std::string &Key) {
    const std::string_view Prefix = wirenames::ServersPrefix;
    return hasPrefix(Key, Prefix) ? Key.substr(Prefix.size()) : Key;
  }

  void addMember(const std::string &Key, const std::string &Value) {
    model::Member Read;
    model::Problems Found;
    codec::fromJson(parseDocument(Value), "", Read, Found);
    if (!Found.empty())
      return addUnreadable(Key);
    Out_.Members_.push_back(std::move(Read));
  }

  void addClaim(const Json &Item, const std::string &Key) {
    const auto Read = readClaim(Item);
    if (!Read || !Read->IsReadable_)
      addUnreadable(Key);
    if (Read)
      Out_.Claims_.push_back(*Read);
  }

  const DirectoryRequest &Request_;
  const model::Preset &Base_;
  DirectoryResponse &Out_;
  std::uint64_t Revision_ = 0; ///< of the current item
};

DirectoryResponse errorResponse(ResultCode Code) {
  DirectoryResponse Out;
  Out.Code_ = Code;
  return Out;
}

/// Returns the items of a range or the events of a watch; null when the
/// document is a single item.
const Json *findList(const Json &Document) {
  for (const char *Name : {"items", "events"})
    if (const Json *List = findField(Document, Name))
      return List;
  return nullptr;
}

DirectoryResponse readItems(const DirectoryRequest &Request,
                            const model::Preset &Base,
                            const std::string &Body) {
  const Json Document = parseDocument(Body);
  const auto Revision = countField(Document, "at");
  if (!Revision)
    return errorResponse(ResultCode::StoreAnswerInvalid);
  DirectoryResponse Out;
  Out.Revision_ = *Revision;
  ResponseReader Reader(Request, Base, Out);
  std::string LastKey;
  const auto AddItem = [&](const Json &Item) {
    LastKey = textField(Item, "key").value_or(LastKey);
    Reader.add(Item);
  };
  if (const Json *List = findList(Document))
    std::for_each(List->begin(), List->end(), AddItem);
  else if (findField(Document, "key"))
    AddItem(Document);
  const Json *More = findField(Document, "has-more");
  if (More && More->is_boolean() && More->get<bool>())
    Out.Next_ = LastKey;
  return Out;
}

DirectoryResponse readPing(const std::string &Body) {
  const Json Document = parseDocument(Body);
  DirectoryResponse Out;
  Out.Revision_ = countField(Document, "at").value_or(0);
  return Out;
}

DirectoryResponse readClaimed(const std::string &Body) {
  const auto Revision = countField(parseDocument(Body), "revision");
  if (!Revision)
    return errorResponse(ResultCode::StoreAnswerInvalid);
  DirectoryResponse Out;
  Out.Revision_ = *Revision;
  return Out;
}

/// Reads the entry that a claim has met.
DirectoryResponse readConflict(const DirectoryRequest &Request,
                               const model::Preset &Base,
                               const std::string &Body) {
  const Json Document = parseDocument(Body);
  const Json *Items = findField(Document, "items");
  if (!Items || !Items->is_array())
    return errorResponse(ResultCode::StoreAnswerInvalid);
  DirectoryResponse Out;
  Out.IsConflict_ = true;
  DirectoryRequest OfClaims = Request;
  OfClaims.Topic_ = DirectoryTopic::CreditClaims;
  ResponseReader Reader(OfClaims, Base, Out);
  for (const Json &Item : *Items)
    if (countField(Item, "revision").value_or(0) > 0)
      Reader.add(Item);
  return Out;
}

/// Returns the era in a header field; 0 when it is absent or no number.
std::uint64_t readEra(const std::string &Field) {
  std::uint64_t Out = 0;
  const char *End = Field.data() + Field.size();
  const auto [Stop, Failed] = std::from_chars(Field.data(), End, Out);
  return Failed == std::errc() && Stop == End ? Out : 0;
}

DirectoryResponse readResponse(const DirectoryRequest &Request,
                               const model::Preset &Base,
                               const HttpClientAnswer &Answer) {
  const bool IsClaim = Request.Operation_ == DirectoryOperation::Claim;
  const bool IsWrite =
      IsClaim || Request.Operation_ == DirectoryOperation::Announce;
  if (!Answer.Answered_)
    return errorResponse(IsWrite && Answer.MayHaveSent_
                             ? ResultCode::StoreTimeout
                             : ResultCode::StoreUnavailable);
  if (IsClaim && Answer.Status_ == HttpOk)
    return readClaimed(Answer.Body_);
  if (IsClaim && Answer.Status_ == HttpPreconditionFailed)
    return readConflict(Request, Base, Answer.Body_);
  if (Answer.Status_ == HttpOk)
    return IsWrite ? DirectoryResponse()
                   : readItems(Request, Base, Answer.Body_);
  if (Answer.Status_ == HttpGone) {
    DirectoryResponse Out;
    Out.IsCompacted_ = true;
    return Out;
  }
  if (Request.Operation_ == DirectoryOperation::Ping &&
      Answer.Status_ == HttpNotFound)
    return readPing(Answer.Body_);
  if (Answer.Status_ == HttpNotFound && !IsWrite)
    return readItems(Request, Base, Answer.Body_);
  if (Answer.Status_ == HttpTooManyRequests)
    return errorResponse(ResultCode::StoreRateLimited);
  return errorResponse(Answer.Status_ >= HttpInternalError
                           ? ResultCode::StoreUnavailable
                           : ResultCode::StoreAnswerInvalid);
}

} // namespace

ports::Directory makeDirectory(boost::asio::io_context &Io,
                               const PlatformSettings &Settings,
                               const model::Preset &Base) {
  adapters::HttpClientSettings Target;
  Target.Host_ = Settings.Store_.Host_;
  Target.Port_ = Settings.Store_.Port_;
  Target.CapturedHeader_ = wirenames::StoreEra;
  const auto Client = std::make_shared<HttpClient>(Io, Target);
  return {[Client, Base](const DirectoryRequest &Request,
                         ports::DirectoryHandler Handler) {
    Client->call(callFor(Request),
                 [Request, Base, Handler = std::move(Handler)](
                     const HttpClientAnswer &Answer) {
                   DirectoryResponse Out = readResponse(Request, Base, Answer);
                   Out.Era_ = readEra(Answer.CapturedValue_);
                   Handler(Out);
                 });
  }};
}

} // namespace cumingauge::platform
