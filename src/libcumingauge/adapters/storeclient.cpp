#include "adapters/storeclient.h"
#include "adapters/storeprotocol.h"
#include <boost/asio/post.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace cumingauge::adapters {

namespace {

using ports::StoreHandler;
using ports::StoreRequest;
using ports::StoreResponse;

constexpr const char *IndexField = "X-Consul-Index";

HttpClientCall callFor(const StoreRequest &Request) {
  const storeprotocol::HttpCall Target = storeprotocol::httpCallFor(Request);
  HttpClientCall Out;
  Out.Method_ = Target.Method_;
  Out.Target_ = Target.Target_;
  Out.Body_ = Request.Value_;
  Out.Wait_ = Request.Wait_;
  Out.NewConnection_ = storeprotocol::isWrite(Request.Operation_);
  return Out;
}

StoreResponse responseTo(const StoreRequest &Request,
                         const HttpClientAnswer &Answer) {
  if (!Answer.Answered_)
    return storeprotocol::withoutAnswer(Request, Answer.MayHaveSent_);
  storeprotocol::HttpAnswer Read;
  Read.Status_ = Answer.Status_;
  boost::conversion::try_lexical_convert(Answer.CapturedValue_,
                                         Read.ConsulIndex_);
  Read.Body_ = Answer.Body_;
  return storeprotocol::readAnswer(Request, Read);
}

} // namespace

ports::Store makeStoreClient(boost::asio::io_context &Io,
                             HttpClientSettings Settings) {
  Settings.CapturedHeader_ = IndexField;
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
      Handler(responseTo(Request, Answer));
    });
  }};
}

} // namespace cumingauge::adapters
