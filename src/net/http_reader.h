#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "wire/wire.h"

struct evbuffer;

namespace ibisvalve::net {

/// Thrown where bytes are no message of HTTP/1.1, or one over a limit.
class HttpError : public std::runtime_error {
 public:
  /// `status` is what a server answers.
  HttpError(int status, const std::string& what)
      : std::runtime_error(what), status_(status) {}
  int status() const { return status_; }

 private:
  int status_;
};

/// Start line and headers of a request or an answer.
struct HttpHead {
  std::string method;   // of a request, as sent
  std::string target;   // of a request: path and query
  uint16_t status = 0;  // of an answer
  wire::Headers headers;
  std::optional<uint64_t> length;  // declared; absent: chunked or until close
  bool chunked = false;
  bool until_close = false;  // an answer that ends with its connection
  bool keep_alive = true;    // the connection may be used again afterwards

  auto operator<=>(const HttpHead&) const = default;
};

/// Most bytes that a message may have.
struct HttpLimits {
  uint32_t header_bytes = 16 << 10;
  uint64_t body_bytes = UINT64_MAX;

  auto operator<=>(const HttpLimits&) const = default;
};

/// Reads one message after the other from the bytes of a connection. Strict:
/// what two parsers could read differently is an error.
class HttpReader {
 public:
  enum class Kind : uint8_t { kRequests, kAnswers };

  HttpReader(Kind kind, const HttpLimits& limits);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Takes in what belongs to the present message and returns how many bytes
  /// that was; the rest is to be given again, with more. Throws HttpError.
  size_t Feed(std::string_view bytes);
  /// The same for what `input` holds; drains what was taken in.
  size_t FeedFrom(evbuffer* input);
  /// The peer sends no more. Throws HttpError where that cuts the message.
  void FeedEnd();
  /// Returns whether some of the present message has been taken in.
  bool started() const;
  /// Returns whether its head, or all of it, has been taken in.
  bool head_done() const;
  bool done() const;
  const HttpHead& head() const { return head_; }
  /// Returns the bytes of the body that have come since the last call.
  std::string TakeBody();
  /// Begins the next message. `no_body` says that an answer has none whatever
  /// its headers say, as after HEAD.
  void Next(const HttpLimits& limits, bool no_body = false);

 private:
  class Parser;
  template <bool kIsRequest>
  class ParserOf;

  std::unique_ptr<Parser> MakeParser(bool no_body);

  Kind kind_;
  HttpLimits limits_;
  HttpHead head_;
  std::string body_;
  std::unique_ptr<Parser> parser_;
};

/// Returns the text of an answer's head up to its empty line. `headers` hold
/// everything but Content-Length, Transfer-Encoding and Connection; without a
/// `length` the body goes in chunks, unless the status has none.
std::string AnswerHeadText(uint16_t status,
                           const wire::Headers& headers,
                           std::optional<uint64_t> length,
                           bool close);

/// Returns the text of a request's head up to its empty line; `headers` as
/// above. A body of `length` bytes follows.
std::string RequestHeadText(const std::string& method,
                            const std::string& target,
                            const wire::Headers& headers,
                            uint64_t length);

}  // namespace ibisvalve::net
