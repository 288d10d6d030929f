#pragma once

#include "Core/Endpoint.h"
#include "Core/Error.h"
#include "Experiment/EventLoop.h"
#include "Net/Http2Client.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>

namespace wisteriadock {

// Asks the HTTP/2 doors of the processes that take part, one request at a time. The loop goes on while it waits.
class AdminClient {
public:
    explicit AdminClient(EventLoop& loop)
        : loop_(loop)
    {
    }

    // The JSON body of the answer, or an empty object. Fails with Unavailable for any status but 200.
    Result<nlohmann::json> get(const Endpoint&, const std::string& path);
    Result<nlohmann::json> post(const Endpoint&, const std::string& path, const nlohmann::json& body);

private:
    Result<nlohmann::json> call(const Endpoint&, HttpRequest);

    EventLoop& loop_;
    std::map<Endpoint, std::unique_ptr<Http2Client>> clients_;
};

}
