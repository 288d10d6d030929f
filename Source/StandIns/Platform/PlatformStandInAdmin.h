#pragma once

#include "Net/HttpMessage.h"
#include "StandIns/Platform/PlatformStandInFaults.h"
#include "StandIns/Platform/PlatformStore.h"

namespace wisteriadock {

// The paths under /admin/ by which experiments and tests steer the stand-in: faults, copies of the store, the list of
// VMs and counters (docs/design/platform.md). They work during a played outage too and count as no call.
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
