#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

namespace ibisvalve::config {

/// Returns the content of the file `name`, relative to the source directory.
inline std::string ReadSourceFile(const std::string& name) {
  std::ifstream stream(std::string(IBIS_SOURCE_DIR) + "/" + name);
  EXPECT_TRUE(stream) << name;
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace ibisvalve::config
