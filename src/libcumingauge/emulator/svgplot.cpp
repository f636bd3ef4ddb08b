#include "emulator/svgplot.h"
#include <algorithm>
#include <cmath>
#include <functional>
#include <sstream>

namespace cumingauge::emulator {

namespace {

// Layout of the picture in pixels.
constexpr double Width = 1100;
constexpr double LeftMargin = 80;
constexpr double LegendWidth = 180; ///< right of the panels
constexpr double MarkLabelHeight = 110;
constexpr double TimePanelTop = 50 + MarkLabelHeight;
constexpr double TimePanelHeight = 300;
constexpr double CallsPanelTop = TimePanelTop + TimePanelHeight + 30;
constexpr double CallsPanelHeight = 120;
constexpr double CurvePanelTop = CallsPanelTop + CallsPanelHeight + 90;
constexpr double CurvePanelHeight = 320;
constexpr double Height = CurvePanelTop + CurvePanelHeight + 70;
constexpr double PlotWidth = Width - LeftMargin - LegendWidth;

const std::vector<std::string> Colours = {"#1f77b4", "#d62728", "#2ca02c",
                                          "#ff7f0e", "#9467bd", "#8c564b",
                                          "#17becf", "#7f7f7f"};

struct Point {
  double X_ = 0;
  double Y_ = 0;
};

std::string escape(const std::string &Text) {
  std::string Out;
  for (const char C : Text)
    Out += C == '<' ? "&lt;" : C == '&' ? "&amp;" : std::string(1, C);
  return Out;
}

std::string number(double Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

void text(std::ostream &Out, Point At, const std::string &Text,
          const std::string &Attributes = "") {
  Out << "<text x='" << At.X_ << "' y='" << At.Y_ << "' " << Attributes << ">"
      << escape(Text) << "</text>\n";
}

void line(std::ostream &Out, Point From, Point To, const std::string &Style) {
  Out << "<line x1='" << From.X_ << "' y1='" << From.Y_ << "' x2='" << To.X_
      << "' y2='" << To.Y_ << "' style='" << Style << "'/>\n";
}

void polyline(std::ostream &Out, const std::vector<Point> &Points,
              const std::string &Colour) {
  Out << "<polyline fill='none' stroke-width='1.6' stroke='" << Colour
      << "' points='";
  for (const Point &P : Points)
    Out << P.X_ << "," << P.Y_ << " ";
  Out << "'/>\n";
}

void legend(std::ostream &Out, double Top, std::size_t Index,
            const std::string &Name) {
  const double Y = Top + 14 + 18 * static_cast<double>(Index);
  const std::string &Colour = Colours[Index % Colours.size()];
  line(Out, {Width - LegendWidth + 15, Y - 4},
       {Width - LegendWidth + 40, Y - 4}, "stroke-width:3;stroke:" + Colour);
  text(Out, {Width - LegendWidth + 46, Y}, Name);
}

/// A logarithmic latency axis that spans whole decades of ms.
struct LogAxis {
  double Top_ = 0;
  double Height_ = 0;
  double LowDecade_ = -1;
  double HighDecade_ = 1;

  /// Returns the vertical position of a latency.
  double y(double Ms) const {
    const double Decade = std::log10(std::max(Ms, std::pow(10, LowDecade_)));
    return Top_ + Height_ * (HighDecade_ - Decade) / (HighDecade_ - LowDecade_);
  }
};

LogAxis makeAxis(double Top, double Height, double MinMs, double MaxMs) {
  LogAxis Out{Top, Height, -1, 1};
  if (MaxMs > 0 && MinMs > 0) {
    Out.LowDecade_ = std::floor(std::log10(MinMs));
    Out.HighDecade_ =
        std::max(Out.LowDecade_ + 1, std::ceil(std::log10(MaxMs)));
  }
  return Out;
}

void drawAxis(std::ostream &Out, const LogAxis &Axis) {
  for (double D = Axis.LowDecade_; D <= Axis.HighDecade_; ++D) {
    const double Y = Axis.y(std::pow(10, D));
    line(Out, {LeftMargin, Y}, {LeftMargin + PlotWidth, Y}, "stroke:#ccc");
    text(Out, {LeftMargin - 8, Y + 4}, number(std::pow(10, D)),
         "text-anchor='end'");
    for (int Step = 2; D < Axis.HighDecade_ && Step < 10; ++Step) {
      const double Minor = Axis.y(Step * std::pow(10, D));
      line(Out, {LeftMargin, Minor}, {LeftMargin + PlotWidth, Minor},
           "stroke:#f0f0f0");
    }
  }
  const double Middle = Axis.Top_ + Axis.Height_ / 2;
  text(Out, {22, Middle}, "latency from intended start (ms)",
       "text-anchor='middle' transform='rotate(-90 22 " + number(Middle) +
           ")'");
}

/// Returns the horizontal position of a time of the run.
double timeX(const LoadResult &Result, double Ms) {
  return LeftMargin +
         PlotWidth * Ms /
             std::max(1.0, static_cast<double>(Result.DurationMs_));
}

void drawTimeTicks(std::ostream &Out, const LoadResult &Result, double Top,
                   double Height) {
  const double Seconds = static_cast<double>(Result.DurationMs_) / 1000;
  const double Step = std::max(1.0, std::ceil(Seconds / 15));
  for (double S = 0; S <= Seconds; S += Step) {
    const double X = timeX(Result, S * 1000);
    line(Out, {X, Top + Height}, {X, Top + Height + 5}, "stroke:#333");
    text(Out, {X, Top + Height + 18}, number(S), "text-anchor='middle'");
  }
  text(Out, {LeftMargin + PlotWidth / 2, Top + Height + 38},
       "time since the start of the run (s)", "text-anchor='middle'");
}

void drawMarks(std::ostream &Out, const LoadResult &Result) {
  for (const TimeMark &Mark : Result.Marks_) {
    const double X = timeX(Result, static_cast<double>(Mark.AtMs_));
    line(Out, {X, TimePanelTop}, {X, CallsPanelTop + CallsPanelHeight},
         "stroke:#555;stroke-dasharray:4 3");
    text(Out, {X + 3, TimePanelTop - 6}, Mark.Label_,
         "font-size='11' transform='rotate(-35 " + number(X + 3) + " " +
             number(TimePanelTop - 6) + ")'");
  }
}

void drawLatencyOverTime(std::ostream &Out, const LoadResult &Result) {
  double Min = 0;
  double Max = 0;
  for (const TimelineBucket &Bucket : Result.Timeline_) {
    if (Bucket.P50Ms_ > 0 && (Min == 0 || Bucket.P50Ms_ < Min))
      Min = Bucket.P50Ms_;
    Max = std::max(Max, Bucket.MaxMs_);
  }
  const LogAxis Axis = makeAxis(TimePanelTop, TimePanelHeight, Min, Max);
  drawAxis(Out, Axis);
  const std::vector<std::pair<std::string, double TimelineBucket::*>> Series = {
      {"p50", &TimelineBucket::P50Ms_},
      {"p99", &TimelineBucket::P99Ms_},
      {"slowest", &TimelineBucket::MaxMs_}};
  for (std::size_t I = 0; I < Series.size(); ++I) {
    std::vector<Point> Points;
    for (const TimelineBucket &Bucket : Result.Timeline_)
      if (Bucket.Answered_ > 0)
        Points.push_back(
            {timeX(Result, static_cast<double>(Bucket.AtMs_) +
                               static_cast<double>(Result.BucketMs_) / 2),
             Axis.y(Bucket.*Series[I].second)});
    polyline(Out, Points, Colours[I]);
    legend(Out, TimePanelTop, I, Series[I].first);
  }
  drawMarks(Out, Result);
}

void drawCallsOverTime(std::ostream &Out, const LoadResult &Result) {
  const double PerSecond =
      1000 / std::max(1.0, static_cast<double>(Result.BucketMs_));
  double Max = 1;
  for (const TimelineBucket &Bucket : Result.Timeline_)
    Max = std::max(Max, static_cast<double>(Bucket.Calls_) * PerSecond);
  const double Bottom = CallsPanelTop + CallsPanelHeight;
  const double BarWidth =
      PlotWidth /
      static_cast<double>(std::max<std::size_t>(1, Result.Timeline_.size()));
  for (const TimelineBucket &Bucket : Result.Timeline_) {
    const double X = timeX(Result, static_cast<double>(Bucket.AtMs_));
    const auto Bar = [&](std::uint64_t From, std::uint64_t To,
                         const char *Colour) {
      const double Scale = CallsPanelHeight * PerSecond / Max;
      Out << "<rect x='" << X << "' y='"
          << Bottom - Scale * static_cast<double>(To) << "' width='" << BarWidth
          << "' height='" << Scale * static_cast<double>(To - From)
          << "' fill='" << Colour << "'/>\n";
    };
    Bar(0, Bucket.Answered_, "#a8c8e4");
    Bar(Bucket.Answered_, Bucket.Calls_, "#d62728");
  }
  line(Out, {LeftMargin, Bottom}, {LeftMargin + PlotWidth, Bottom},
       "stroke:#333");
  text(Out, {LeftMargin - 8, CallsPanelTop + 8}, number(std::round(Max)),
       "text-anchor='end'");
  text(Out, {LeftMargin - 8, Bottom}, "0", "text-anchor='end'");
  const double Middle = CallsPanelTop + CallsPanelHeight / 2;
  text(Out, {22, Middle}, "calls per second",
       "text-anchor='middle' transform='rotate(-90 22 " + number(Middle) +
           ")'");
  text(Out, {Width - LegendWidth + 15, CallsPanelTop + 14},
       "blue: complete answer");
  text(Out, {Width - LegendWidth + 15, CallsPanelTop + 32},
       "red: any other outcome");
  drawTimeTicks(Out, Result, CallsPanelTop, CallsPanelHeight);
}

void drawCurves(std::ostream &Out, const LoadResult &Result) {
  constexpr double Decades = 5;
  const auto X = [](double Quantile) {
    const double Nines = -std::log10(std::max(1 - Quantile, 1e-5));
    return LeftMargin + PlotWidth * Nines / Decades;
  };
  double Min = 0;
  double Max = 0;
  for (const RouteResult &Route : Result.Routes_)
    for (const CurvePoint &At : Route.Curve_) {
      Min = Min == 0 ? At.Ms_ : std::min(Min, At.Ms_);
      Max = std::max(Max, At.Ms_);
    }
  const LogAxis Axis = makeAxis(CurvePanelTop, CurvePanelHeight, Min, Max);
  drawAxis(Out, Axis);
  const double Bottom = CurvePanelTop + CurvePanelHeight;
  for (const auto &[Quantile, Label] :
       std::vector<std::pair<double, std::string>>{{0.0, "0 %"},
                                                   {0.5, "50 %"},
                                                   {0.9, "90 %"},
                                                   {0.99, "99 %"},
                                                   {0.999, "99.9 %"},
                                                   {0.9999, "99.99 %"},
                                                   {0.99999, "99.999 %"}}) {
    line(Out, {X(Quantile), CurvePanelTop}, {X(Quantile), Bottom},
         "stroke:#ddd");
    text(Out, {X(Quantile), Bottom + 18}, Label, "text-anchor='middle'");
  }
  text(Out, {LeftMargin + PlotWidth / 2, Bottom + 40},
       "share of answered calls at or below the latency",
       "text-anchor='middle'");
  std::size_t Index = 0;
  for (const RouteResult &Route : Result.Routes_) {
    if (Route.Curve_.empty())
      continue;
    std::vector<Point> Points;
    for (const CurvePoint &At : Route.Curve_)
      Points.push_back({X(At.Quantile_), Axis.y(At.Ms_)});
    polyline(Out, Points, Colours[Index % Colours.size()]);
    legend(Out, CurvePanelTop, Index++, Route.Route_);
  }
}

} // namespace

std::string plotResult(const LoadResult &Result) {
  std::ostringstream Out;
  Out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width
      << "' height='" << Height << "' viewBox='0 0 " << Width << " " << Height
      << "' font-family='sans-serif' font-size='13'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  std::ostringstream Title;
  Title << Result.Overall_.Calls_ << " calls, " << Result.Overall_.Answered_
        << " answered; p50 " << number(Result.Overall_.P50Ms_) << " ms, p99 "
        << number(Result.Overall_.P99Ms_) << " ms, p99.9 "
        << number(Result.Overall_.P999Ms_) << " ms";
  text(Out, {LeftMargin, 28}, Title.str(), "font-size='17'");
  drawLatencyOverTime(Out, Result);
  drawCallsOverTime(Out, Result);
  text(Out, {LeftMargin, CurvePanelTop - 14}, "Latency by route",
       "font-size='15'");
  drawCurves(Out, Result);
  Out << "</svg>\n";
  return Out.str();
}

} // namespace cumingauge::emulator
