#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "net/net.h"

namespace ibisvalve::net {
namespace {

using Kind = HttpReader::Kind;

// Feeds `bytes` in chunks of `piece` bytes. Returns how many bytes the first
// message consumed.
size_t FeedIn(HttpReader& reader, std::string bytes, size_t piece) {
  size_t used = 0;
  std::string waiting;
  while (!bytes.empty() && !reader.done()) {
    waiting += bytes.substr(0, piece);
    bytes.erase(0, piece);
    const size_t taken = reader.Feed(waiting);
    used += taken;
    waiting.erase(0, taken);
  }
  return used;
}

RC_GTEST_PROP(HttpReaderTest, ParsesRequestSplitAtAnyChunkSize, ()) {
  const auto piece = *rc::gen::inRange<size_t>(1, 80);
  HttpReader reader(Kind::kRequests, {});
  const std::string request =
      "POST /a?b=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2;ext\r\nde\r\n0\r\n\r\n";
  RC_ASSERT(FeedIn(reader, request + "GET /", piece) == request.size());
  RC_ASSERT(reader.done());
  RC_ASSERT(reader.head().method == "POST");
  RC_ASSERT(reader.head().target == "/a?b=1");
  RC_ASSERT(reader.TakeBody() == "abcde");
}

RC_GTEST_PROP(HttpReaderTest, ParsesOrRejectsRandomBytes, ()) {
  const auto bytes = *rc::gen::arbitrary<std::string>();
  for (const Kind kind : {Kind::kRequests, Kind::kResponses}) {
    HttpReader reader(kind, {});
    try {
      RC_ASSERT(reader.Feed(bytes) <= bytes.size());
    } catch (const HttpError& error) {
      RC_ASSERT(error.status() >= 400);
    }
  }
}

// A trailer must not pass for a header, such as one that names the caller.
TEST(HttpReaderTest, TrailersAreNotHeaders) {
  HttpReader reader(Kind::kRequests, {});
  reader.Feed(
      "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nCaller-Service: other\r\n\r\n");
  ASSERT_TRUE(reader.done());
  for (const auto& [name, value] : reader.head().headers) {
    EXPECT_NE(name, "Caller-Service");
  }
}

int StatusOf(const std::string& request, HttpLimits limits = {}) {
  HttpReader reader(Kind::kRequests, limits);
  try {
    reader.Feed(request);
  } catch (const HttpError& error) {
    return error.status();
  }
  return 0;
}

TEST(HttpReaderTest, RejectsAmbiguousMessages) {
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  EXPECT_EQ(StatusOf(start + "Content-Length : 3\r\n\r\nabc"), 400);
  EXPECT_EQ(StatusOf(start + "X: a\r\n b\r\n\r\n"), 400);
  EXPECT_EQ(StatusOf("GET / HTTP/1.1\nHost: x\n\n"), 400);
  EXPECT_EQ(StatusOf(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), 400);
  EXPECT_EQ(StatusOf(start +
                     "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
            400);
}

TEST(HttpReaderTest, ReportsExceededLimitsWithTheirOwnStatus) {
  EXPECT_EQ(
      StatusOf("GET / HTTP/1.1\r\nX: " + std::string(200, 'x'), {100, 1000}),
      431);
  EXPECT_EQ(
      StatusOf("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", {100, 1000}),
      413);
}

TEST(HttpReaderTest, ResponseWithoutLengthEndsWithConnection) {
  HttpReader reader(Kind::kResponses, {});
  reader.Feed("HTTP/1.1 200 OK\r\n\r\nall of");
  reader.Feed(" it");
  EXPECT_FALSE(reader.done());
  EXPECT_TRUE(reader.head().until_close);
  reader.FeedEnd();
  EXPECT_TRUE(reader.done());
  EXPECT_EQ(reader.TakeBody(), "all of it");
}

TEST(HttpReaderTest, RejectsTruncatedResponse) {
  for (const char* answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        "HTTP/1.1 200 OK\r\nConte"}) {
    HttpReader reader(Kind::kResponses, {});
    reader.Feed(answer);
    EXPECT_THROW(reader.FeedEnd(), HttpError) << answer;
  }
}

TEST(HttpReaderTest, ResponseWithoutBodyEndsAfterHead) {
  HttpReader reader(Kind::kResponses, {});
  reader.Feed("HTTP/1.1 304 Not Modified\r\nContent-Length: 10\r\n\r\n");
  EXPECT_TRUE(reader.done());
  reader.Next({}, true);
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
  EXPECT_TRUE(reader.done());
}

}  // namespace
}  // namespace ibisvalve::net
