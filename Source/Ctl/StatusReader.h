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

// Reads /status from several balancers in parallel, for CtlProgram. The reader must outlive the requests, and only one
// read() may be in progress.
class StatusReader {
public:
    using Callback = std::function<void(std::vector<StatusProbe>)>;

    explicit StatusReader(boost::asio::io_context&);

    // The callback receives one probe per address, in the order of the addresses, by the deadline.
    void read(const std::vector<Endpoint>& balancers, TimePoint deadline, Callback);

private:
    void finish(std::size_t index, Result<BalancerStatus>);

    boost::asio::io_context& context_;
    std::vector<std::unique_ptr<Http2Client>> clients_;
    std::vector<StatusProbe> probes_;
    std::size_t pendingRequests_ = 0;
    Callback callback_;
};

}
