#pragma once

#include "Configuration/Configuration.h"
#include "Net/HttpMessage.h"

namespace wisteriadock {

// The service named by the x-service header or else the authority; null when there is no such service.
const Service* findServiceOf(const Configuration&, const HttpRequest&);

}
