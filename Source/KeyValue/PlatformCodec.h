#pragma once

#include "KeyValue/PlatformCalls.h"
#include "Net/Http2Client.h"
#include "Net/HttpMessage.h"

namespace wisteriadock {

inline constexpr const char* platformEraHeader = "platform-era";

// Encodes the platform's calls as JSON that is posted to /v1/NAME, and decodes the answers (docs/design/platform.md).
struct PlatformCodec {
    static Result<HttpRequest> encode(const GetCall&);
    static Result<HttpRequest> encode(const CompareAndSwapCall&);
    static Result<HttpRequest> encode(const WatchCall&);
    static Result<HttpRequest> encode(const GrantLeaseCall&);
    static Result<HttpRequest> encode(const KeepAliveCall&);
    static Result<HttpRequest> encode(const ListVmsCall&);

    // The era of the store, which every answer names in a header; it rises when the store is restored from an older
    // copy. 0 without an answer or the header.
    static std::uint64_t eraOf(const HttpOutcome&);

    static Result<PlatformEntry> decode(const GetCall&, const HttpOutcome&);
    static Result<std::uint64_t> decode(const CompareAndSwapCall&, const HttpOutcome&);
    static Result<PlatformEntry> decode(const WatchCall&, const HttpOutcome&);
    static Result<PlatformLease> decode(const GrantLeaseCall&, const HttpOutcome&);
    static Result<PlatformLease> decode(const KeepAliveCall&, const HttpOutcome&);
    static Result<std::vector<Vm>> decode(const ListVmsCall&, const HttpOutcome&);
};

}
