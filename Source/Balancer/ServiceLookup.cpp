#include "Balancer/ServiceLookup.h"

#include <string_view>

namespace wisteriadock {

namespace {

    // Removes the port: "tryon:8080" and "tryon" name the same service.
    std::string_view hostOf(std::string_view authority) { return authority.substr(0, authority.rfind(':')); }

}

const Service* findServiceOf(const Configuration& configuration, const HttpRequest& request)
{
    const std::string_view named = request.header("x-service");
    return configuration.findService(named.empty() ? hostOf(request.authority) : named);
}

}
