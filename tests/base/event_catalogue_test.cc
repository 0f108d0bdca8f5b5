#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace ibisvalve {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream stream(path);
  EXPECT_TRUE(stream) << path;
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

// Adds "number severity name" of each match of `pattern` to `events` and its
// number to `numbers`. Fails the test if a number occurs twice.
void CollectEvents(const std::string& text,
                   const std::regex& pattern,
                   std::set<std::string>& events,
                   std::set<std::string>& numbers) {
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
       match != end; ++match) {
    std::string severity = (*match)[2].str();
    severity[0] = static_cast<char>(std::tolower(severity[0]));
    EXPECT_TRUE(numbers.insert((*match)[1].str()).second)
        << "IV" << (*match)[1] << " is defined twice";
    events.insert((*match)[1].str() + " " + severity + " " + (*match)[3].str());
  }
}

TEST(EventCatalogueTest, CodeAndDocsAgree) {
  const std::filesystem::path source(IBIS_SOURCE_DIR);
  std::set<std::string> in_code;
  std::set<std::string> code_numbers;
  const std::regex code_pattern(
      R"(EventCode\s+k\w+\s*\{\s*(\d+)\s*,\s*Severity::k(\w+)\s*,\s*"([^"]+)\")");
  for (const char* folder : {"src", "platform"}) {
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(source / folder)) {
      if (entry.path().filename() == "events.h") {
        CollectEvents(ReadFile(entry.path()), code_pattern, in_code,
                      code_numbers);
      }
    }
  }
  std::set<std::string> in_docs;
  std::set<std::string> doc_numbers;
  CollectEvents(ReadFile(source / "docs" / "EVENTS.md"),
                std::regex(R"(\| IV(\d+) \| (\w+) \| ([\w-]+) \|)"), in_docs,
                doc_numbers);
  EXPECT_EQ(in_code, in_docs);
  EXPECT_FALSE(in_code.empty());
}

}  // namespace
}  // namespace ibisvalve
