#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <csignal>

#include "base/base.h"

namespace ibisvalve {
namespace {

using std::chrono::seconds;

// Provides a pipe that is read only when a test calls Read().
class LineSinkTest : public testing::Test {
 protected:
  LineSinkTest() { EXPECT_EQ(pipe2(ends_.data(), O_CLOEXEC), 0); }
  ~LineSinkTest() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string Read(size_t max_bytes) {
    std::string bytes(max_bytes, '\0');
    bytes.resize(static_cast<size_t>(read(ends_[0], bytes.data(), max_bytes)));
    return bytes;
  }

  std::array<int, 2> ends_{};
  Time now_{seconds(100)};
};

TEST_F(LineSinkTest, DropsLinesWhenPipeIsFull) {
  LineSink sink(ends_[1], 1'000'000);
  const std::string line(1000, 'x');
  size_t written = 0;
  for (int i = 0; i < 1000; ++i) {
    written += sink.Write(line + "\n", false, now_) ? 1 : 0;
  }
  EXPECT_LT(written, 1000U);
  EXPECT_EQ(sink.TakeDropped(), 1000 - written);
  EXPECT_EQ(sink.TakeDropped(), 0U);
  Read(1 << 20);
  EXPECT_TRUE(sink.Write("again\n", false, now_));
  EXPECT_EQ(Read(100), "again\n") << "a line was written incompletely";
}

TEST_F(LineSinkTest, LimitsRateWithHigherLimitForUrgentLines) {
  LineSink sink(ends_[1], 10);
  for (int i = 0; i < 100; ++i) {
    sink.Write("flood\n", false, now_);
  }
  EXPECT_EQ(sink.dropped(), 90U);
  EXPECT_TRUE(sink.Write("failure\n", true, now_));
  EXPECT_FALSE(sink.Write("flood\n", false, now_));
  EXPECT_TRUE(sink.Write("next second\n", false, now_ + seconds(1)));
}

TEST_F(LineSinkTest, DropsLinesWhenReaderIsClosed) {
  signal(SIGPIPE, SIG_IGN);  // NOLINT: all processes of the system ignore it
  close(ends_[0]);
  LineSink sink(ends_[1], 10);
  EXPECT_FALSE(sink.Write("to nobody\n", false, now_));
  EXPECT_EQ(sink.dropped(), 1U);
  EXPECT_EQ(pipe2(ends_.data(), O_CLOEXEC), 0);
}

}  // namespace
}  // namespace ibisvalve
