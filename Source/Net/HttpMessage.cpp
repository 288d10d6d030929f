#include "Net/HttpMessage.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    std::string_view firstValue(const std::vector<HttpHeader>& headers, std::string_view name)
    {
        const auto found = std::find_if(
            headers.begin(), headers.end(), [&](const HttpHeader& header) { return header.name == name; });
        return found == headers.end() ? std::string_view() : std::string_view(found->value);
    }

}

std::string_view HttpRequest::header(std::string_view name) const { return firstValue(headers, name); }

std::string_view HttpResponse::header(std::string_view name) const { return firstValue(headers, name); }

}
