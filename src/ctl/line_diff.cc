#include "ctl/line_diff.h"

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <vector>

namespace ibisvalve::ctl {
namespace {

// Maximum size of the table of common subsequences, which grows with the
// product of the line counts. Beyond it, all differing lines are shown as one
// removed and one added block.
constexpr size_t kMaxTableCells = 16 << 20;

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Line diff by longest common subsequence, after stripping the common prefix
// and suffix of both texts.
class LineDiff {
 public:
  LineDiff(std::vector<std::string> before, std::vector<std::string> after)
      : before_(std::move(before)), after_(std::move(after)) {
    const size_t shorter = std::min(before_.size(), after_.size());
    while (prefix_ < shorter && before_[prefix_] == after_[prefix_]) {
      ++prefix_;
    }
    while (suffix_ < shorter - prefix_ &&
           before_[before_.size() - 1 - suffix_] ==
               after_[after_.size() - 1 - suffix_]) {
      ++suffix_;
    }
    rows_ = before_.size() - prefix_ - suffix_;
    columns_ = after_.size() - prefix_ - suffix_;
  }

  std::string Render() {
    FillTable();
    size_t row = 0;
    size_t column = 0;
    while (row < rows_ || column < columns_) {
      Advance(row, column);
    }
    return out_.str();
  }

 private:
  // Sets Cell(row, column) to the length of the longest common subsequence of
  // the lines from `row` in before_ and from `column` in after_ on, counted
  // after the common prefix.
  void FillTable() {
    if ((rows_ + 1) * (columns_ + 1) > kMaxTableCells) {
      return;
    }
    lcs_lengths_.assign((rows_ + 1) * (columns_ + 1), 0);
    for (size_t row = rows_; row-- > 0;) {
      for (size_t column = columns_; column-- > 0;) {
        Cell(row, column) =
            LinesEqual(row, column)
                ? Cell(row + 1, column + 1) + 1
                : std::max(Cell(row + 1, column), Cell(row, column + 1));
      }
    }
  }

  void Advance(size_t& row, size_t& column) {
    const bool table = !lcs_lengths_.empty();
    if (table && row < rows_ && column < columns_ && LinesEqual(row, column)) {
      ++row;
      ++column;
      return;
    }
    const bool remove = column == columns_ ||
                        (row < rows_ && (!table || Cell(row + 1, column) >=
                                                       Cell(row, column + 1)));
    if (remove) {
      out_ << '-' << prefix_ + row + 1 << ": " << before_[prefix_ + row]
           << '\n';
      ++row;
    } else {
      out_ << '+' << prefix_ + column + 1 << ": " << after_[prefix_ + column]
           << '\n';
      ++column;
    }
  }

  bool LinesEqual(size_t row, size_t column) const {
    return before_[prefix_ + row] == after_[prefix_ + column];
  }
  uint32_t& Cell(size_t row, size_t column) {
    return lcs_lengths_[row * (columns_ + 1) + column];
  }

  std::vector<std::string> before_;
  std::vector<std::string> after_;
  size_t prefix_ = 0;
  size_t suffix_ = 0;
  size_t rows_ = 0;
  size_t columns_ = 0;
  std::vector<uint32_t> lcs_lengths_;
  std::ostringstream out_;
};

}  // namespace

std::string DiffLines(const std::string& before, const std::string& after) {
  return LineDiff(SplitLines(before), SplitLines(after)).Render();
}

}  // namespace ibisvalve::ctl
