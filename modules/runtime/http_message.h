#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::runtime {

/// A header field of a request or a response.
struct http_header {
    std::string name;
    std::string value;
};

/// A request as passed to a handler, with the complete body.
struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string_view body;
};

/// A response to send.
struct http_response {
    unsigned status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<http_header> headers;
};

} // namespace chivewharf::runtime
