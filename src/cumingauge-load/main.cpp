#include "adapters/log.h"
#include "adapters/programmain.h"
#include "emulator/svgplot.h"
#include "experiment.h"
#include <fstream>
#include <iostream>
#include <sstream>

using namespace cumingauge;

namespace {

constexpr const char *Usage =
    R"(Open-loop load, checked against what the backend servers really ran.

Usage:
  cumingauge-load run PLAN [--set PATH=VALUE]... [--check] [--out FILE]
  cumingauge-load plot RESULT --out FILE [--mark MARK]...
  cumingauge-load (-h | --help)
  cumingauge-load --version

Options:
  --set PATH=VALUE  Overrides one value of the plan, such as seed=7.
  --check           Only checks the plan.
  --out FILE        Where the JSON result or the SVG picture goes; a result
                    goes to standard output by default.
  --mark MARK       Adds a line to the picture, as MS=TEXT with milliseconds
                    since 1970.
  -h --help         Shows this text.
  --version         Shows the version.

A run exits with 0 whatever its verdict; the result tells it.
)";

int fail(const std::string &What) {
  std::cerr << What << "\n";
  return adapters::exitStatus(model::ResultCode::SettingsUnreadable);
}

bool writeTo(const docopt::value &File, const std::string &Content) {
  if (!File) {
    std::cout << Content << "\n";
    return true;
  }
  std::ofstream Out(File.asString());
  Out << Content << "\n";
  return Out.good();
}

int runPlan(const adapters::Arguments &Args, const emulator::LoadPlan &Plan) {
  adapters::startLog({}, "load");
  const emulator::LoadResult Result = load::runExperiment(Plan);
  return writeTo(Args.at("--out"), codec::toJson(Result).dump())
             ? 0
             : fail("result cannot be written");
}

/// Adds a mark given as "MS=TEXT". Returns false when the text has another
/// form.
bool addMark(const std::string &Text, emulator::LoadResult &Result) {
  const std::size_t Equals = Text.find('=');
  if (Equals == std::string::npos)
    return false;
  const std::uint64_t At = std::strtoull(Text.c_str(), nullptr, 10);
  const std::uint64_t SinceStart =
      At > Result.StartedAtMs_ ? At - Result.StartedAtMs_ : 0;
  Result.Marks_.push_back({SinceStart, Text.substr(Equals + 1)});
  return true;
}

int plot(const adapters::Arguments &Args) {
  std::ifstream In(Args.at("RESULT").asString());
  std::ostringstream Text;
  Text << In.rdbuf();
  emulator::LoadResult Result;
  model::Problems Found;
  codec::fromJson(codec::Json::parse(Text.str(), nullptr, false), "", Result,
                  Found);
  if (!In || !Found.empty())
    return fail("RESULT cannot be read as the JSON result of a run");
  for (const std::string &Mark : Args.at("--mark").asStringList())
    if (!addMark(Mark, Result))
      return fail("--mark must have the form MS=TEXT");
  return writeTo(Args.at("--out"), emulator::plotResult(Result))
             ? 0
             : fail("SVG picture cannot be written");
}

} // namespace

int main(int Argc, char **Argv) {
  adapters::Arguments Args = adapters::parseArguments(Usage, Argc, Argv);
  if (Args.at("plot").asBool())
    return plot(Args);
  Args["--settings"] = Args.at("PLAN");
  return adapters::runWithSettings<emulator::LoadPlan>(
      Args,
      [&](const emulator::LoadPlan &Plan) { return runPlan(Args, Plan); });
}
