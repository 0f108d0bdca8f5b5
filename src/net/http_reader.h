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

/// Thrown if the input is not a valid HTTP/1.1 message or exceeds a limit.
class HttpError : public std::runtime_error {
 public:
  /// `status` is the status code with which a server responds to this error.
  HttpError(int status, const std::string& what)
      : std::runtime_error(what), status_(status) {}
  int status() const { return status_; }

 private:
  int status_;
};

/// Start line and headers of a request or a response.
struct HttpHead {
  std::string method;   // of a request, as received
  std::string target;   // of a request: path and query
  uint16_t status = 0;  // of a response
  wire::Headers headers;
  std::optional<uint64_t> length;  // declared; absent: chunked or until_close
  bool chunked = false;
  bool until_close = false;  // a response that ends when the connection closes
  bool keep_alive = true;    // the connection may be reused

  auto operator<=>(const HttpHead&) const = default;
};

/// Maximum sizes of a message in bytes.
struct HttpLimits {
  uint32_t header_bytes = 16 << 10;
  uint64_t body_bytes = UINT64_MAX;

  auto operator<=>(const HttpLimits&) const = default;
};

/// Incremental HTTP/1.1 parser for the messages of one connection. Rejects
/// input that two parsers could interpret differently.
class HttpReader {
 public:
  enum class Kind : uint8_t { kRequests, kResponses };

  HttpReader(Kind kind, const HttpLimits& limits);
  ~HttpReader();
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Parses bytes of the current message and returns how many were consumed.
  /// The caller passes the rest again, together with further input. Throws
  /// HttpError.
  size_t Feed(std::string_view bytes);
  /// Parses the content of `input` like Feed and drains the consumed bytes.
  /// Throws HttpError also if more than HttpLimits::header_bytes of the current
  /// message stay unparsed, which a chunk header or trailers without end do.
  size_t FeedFrom(evbuffer* input);
  /// Handles the end of input. Throws HttpError if the current message is
  /// incomplete.
  void FeedEnd();
  /// Returns whether any byte of the current message has been parsed.
  bool started() const;
  /// Returns whether the head of the current message is complete.
  bool head_done() const;
  /// Returns whether the current message is complete.
  bool done() const;
  const HttpHead& head() const { return head_; }
  /// Returns the limits of the current message.
  const HttpLimits& limits() const { return limits_; }
  /// Returns the body bytes parsed since the last call.
  std::string TakeBody();
  /// Starts the next message. If `no_body` is set, the response has no body
  /// regardless of its headers, as after a HEAD request.
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

/// Formats the head of a response, including the empty line at its end.
/// `headers` must not contain Content-Length, Transfer-Encoding or Connection.
/// Without a `length`, the body uses the chunked encoding, unless responses of
/// this status have no body.
std::string ResponseHeadText(uint16_t status,
                             const wire::Headers& headers,
                             std::optional<uint64_t> length,
                             bool close);

/// Formats the head of a request, including the empty line at its end, for a
/// body of `length` bytes. `headers` must not contain Content-Length,
/// Transfer-Encoding or Connection.
std::string RequestHeadText(const std::string& method,
                            const std::string& target,
                            const wire::Headers& headers,
                            uint64_t length);

}  // namespace ibisvalve::net
