#include "line_diff.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace sycamorehinge {

namespace {

using lines = std::vector<std::string_view>;

struct marked_line {
  char mark = ' ';
  std::string_view text;
};

// Above this product of line counts the changed middle is shown as replaced: the table of common
// lengths would take more than 100 MB.
constexpr std::size_t kMaxTableCells = 25'000'000;
constexpr std::size_t kContextLines = 3;

lines SplitLines(std::string_view text) {
  lines split;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    split.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return split;
}

void Append(std::vector<marked_line>& out, char mark, std::span<const std::string_view> texts) {
  for (const std::string_view text : texts) out.push_back({mark, text});
}

// Longest common subsequence of the two spans.
void DiffMiddle(std::span<const std::string_view> before, std::span<const std::string_view> after,
                std::vector<marked_line>& out) {
  if (before.size() * after.size() > kMaxTableCells) {
    Append(out, '-', before);
    Append(out, '+', after);
    return;
  }
  const std::size_t width = after.size() + 1;
  std::vector<std::uint32_t> common((before.size() + 1) * width, 0);
  for (std::size_t i = before.size(); i-- > 0;) {
    for (std::size_t j = after.size(); j-- > 0;) {
      const std::size_t cell = i * width + j;
      common[cell] = before[i] == after[j] ? common[cell + width + 1] + 1
                                           : std::max(common[cell + width], common[cell + 1]);
    }
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < before.size() && j < after.size()) {
    const std::size_t cell = i * width + j;
    if (before[i] == after[j]) {
      out.push_back({' ', before[i++]});
      ++j;
    } else if (common[cell + width] >= common[cell + 1]) {
      out.push_back({'-', before[i++]});
    } else {
      out.push_back({'+', after[j++]});
    }
  }
  Append(out, '-', before.subspan(i));
  Append(out, '+', after.subspan(j));
}

std::string Render(std::span<const marked_line> marked) {
  std::vector<bool> shown(marked.size(), false);
  for (std::size_t i = 0; i < marked.size(); ++i) {
    if (marked[i].mark == ' ') continue;
    const std::size_t first = i < kContextLines ? 0 : i - kContextLines;
    const std::size_t end = std::min(i + kContextLines + 1, marked.size());
    for (std::size_t near = first; near < end; ++near) shown[near] = true;
  }
  std::string text;
  for (std::size_t i = 0; i < marked.size(); ++i) {
    if (shown[i]) {
      text += marked[i].mark + std::string(marked[i].text) + "\n";
    } else if (i == 0 || shown[i - 1]) {
      text += "...\n";
    }
  }
  return text;
}

}  // namespace

std::string LineDiff(std::string_view before, std::string_view after) {
  if (before == after) return {};
  const lines old_lines = SplitLines(before);
  const lines new_lines = SplitLines(after);
  const std::size_t shorter = std::min(old_lines.size(), new_lines.size());
  std::size_t head = 0;
  while (head < shorter && old_lines[head] == new_lines[head]) ++head;
  std::size_t tail = 0;
  while (tail < shorter - head &&
         old_lines[old_lines.size() - 1 - tail] == new_lines[new_lines.size() - 1 - tail]) {
    ++tail;
  }
  const std::span<const std::string_view> old_span(old_lines);
  const std::span<const std::string_view> new_span(new_lines);
  std::vector<marked_line> marked;
  Append(marked, ' ', old_span.first(head));
  DiffMiddle(old_span.subspan(head, old_lines.size() - head - tail),
             new_span.subspan(head, new_lines.size() - head - tail), marked);
  Append(marked, ' ', old_span.last(tail));
  return Render(marked);
}

}  // namespace sycamorehinge
