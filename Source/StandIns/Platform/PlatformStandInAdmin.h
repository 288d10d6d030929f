#pragma once

#include "Net/HttpMessage.h"
#include "StandIns/Platform/PlatformStandInFaults.h"
#include "StandIns/Platform/PlatformStore.h"

namespace wisteriadock {

// The admin interface of PlatformStandIn: the paths under /admin/ through which experiments and tests control faults,
// snapshots of the store and the list of VMs, and read counters (docs/design/platform.md). These paths also work during
// a simulated outage and are not counted as calls.
class PlatformStandInAdmin {
public:
    PlatformStandInAdmin(PlatformStore&, PlatformFaults&);

    static bool handles(std::string_view path) { return path.starts_with("/admin/"); }

    HttpResponse handle(const HttpRequest&, TimePoint now);

private:
    Result<Json> answer(const HttpRequest&, TimePoint now);
    Result<Json> change(std::string_view path, const Json& body, TimePoint now);
    Result<Json> restoreSnapshot(const std::string& name, TimePoint now);
    Result<Json> changeVms(const Json& body, TimePoint now);
    Json counters() const;

    PlatformStore& store_;
    PlatformFaults& faults_;
    std::map<std::string, PlatformStore::Snapshot> snapshots_;
};

}
