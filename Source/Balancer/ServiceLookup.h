#pragma once

#include "Configuration/Configuration.h"
#include "Net/HttpMessage.h"

namespace wisteriadock {

// The service that the request names by x-service or its authority; null when it names none.
const Service* findServiceOf(const Configuration&, const HttpRequest&);

}
