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

// Sends requests to the HTTP/2 endpoints of the processes of a run, one at a time. Each call blocks its caller until
// the response arrives and runs the event loop meanwhile.
class AdminClient {
public:
    explicit AdminClient(EventLoop& loop)
        : loop_(loop)
    {
    }

    // Return the JSON body of the response, or an empty object if there is none. Fail with Unavailable when the server
    // does not answer or its status differs from 200.
    Result<nlohmann::json> get(const Endpoint&, const std::string& path);
    Result<nlohmann::json> post(const Endpoint&, const std::string& path, const nlohmann::json& body);

private:
    Result<nlohmann::json> call(const Endpoint&, HttpRequest);

    EventLoop& loop_;
    std::map<Endpoint, std::unique_ptr<Http2Client>> clients_;
};

}
