#include "adapters/loadreporttext.h"
#include <limits>
#include <nlohmann/json.hpp>

namespace cumingauge::adapters {

namespace {

using Json = nlohmann::json;

/// Reads the members while parsing, without building a document, since a report
/// may come with every answer.
class ReportHandler : public nlohmann::json_sax<Json> {
public:
  const model::LoadReport &report() const { return Report_; }

  bool key(string_t &Name) override {
    Key_.swap(Name);
    return true;
  }

  bool number_unsigned(number_unsigned_t Value) override {
    if (Depth_ != 1)
      return Depth_ > 1;
    if (Value > std::numeric_limits<unsigned>::max())
      return false;
    const auto Number = static_cast<unsigned>(Value);
    if (Key_ == "inFlight")
      Report_.InFlight_ = Number;
    else if (Key_ == "queued")
      Report_.Queued_ = Number;
    else if (Key_ == "slots")
      Report_.Slots_ = Number;
    else if (Key_ == "ageMs")
      Report_.Age_ = model::milliseconds(Number);
    return Key_ != "draining" && Key_ != "cold";
  }

  bool boolean(bool Value) override {
    if (Depth_ != 1)
      return Depth_ > 1;
    if (Key_ == "draining")
      Report_.Draining_ = Value;
    else if (Key_ == "cold")
      Report_.Cold_ = Value;
    return !isNumberKey();
  }

  bool null() override { return isInUnknownMember(); }
  bool number_integer(number_integer_t) override { return isInUnknownMember(); }
  bool number_float(number_float_t, const string_t &) override {
    return isInUnknownMember();
  }
  bool string(string_t &) override { return isInUnknownMember(); }
  bool binary(binary_t &) override { return false; }
  bool start_object(std::size_t) override {
    const bool Expected = Depth_ == 0 || isInUnknownMember();
    ++Depth_;
    return Expected;
  }
  bool end_object() override {
    --Depth_;
    return true;
  }
  bool start_array(std::size_t) override {
    const bool Expected = isInUnknownMember();
    ++Depth_;
    return Expected;
  }
  bool end_array() override {
    --Depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  bool isNumberKey() const {
    return Key_ == "inFlight" || Key_ == "queued" || Key_ == "slots" ||
           Key_ == "ageMs";
  }

  /// Whether the value belongs to a member that is ignored.
  bool isInUnknownMember() const {
    return Depth_ > 1 || (Depth_ == 1 && !isNumberKey() && Key_ != "draining" &&
                          Key_ != "cold");
  }

  model::LoadReport Report_;
  std::string Key_;
  unsigned Depth_ = 0;
};

} // namespace

std::optional<model::LoadReport> parseLoadReport(std::string_view Text) {
  ReportHandler Handler;
  if (!Json::sax_parse(Text, &Handler))
    return std::nullopt;
  return Handler.report();
}

} // namespace cumingauge::adapters
