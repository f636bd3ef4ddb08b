#include "blockingstoreclient.h"
#include "adapters/storeclient.h"
#include <boost/asio/io_context.hpp>
#include <optional>

namespace cumingauge::ctl {

struct BlockingStoreClientState {
  explicit BlockingStoreClientState(
      const adapters::HttpClientSettings &Settings)
      : Store_(adapters::makeStoreClient(Io_, Settings)) {}

  boost::asio::io_context Io_{1};
  ports::Store Store_;
};

namespace {

adapters::HttpClientSettings clientSettings(const CtlSettings &Settings) {
  adapters::HttpClientSettings Out;
  Out.Host_ = Settings.Store_.Host_;
  Out.Port_ = Settings.Store_.Port_;
  return Out;
}

} // namespace

BlockingStoreClient::BlockingStoreClient(const CtlSettings &Settings)
    : State_(std::make_unique<BlockingStoreClientState>(
          clientSettings(Settings))) {}

BlockingStoreClient::~BlockingStoreClient() = default;

ports::StoreResponse
BlockingStoreClient::call(const ports::StoreRequest &Request) {
  std::optional<ports::StoreResponse> Answer;
  State_->Store_.Execute_(Request, [&](const ports::StoreResponse &Response) {
    Answer = Response;
  });
  State_->Io_.restart();
  while (!Answer && State_->Io_.run_one() > 0) {
  }
  if (Answer)
    return *Answer;
  ports::StoreResponse Failed;
  Failed.Code_ = model::ResultCode::StoreTimeout;
  return Failed;
}

} // namespace cumingauge::ctl
