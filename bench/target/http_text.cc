#include "bench/target/http_text.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace ibisvalve::bench {

std::string FindHeader(evhttp_request* request, const std::string& name) {
  const char* value = evhttp_find_header(
      evhttp_request_get_input_headers(request), name.c_str());
  return value == nullptr ? "" : value;
}

std::string QueryValue(const std::string& query, const std::string& key) {
  evkeyvalq pairs;
  if (evhttp_parse_query_str(query.c_str(), &pairs) != 0) {
    return "";
  }
  const char* value = evhttp_find_header(&pairs, key.c_str());
  std::string text = value == nullptr ? "" : value;
  evhttp_clear_headers(&pairs);
  return text;
}

std::string ReadBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

void ReplyText(evhttp_request* request,
               int status,
               const std::string& content_type,
               const std::string& body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                    content_type.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
               body.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

}  // namespace ibisvalve::bench
