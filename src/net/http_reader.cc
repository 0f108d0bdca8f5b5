#include "net/http_reader.h"

#include <event2/buffer.h>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <utility>

namespace ibisvalve::net {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

int StatusOf(const error_code& error) {
  if (error == http::error::header_limit) {
    return kHeaderTooLarge;
  }
  return error == http::error::body_limit ? kTooLarge : kBadRequest;
}

// Detects obsolete line folding (a header that continues on the next line),
// which parsers interpret differently.
bool HasFoldedLine(std::string_view head) {
  return head.find("\n ") != std::string_view::npos ||
         head.find("\n\t") != std::string_view::npos;
}

bool HasNoBody(uint16_t status) {
  return status < 200 || status == 204 || status == 304;
}

void AppendHeaders(std::string& text, const wire::Headers& headers) {
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
}

}  // namespace

// Interface common to the parsers of requests and responses.
class HttpReader::Parser {
 public:
  virtual ~Parser() = default;
  virtual size_t Put(std::string_view bytes, error_code& error) = 0;
  virtual void PutEnd(error_code& error) = 0;
  virtual bool started() const = 0;
  virtual bool head_done() const = 0;
  virtual bool done() const = 0;
  virtual void FillHead(HttpHead& head) const = 0;
};

template <bool kIsRequest>
class HttpReader::ParserOf : public Parser,
                             private http::basic_parser<kIsRequest> {
 public:
  ParserOf(HttpReader& reader, bool no_body) : reader_(reader) {
    this->header_limit(reader.limits_.header_bytes);
    this->body_limit(reader.limits_.body_bytes);
    if (no_body) {
      this->skip(true);
    }
  }

  size_t Put(std::string_view bytes, error_code& error) override {
    return this->put(boost::asio::const_buffer(bytes.data(), bytes.size()),
                     error);
  }
  void PutEnd(error_code& error) override { this->put_eof(error); }
  bool started() const override { return this->got_some(); }
  bool head_done() const override { return this->is_header_done(); }
  bool done() const override { return this->is_done(); }
  void FillHead(HttpHead& head) const override {
    head.chunked = this->chunked();
    if (const auto length = this->content_length()) {
      head.length = *length;
    }
    head.until_close = !kIsRequest && this->need_eof();
    head.keep_alive = this->keep_alive();
  }

 private:
  using View = boost::beast::string_view;

  void on_request_impl(http::verb,
                       View method,
                       View target,
                       int,
                       error_code&) override {
    reader_.head_.method.assign(method.data(), method.size());
    reader_.head_.target.assign(target.data(), target.size());
  }
  void on_response_impl(int code, View, int, error_code&) override {
    reader_.head_.status = static_cast<uint16_t>(code);
  }
  void on_field_impl(http::field, View name, View value, error_code&) override {
    if (this->is_header_done()) {
      return;  // a trailer must not pass for a header (RFC 9110, 6.5.1)
    }
    reader_.head_.headers.emplace_back(std::string(name), std::string(value));
  }
  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}
  std::size_t on_body_impl(View body, error_code&) override {
    reader_.body_.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 View body,
                                 error_code&) override {
    reader_.body_.append(body.data(), body.size());
    return body.size();
  }
  void on_finish_impl(error_code&) override {}

  HttpReader& reader_;
};

HttpReader::HttpReader(Kind kind, const HttpLimits& limits)
    : kind_(kind), limits_(limits), parser_(MakeParser(false)) {}

HttpReader::~HttpReader() = default;

std::unique_ptr<HttpReader::Parser> HttpReader::MakeParser(bool no_body) {
  if (kind_ == Kind::kRequests) {
    return std::make_unique<ParserOf<true>>(*this, no_body);
  }
  return std::make_unique<ParserOf<false>>(*this, no_body);
}

size_t HttpReader::Feed(std::string_view bytes) {
  size_t taken = 0;
  while (taken < bytes.size() && !parser_->done()) {
    const bool had_head = parser_->head_done();
    error_code error;
    const std::string_view rest = bytes.substr(taken);
    const size_t used = parser_->Put(rest, error);
    if (error && error != http::error::need_more) {
      throw HttpError(StatusOf(error), error.message());
    }
    if (!had_head && parser_->head_done()) {
      if (HasFoldedLine(rest.substr(0, used))) {
        throw HttpError(kBadRequest, "a header line is folded");
      }
      parser_->FillHead(head_);
    }
    taken += used;
    if (used == 0) {
      break;
    }
  }
  return taken;
}

size_t HttpReader::FeedFrom(evbuffer* input) {
  const size_t length = evbuffer_get_length(input);
  if (length == 0) {
    return 0;
  }
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const size_t taken = Feed(std::string_view(bytes, length));
  evbuffer_drain(input, taken);
  if (!parser_->done() && length - taken > limits_.header_bytes) {
    throw HttpError(kHeaderTooLarge, "a part of the message is longer than " +
                                         std::to_string(limits_.header_bytes) +
                                         " bytes");
  }
  return taken;
}

void HttpReader::FeedEnd() {
  if (parser_->done()) {
    return;
  }
  error_code error;
  if (parser_->head_done()) {
    parser_->PutEnd(error);
  }
  if (error || !parser_->done()) {
    throw HttpError(kBadRequest, "the message is cut short");
  }
}

bool HttpReader::started() const {
  return parser_->started();
}

bool HttpReader::head_done() const {
  return parser_->head_done();
}

bool HttpReader::done() const {
  return parser_->done();
}

std::string HttpReader::TakeBody() {
  return std::exchange(body_, {});
}

void HttpReader::Next(const HttpLimits& limits, bool no_body) {
  limits_ = limits;
  head_ = HttpHead();
  body_.clear();
  parser_ = MakeParser(no_body);
}

std::string ResponseHeadText(uint16_t status,
                             const wire::Headers& headers,
                             std::optional<uint64_t> length,
                             bool close) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\n";
  AppendHeaders(text, headers);
  if (length) {
    text += "Content-Length: " + std::to_string(*length) + "\r\n";
  } else if (!HasNoBody(status)) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += close ? "Connection: close\r\n\r\n" : "\r\n";
  return text;
}

std::string RequestHeadText(const std::string& method,
                            const std::string& target,
                            const wire::Headers& headers,
                            uint64_t length) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(text, headers);
  if (length > 0 || method == "POST" || method == "PUT" || method == "PATCH") {
    text += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  return text + "\r\n";
}

}  // namespace ibisvalve::net
