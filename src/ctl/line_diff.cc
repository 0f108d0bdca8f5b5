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
    while (head_ < shorter && before_[head_] == after_[head_]) {
      ++head_;
    }
    while (tail_ < shorter - head_ && before_[before_.size() - 1 - tail_] ==
                                          after_[after_.size() - 1 - tail_]) {
      ++tail_;
    }
    rows_ = before_.size() - head_ - tail_;
    columns_ = after_.size() - head_ - tail_;
  }

  std::string Render() {
    FillTable();
    size_t row = 0;
    size_t column = 0;
    while (row < rows_ || column < columns_) {
      Step(row, column);
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
    common_.assign((rows_ + 1) * (columns_ + 1), 0);
    for (size_t row = rows_; row-- > 0;) {
      for (size_t column = columns_; column-- > 0;) {
        Cell(row, column) = Same(row, column) ? Cell(row + 1, column + 1) + 1
                                              : std::max(Cell(row + 1, column),
                                                         Cell(row, column + 1));
      }
    }
  }

  void Step(size_t& row, size_t& column) {
    const bool table = !common_.empty();
    if (table && row < rows_ && column < columns_ && Same(row, column)) {
      ++row;
      ++column;
      return;
    }
    const bool remove = column == columns_ ||
                        (row < rows_ && (!table || Cell(row + 1, column) >=
                                                       Cell(row, column + 1)));
    if (remove) {
      out_ << '-' << head_ + row + 1 << ": " << before_[head_ + row] << '\n';
      ++row;
    } else {
      out_ << '+' << head_ + column + 1 << ": " << after_[head_ + column]
           << '\n';
      ++column;
    }
  }

  bool Same(size_t row, size_t column) const {
    return before_[head_ + row] == after_[head_ + column];
  }
  uint32_t& Cell(size_t row, size_t column) {
    return common_[row * (columns_ + 1) + column];
  }

  std::vector<std::string> before_;
  std::vector<std::string> after_;
  size_t head_ = 0;
  size_t tail_ = 0;
  size_t rows_ = 0;
  size_t columns_ = 0;
  std::vector<uint32_t> common_;
  std::ostringstream out_;
};

}  // namespace

std::string DiffLines(const std::string& before, const std::string& after) {
  return LineDiff(SplitLines(before), SplitLines(after)).Render();
}

}  // namespace ibisvalve::ctl
