#include "http/frontend.h"
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <poll.h>
#include <thread>

namespace cumingauge::test {

using boost::asio::ip::tcp;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t BulkBytes = 268435456;
constexpr unsigned ServerSlots = 8;

model::Route route(const std::string &Name, bool Idempotent) {
  model::Route Out;
  Out.Name_ = Name;
  Out.PathPrefix_ = "/" + Name;
  Out.Service_ = "catalogue";
  Out.Idempotent_ = Idempotent;
  Out.Deadline_ = model::milliseconds(5000);
  return Out;
}

model::Preset samplePreset() {
  model::Preset Out;
  Out.Name_ = "ordinary";
  Out.Pick_ = model::PickMethod::RoundRobin;
  Out.Measuring_.ProbesPerSecond_ = 0;
  Out.Retry_.Ratio_ = 1;
  Out.Servers_.WarmConnections_ = 0;
  Out.Routes_ = {route("search", true), route("licence", false),
                 route("bulk", false)};
  Out.Routes_.back().MaxBodyBytes_ = BulkBytes;
  Out.Routes_.back().Deadline_ = model::milliseconds(60000);
  return Out;
}

} // namespace

FrontEnd::FrontEnd(const std::vector<Target> &Servers,
                   adapters::HttpLimits Limits, unsigned Threads,
                   const traffic::Dialect &Dialect, bool HasView)
    : Servers_(Servers), Preset_(samplePreset()) {
  adapters::TrafficSettings Settings;
  Settings.Threads_ = Threads;
  Settings.Limits_ = Limits;
  Settings.Zone_ = "milano-a";
  Settings.Dialect_ = Dialect;
  adapters::HttpTraffic::Hooks Hooks;
  Hooks.IsFresh_ = [this](model::TimePoint) {
    if (Gate *Until = HeldUntil_.exchange(nullptr))
      Until->pass();
    return Fresh_.load();
  };
  Hooks.Configuration_ = [this] {
    using model::TimePoint;
    if (Gate *Until = RefusalHeldUntil_.exchange(nullptr))
      Until->pass();
    const bool Known = Fresh_ && ConfigurationKnown_;
    return model::ConfigurationKnowledge{
        AcceptedVersion_, TimePoint(), Known ? TimePoint::max() : TimePoint()};
  };
  Hooks.ReportObservation_ = [](const control::ServerObservation &) {};
  Hooks.RequestCredit_ = [this](std::uint64_t Request,
                                const std::string &Workspace,
                                model::TimePoint) {
    if (const auto Decision = Credit_.take(Request, Workspace))
      Traffic_->applyCredit(Request, *Decision);
  };
  Hooks.Events_ = [this](model::EventKind Kind, const std::string &,
                         std::uint64_t, model::ResultCode,
                         const std::string &) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Events_.push_back(Kind);
  };
  Traffic_ = adapters::startTraffic(Settings, std::move(Hooks));
  if (HasView)
    publish();
}

FrontEnd::~FrontEnd() { Traffic_->stop(); }

void FrontEnd::markLeaving(const std::set<std::string> &Names) {
  Leaving_ = Names;
  publish();
}

void FrontEnd::changePreset(const std::function<void(model::Preset &)> &Edit) {
  Edit(Preset_);
  publish();
}

std::vector<model::EventKind> FrontEnd::events() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Events_;
}

void FrontEnd::publish() {
  auto Config = std::make_shared<model::ConfigState>();
  Config->Version_ = ++Version_;
  AcceptedVersion_ = Version_;
  Config->PresetInForce_ = Preset_.Name_;
  Config->Presets_[Preset_.Name_] = Preset_;
  for (const Target &Server : Servers_)
    Config->Servers_[Server.Name_] = {
        Server.Name_, "vm-" + Server.Name_, "catalogue", "milano-a",
        "127.0.0.1",  Server.Port_,         ServerSlots};
  auto View = std::make_shared<model::ControlView>();
  View->Config_ = Config;
  View->LeavingServers_ = Leaving_;
  View->Confirmed_ = true;
  Traffic_->applyView(View);
}

RawCaller::RawCaller(std::uint16_t Port) : Socket_(Io_) {
  Socket_.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), Port));
  Socket_.set_option(tcp::no_delay(true));
}

void RawCaller::send(const std::string &Bytes) {
  boost::system::error_code Ignored; // read() reports a closed connection
  boost::asio::write(Socket_, boost::asio::buffer(Bytes), Ignored);
}

RawCaller::Answer RawCaller::read(bool IsHead) {
  Answer Out;
  boost::beast::flat_buffer Buffer;
  boost::asio::buffer_copy(Buffer.prepare(Buffer_.size()),
                           boost::asio::buffer(Buffer_));
  Buffer.commit(Buffer_.size());
  boost::system::error_code Error;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  Parser.skip(IsHead);
  http::read(Socket_, Buffer, Parser, Error);
  Buffer_ = boost::beast::buffers_to_string(Buffer.data());
  Out.Closed_ = !Parser.is_header_done();
  Out.Whole_ = !Error && Parser.is_done() && !Parser.need_eof();
  if (Out.Closed_)
    return Out;
  std::ostringstream Head;
  Head << Parser.get().base();
  Out.Head_ = Head.str();
  Out.Status_ = Parser.get().result_int();
  Out.Body_ = Parser.get().body();
  const auto Code = Parser.get()["X-Result-Code"];
  Out.ResultCode_ = std::string(Code.data(), Code.size());
  return Out;
}

bool RawCaller::awaitBytes() {
  constexpr int LongestWaitMs = 10000;
  pollfd Descriptor{Socket_.native_handle(), POLLIN, 0};
  return poll(&Descriptor, 1, LongestWaitMs) > 0;
}

RawCaller::Answer RawCaller::call(const std::string &Bytes, bool IsHead) {
  send(Bytes);
  return read(IsHead);
}

std::size_t RawCaller::discardAnswer(const std::function<void()> &OnProgress) {
  constexpr std::size_t ProgressBytes = 4194304;
  boost::beast::flat_buffer Buffer;
  boost::system::error_code Error;
  http::response_parser<http::buffer_body> Parser;
  Parser.body_limit(boost::none);
  http::read_header(Socket_, Buffer, Parser, Error);
  std::vector<char> Piece(65536);
  std::size_t Total = 0;
  std::size_t NextProgress = 0;
  while (!Error && !Parser.is_done()) {
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    http::read(Socket_, Buffer, Parser, Error);
    if (Error == http::error::need_buffer)
      Error = {};
    Total += Piece.size() - Parser.get().body().size;
    if (Total >= NextProgress) {
      NextProgress = Total + ProgressBytes;
      OnProgress();
    }
  }
  return Error ? 0 : Total;
}

void RawCaller::disconnect() {
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
}

bool RawCaller::isReset() {
  boost::system::error_code Error;
  boost::asio::write(Socket_, boost::asio::buffer("x", 1), Error);
  return Error.failed();
}

std::string request(const std::string &Method, const std::string &Target,
                    const std::string &Fields, const std::string &Body) {
  std::string Out =
      Method + " " + Target + " HTTP/1.1\r\nHost: cumingauge\r\n" + Fields;
  if (!Body.empty())
    Out += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Out + "\r\n" + Body;
}

bool eventually(const std::function<bool()> &Condition) {
  constexpr int MaxTries = 2000;
  for (int Try = 0; Try < MaxTries; ++Try) {
    if (Condition())
      return true;
    std::this_thread::sleep_for(model::milliseconds(5));
  }
  return false;
}

} // namespace cumingauge::test
