#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Ctl/BalancerStatus.h"
#include "Net/Http2Client.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace wisteriadock {

// Asks balancers for their /status, all at once. The reader must outlive the calls.
class StatusReader {
public:
    using Callback = std::function<void(std::vector<StatusProbe>)>;

    explicit StatusReader(boost::asio::io_context&);

    // The callback gets one probe an address, in their order, at the latest when the deadline has passed.
    void read(const std::vector<Endpoint>& balancers, TimePoint deadline, Callback);

private:
    void finish(std::size_t index, Result<BalancerStatus>);

    boost::asio::io_context& context_;
    std::vector<std::unique_ptr<Http2Client>> clients_;
    std::vector<StatusProbe> probes_;
    std::size_t open_ = 0;
    Callback callback_;
};

}
