#pragma once

#include <string>

struct evhttp_request;

namespace ibisvalve::net {

/// Returns the method of `request` in upper case, or "OTHER" for one that
/// evhttp does not know.
std::string MethodName(const evhttp_request* request);

}  // namespace ibisvalve::net
