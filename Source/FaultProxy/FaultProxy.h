#pragma once

#include "FaultProxy/FaultRules.h"
#include "FaultProxy/Link.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace wisteriadock {

// The links of one process and the faults on them. Not thread-safe: everything happens on the thread that runs the
// io_context, which must not run any more once this object is gone.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context&, std::uint64_t seed);

    // Opens a link, or gives the open link of that name another target. Returns where it listens.
    Result<Endpoint> putLink(const LinkOptions&);
    void setFaults(const FaultScope&, Direction, const FaultSettings&);

    const std::map<std::string, std::unique_ptr<Link>>& links() const { return links_; }

    static constexpr std::size_t maxLinkCount = 4096;

private:
    Result<std::unique_ptr<Link>> open(const LinkOptions&);

    boost::asio::io_context& context_;
    Random random_;
    FaultRules rules_;
    std::map<std::string, std::unique_ptr<Link>> links_;
};

}
