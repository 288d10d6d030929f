#pragma once

#include "FaultProxy/FaultRules.h"
#include "FaultProxy/Link.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace wisteriadock {

// The links of one fault proxy process and the fault rules that apply to them. Not thread-safe: all calls and callbacks
// happen on the thread that runs the io_context. The io_context must not run after this object is destroyed.
class FaultProxy {
public:
    FaultProxy(boost::asio::io_context&, std::uint64_t seed);

    // Opens a link, or changes the target of the open link with that name. Returns the address on which it listens.
    // Fails with Unavailable when the address can't be bound, with ResourceExhausted above maxLinkCount.
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
