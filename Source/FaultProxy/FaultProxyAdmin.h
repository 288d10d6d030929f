#pragma once

#include "FaultProxy/FaultProxy.h"
#include "Net/HttpMessage.h"

namespace wisteriadock {

// The HTTP interface through which an experiment controls a fault proxy (docs/operators/experiments.md).
//   POST /links    {"name", "protocol", "listen", "target"}: opens a link, or changes the target of an open one.
//   POST /faults   {"link", "source", "direction", "delay_ms", …}: replaces the faults of that scope and direction.
//   GET  /counters the FaultCounters of each link and direction.
// A malformed request gets status 400 and changes nothing.
class FaultProxyAdmin {
public:
    explicit FaultProxyAdmin(FaultProxy& proxy)
        : proxy_(proxy)
    {
    }

    HttpResponse answer(const HttpRequest&);

private:
    Result<std::string> postLink(const std::string& body);
    Result<std::string> postFaults(const std::string& body);
    std::string counters() const;

    FaultProxy& proxy_;
};

}
