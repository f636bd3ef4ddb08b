#include "table.h"
#include <algorithm>
#include <ostream>

namespace cumingauge::ctl {

namespace {

using Row = std::vector<std::string>;

std::vector<std::size_t> columnWidths(const Table &Value) {
  std::vector<std::size_t> Widths(Value.Headers_.size());
  const auto Widen = [&](const Row &Cells) {
    for (std::size_t I = 0; I < Cells.size() && I < Widths.size(); ++I)
      Widths[I] = std::max(Widths[I], Cells[I].size());
  };
  Widen(Value.Headers_);
  for (const Row &Cells : Value.Rows_)
    Widen(Cells);
  return Widths;
}

void printRow(std::ostream &Out, const Row &Cells,
              const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t I = 0; I < Cells.size() && I < Widths.size(); ++I) {
    Line += Cells[I];
    Line.append(Widths[I] - Cells[I].size() + 2, ' ');
  }
  Line.erase(Line.find_last_not_of(' ') + 1);
  Out << Line << "\n";
}

} // namespace

void print(std::ostream &Out, const Table &Value) {
  const std::vector<std::size_t> Widths = columnWidths(Value);
  printRow(Out, Value.Headers_, Widths);
  for (const Row &Cells : Value.Rows_)
    printRow(Out, Cells, Widths);
}

} // namespace cumingauge::ctl
