#pragma once

#include "Net/Http2Server.h"
#include "StandIns/Platform/PlatformStandInAdmin.h"

#include <boost/asio/steady_timer.hpp>

namespace wisteriadock {

// An HTTP/2 server that simulates the platform (docs/design/platform.md): translates requests into calls of a
// PlatformStore, simulates the configured faults and answers waiting watches. Everything runs on the one thread of the
// io_context.
class PlatformStandIn : public std::enable_shared_from_this<PlatformStandIn> {
public:
    // Fails with Unavailable when the address can't be bound.
    static Result<std::shared_ptr<PlatformStandIn>> listen(boost::asio::io_context&, Endpoint);

    Endpoint address() const { return server_->address(); }
    // Gives tests in the same process access to the stored state and the call counts.
    const PlatformStore& store() const { return store_; }

private:
    using Exchange = std::shared_ptr<Http2Exchange>;

    explicit PlatformStandIn(boost::asio::io_context&);

    void handle(const Exchange&);
    void handleAdmin(const Exchange&);
    void handleCall(const Exchange&);
    void handleDelayed(PlatformCall, const Exchange&);
    void perform(PlatformCall, const Exchange&);
    void failWithOutage(const Exchange&);
    Result<Json> execute(PlatformCall, const Json& arguments, TimePoint now);
    Result<Json> executeCompareAndSwap(const Json& arguments, TimePoint now);
    Result<void> startWatch(const Json& arguments, TimePoint now, const Exchange&);
    void respond(const Exchange&, HttpResponse) const;
    void answer(PlatformCall, const Exchange&, const Result<Json>&);
    void answerEndedWatches();
    void armTimer();

    boost::asio::io_context& context_;
    PlatformStore store_;
    PlatformFaults faults_;
    PlatformStandInAdmin admin_;
    boost::asio::steady_timer timer_;
    std::map<PlatformStore::WatchId, Exchange> watchers_;
    std::unique_ptr<Http2Server> server_;
};

}
