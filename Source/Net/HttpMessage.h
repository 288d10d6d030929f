#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wisteriadock {

// A header field. The name is in lower case, as HTTP/2 requires.
struct HttpHeader {
    std::string name;
    std::string value;

    bool operator==(const HttpHeader&) const = default;
};

// A complete request. Pseudo-headers are separate members and never part of `headers`.
struct HttpRequest {
    std::string method = "GET";
    std::string path = "/";
    std::string authority;
    std::vector<HttpHeader> headers;
    std::string body;

    // Returns the first value of a header, or an empty view if it is absent.
    std::string_view header(std::string_view name) const;
};

// A complete response.
struct HttpResponse {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
    // Set by servers whose HTTP/2 responses have the same body, to be sent instead of `body` without a copy for each.
    std::shared_ptr<const std::string> sharedBody {};

    std::string_view header(std::string_view name) const;
    // The body that is sent or was received.
    const std::string& content() const { return sharedBody ? *sharedBody : body; }
};

}
