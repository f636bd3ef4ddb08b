#include "adapters/storeprotocol.h"
#include "codec/base64.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace cumingauge::adapters::storeprotocol {

namespace {

using Json = nlohmann::json;
using model::ResultCode;
using ports::StoreOperation;
using ports::StoreRequest;
using ports::StoreResponse;

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpNotFound = 404;
constexpr unsigned HttpTooManyRequests = 429;
constexpr unsigned HttpInternalError = 500;
constexpr unsigned HttpServiceUnavailable = 503;

StoreResponse errorResponse(ResultCode Code) {
  StoreResponse Out;
  Out.Code_ = Code;
  return Out;
}

/// Returns the response for a body that cannot be parsed. The outcome of a
/// write is then unknown, which StoreTimeout stands for.
StoreResponse unreadableResponse(const StoreRequest &Request) {
  return errorResponse(isWrite(Request.Operation_)
                           ? ResultCode::StoreTimeout
                           : ResultCode::StoreAnswerInvalid);
}

StoreResponse readValue(const StoreRequest &Request,
                        const HttpResponse &Response) {
  const Json Document = Json::parse(Response.Body_, nullptr, false);
  if (!Document.is_array() || Document.size() != 1 || !Document[0].is_object())
    return unreadableResponse(Request);
  const Json &Entry = Document[0];
  const auto Index = Entry.find("ModifyIndex");
  const auto Value = Entry.find("Value");
  if (Index == Entry.end() || !Index->is_number_unsigned() ||
      Value == Entry.end() || !(Value->is_string() || Value->is_null()))
    return unreadableResponse(Request);
  const std::optional<std::string> Bytes =
      Value->is_null()
          ? std::string()
          : codec::decodeBase64(Value->get_ref<const std::string &>());
  if (!Bytes)
    return unreadableResponse(Request);
  StoreResponse Out;
  Out.Found_ = true;
  Out.Value_ = *Bytes;
  Out.Index_ = Index->get<std::uint64_t>();
  return Out;
}

StoreResponse readWriteResult(const StoreRequest &Request,
                              const HttpResponse &Response) {
  const Json Document = Json::parse(Response.Body_, nullptr, false);
  if (!Document.is_boolean())
    return unreadableResponse(Request);
  StoreResponse Out;
  Out.Written_ = Document.get<bool>();
  return Out;
}

std::string textOf(const Json &Object, const char *Key) {
  if (!Object.is_object())
    return {};
  const auto Entry = Object.find(Key);
  return Entry != Object.end() && Entry->is_string() ? Entry->get<std::string>()
                                                     : std::string();
}

StoreResponse readVms(const StoreRequest &Request,
                      const HttpResponse &Response) {
  const Json Document = Json::parse(Response.Body_, nullptr, false);
  if (!Document.is_array())
    return unreadableResponse(Request);
  StoreResponse Out;
  for (const Json &Node : Document) {
    if (!Node.is_object() || textOf(Node, "Node").empty())
      return unreadableResponse(Request);
    const Json Meta = Node.value("Meta", Json::object());
    if (!Meta.is_object() && !Meta.is_null())
      return unreadableResponse(Request);
    Out.Vms_.push_back({textOf(Node, "Node"), textOf(Meta, "leaving") == "true",
                        textOf(Meta, "role")});
  }
  return Out;
}

StoreResponse readSuccess(const StoreRequest &Request,
                          const HttpResponse &Response) {
  switch (Request.Operation_) {
  case StoreOperation::Get:
  case StoreOperation::Watch:
    return readValue(Request, Response);
  case StoreOperation::CreateIfAbsent:
  case StoreOperation::CompareAndSwap:
  case StoreOperation::Delete:
    return readWriteResult(Request, Response);
  case StoreOperation::ListVms:
    return readVms(Request, Response);
  }
  return unreadableResponse(Request);
}

bool isKeyRead(StoreOperation Operation) {
  return Operation == StoreOperation::Get || Operation == StoreOperation::Watch;
}

StoreResponse readServerError(const StoreRequest &Request, unsigned Status) {
  // Only 503 guarantees that the store did not process the request; after
  // another server error a write may have been applied.
  const bool MayHaveApplied =
      isWrite(Request.Operation_) && Status != HttpServiceUnavailable;
  return errorResponse(MayHaveApplied ? ResultCode::StoreTimeout
                                      : ResultCode::StoreUnavailable);
}

} // namespace

bool isWrite(StoreOperation Operation) {
  return Operation == StoreOperation::CreateIfAbsent ||
         Operation == StoreOperation::CompareAndSwap ||
         Operation == StoreOperation::Delete;
}

HttpRequestLine requestLineFor(const StoreRequest &Request) {
  const std::string Path = "/v1/kv/" + Request.Key_;
  switch (Request.Operation_) {
  case StoreOperation::Get:
    return {"GET", Path};
  case StoreOperation::Watch:
    // With index 0 the store would respond at once.
    return {"GET",
            Path + "?index=" +
                std::to_string(std::max<std::uint64_t>(Request.Index_, 1)) +
                "&wait=" + std::to_string(Request.Wait_.count()) + "ms"};
  case StoreOperation::CreateIfAbsent:
    return {"PUT", Path + "?cas=0"};
  case StoreOperation::CompareAndSwap:
    return {"PUT", Path + "?cas=" + std::to_string(Request.Index_)};
  case StoreOperation::Delete:
    return {"DELETE", Path};
  case StoreOperation::ListVms:
    return {"GET", "/v1/catalog/nodes"};
  }
  return {"GET", Path};
}

StoreResponse readResponse(const StoreRequest &Request,
                           const HttpResponse &Response) {
  if (Response.Status_ == HttpOk)
    return readSuccess(Request, Response);
  if (Response.Status_ == HttpNotFound && isKeyRead(Request.Operation_)) {
    StoreResponse Absent;
    Absent.Index_ = Response.ConsulIndex_;
    return Absent;
  }
  if (Response.Status_ == HttpTooManyRequests)
    return errorResponse(ResultCode::StoreRateLimited);
  if (Response.Status_ >= HttpInternalError)
    return readServerError(Request, Response.Status_);
  return errorResponse(ResultCode::StoreAnswerInvalid);
}

StoreResponse unansweredResponse(const StoreRequest &Request,
                                 bool MayHaveSent) {
  return errorResponse(MayHaveSent && isWrite(Request.Operation_)
                           ? ResultCode::StoreTimeout
                           : ResultCode::StoreUnavailable);
}

} // namespace cumingauge::adapters::storeprotocol
