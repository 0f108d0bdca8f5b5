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

// Returns "Suite.Name" of every test in the .cc files under `folder`.
std::set<std::string> TestsIn(const std::filesystem::path& folder) {
  const std::regex pattern(
      R"((?:TEST|TEST_F|TEST_P|RC_GTEST_PROP)\(\s*(\w+),\s*(\w+))");
  std::set<std::string> names;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".cc") {
      continue;
    }
    const std::string text = ReadFile(entry.path());
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
         match != end; ++match) {
      names.insert((*match)[1].str() + "." + (*match)[2].str());
    }
  }
  return names;
}

TEST(ProofsTest, AllReferencedTestsExist) {
  const std::filesystem::path source(IBIS_SOURCE_DIR);
  const std::set<std::string> known = TestsIn(source / "tests");
  const std::string page = ReadFile(source / "docs" / "PROOFS.md");
  const std::regex pattern(R"(`(\w+\.\w+)`)");
  size_t named_tests = 0;
  for (std::sregex_iterator match(page.begin(), page.end(), pattern), end;
       match != end; ++match, ++named_tests) {
    EXPECT_TRUE(known.contains((*match)[1].str())) << (*match)[1];
  }
  EXPECT_GT(named_tests, 0U);
}

}  // namespace
}  // namespace ibisvalve
