#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A header field; names are lower case as HTTP/2 demands.
struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

// A whole request. Pseudo-headers have members of their own and never stand in headers.
struct HttpRequest {
    std::string method = "GET";
    std::string path = "/";
    std::string authority;
    std::vector<HttpHeader> headers;
    std::string body;

    // The first value of a header, or an empty view when it is absent.
    std::string_view header(std::string_view name) const;
};

// A whole answer.
struct HttpResponse {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

}
