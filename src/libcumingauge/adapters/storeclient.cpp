#include "adapters/storeclient.h"
#include "adapters/storeprotocol.h"
#include <boost/asio/post.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace cumingauge::adapters {

namespace {

using ports::StoreHandler;
using ports::StoreRequest;
using ports::StoreResponse;

constexpr const char *IndexHeader = "X-Consul-Index";

HttpClientCall callFor(const StoreRequest &Request) {
  const storeprotocol::HttpRequestLine RequestLine =
      storeprotocol::requestLineFor(Request);
  HttpClientCall Out;
  Out.Method_ = RequestLine.Method_;
  Out.Target_ = RequestLine.Target_;
  Out.Body_ = Request.Value_;
  Out.Wait_ = Request.Wait_;
  Out.NewConnection_ = storeprotocol::isWrite(Request.Operation_);
  return Out;
}

StoreResponse responseFrom(const StoreRequest &Request,
                           const HttpClientAnswer &Answer) {
  if (!Answer.Answered_)
    return storeprotocol::unansweredResponse(Request, Answer.MayHaveSent_);
  storeprotocol::HttpResponse HttpResponse;
  HttpResponse.Status_ = Answer.Status_;
  boost::conversion::try_lexical_convert(Answer.CapturedValue_,
                                         HttpResponse.ConsulIndex_);
  HttpResponse.Body_ = Answer.Body_;
  return storeprotocol::readResponse(Request, HttpResponse);
}

} // namespace

ports::Store makeStoreClient(boost::asio::io_context &Io,
                             HttpClientSettings Settings) {
  Settings.CapturedHeader_ = IndexHeader;
  const auto Client = std::make_shared<HttpClient>(Io, Settings);
  return {[Client, &Io](const StoreRequest &Request, StoreHandler Handler) {
    if (Request.Value_.size() > MaxStoreValueBytes) {
      StoreResponse TooLarge;
      TooLarge.Code_ = model::ResultCode::StoreAnswerInvalid;
      boost::asio::post(Io, [TooLarge, Handler] { Handler(TooLarge); });
      return;
    }
    Client->call(callFor(Request), [Request, Handler = std::move(Handler)](
                                       const HttpClientAnswer &Answer) {
      Handler(responseFrom(Request, Answer));
    });
  }};
}

} // namespace cumingauge::adapters
