#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <string>

#include "config/config.h"
#include "config/source_file.h"

namespace ibisvalve::config {
namespace {

// Parses `text` in both formats. The test fails if a parser throws anything but
// InvalidInput, or if a finding lacks its place, problem or advice.
void ParseBoth(const std::string& text) {
  const auto check = [](const auto& parse) {
    try {
      parse();
    } catch (const InvalidInput& error) {
      for (const Finding& finding : error.findings()) {
        ASSERT_EQ(finding.place.file, "f");
        ASSERT_GE(finding.place.line, 1);
        ASSERT_GE(finding.place.column, 1);
        ASSERT_FALSE(finding.problem.empty());
        ASSERT_FALSE(finding.advice.empty());
      }
    }
  };
  check([&] { ParseFleet(text, "f"); });
  check([&] { ParseSettings(text, "f"); });
}

RC_GTEST_PROP(ConfigFuzzTest, RandomBytes, (const std::string& bytes)) {
  ParseBoth(bytes);
}

// Most strings of random bytes contain little YAML syntax, so this property
// draws from the characters with a meaning in YAML.
RC_GTEST_PROP(ConfigFuzzTest, RandomYaml, ()) {
  ParseBoth(*rc::gen::container<std::string>(rc::gen::elementOf(
      std::string("abz019 \n\t:-[]{},#&*!|>'\"%@`?~\\/.\xc3\xa9\x80"))));
}

// Returns `text` with one to four random edits: a byte replaced, or a piece
// erased or copied to another place.
std::string Mutate(std::string text, std::mt19937& random) {
  const auto place = [&] { return random() % (text.size() + 1); };
  for (unsigned changes = 1 + random() % 4; changes > 0; --changes) {
    const size_t at = place();
    const size_t length = random() % 12;
    switch (random() % 4) {
      case 0:
        text.replace(at, std::min<size_t>(1, text.size() - at), 1,
                     ":-[]{}\n \t&*!#%'\"0\x80"[random() % 19]);
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(place(), text.substr(at, length));
        break;
      default:
        text.insert(place(), text.substr(at, 8 * length));
        break;
    }
  }
  return text;
}

TEST(ConfigFuzzTest, MutatedExamples) {
  std::mt19937 random(20'260'104);  // NOLINT: fixed seed
  for (const char* name : {"tavua.yaml", "consorcio.yaml", "settings-node.yaml",
                           "settings-keeper.yaml"}) {
    const std::string text = ReadSourceFile(std::string("examples/") + name);
    for (int i = 0; i < 400; ++i) {
      const std::string mutated = Mutate(text, random);
      ParseBoth(mutated);
      ASSERT_FALSE(HasFatalFailure()) << mutated;
    }
  }
}

TEST(ConfigFuzzTest, DeepAndRecursiveDocuments) {
  ParseBoth(std::string(100'000, '['));
  ParseBoth(std::string(100'000, '{'));
  ParseBoth("a: &a [*a]\n");
  ParseBoth("ibisvalve: &x {name: *x, regions: *x, services: *x}\n");
  // "Billion laughs": each anchor refers to the previous one twice, so that
  // expanding the aliases would take exponential memory.
  std::string laughs = "a0: &a0 [x, x]\n";
  for (int i = 1; i < 40; ++i) {
    const std::string name = std::to_string(i);
    const std::string before = std::to_string(i - 1);
    for (const std::string& part :
         {"a" + name, ": &a" + name, " [*a" + before, ", *a" + before}) {
      laughs += part;
    }
    laughs += "]\n";
  }
  ParseBoth(laughs + "services: *a39\n");
}

}  // namespace
}  // namespace ibisvalve::config
