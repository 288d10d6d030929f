#include "FaultProxy/FaultProxy.h"

#include "FaultProxy/TcpLink.h"
#include "FaultProxy/UdpLink.h"

#include <fmt/format.h>

namespace wisteriadock {

FaultProxy::FaultProxy(boost::asio::io_context& context, std::uint64_t seed)
    : context_(context)
    , random_(seed)
{
}

Result<Endpoint> FaultProxy::putLink(const LinkOptions& options)
{
    const auto found = links_.find(options.name);
    if (found != links_.end()) {
        found->second->setTarget(options.target);
        return found->second->address();
    }
    if (links_.size() >= maxLinkCount)
        return Error { ErrorCode::ResourceExhausted, fmt::format("there are {} links already", maxLinkCount) };

    BOOST_OUTCOME_TRY(link, open(options));
    const Endpoint address = link->address();
    links_.emplace(options.name, std::move(link));
    return address;
}

void FaultProxy::setFaults(const FaultScope& scope, Direction direction, const FaultSettings& settings)
{
    rules_.set(scope, direction, settings);
    for (const auto& [name, link] : links_)
        link->applyRules();
}

Result<std::unique_ptr<Link>> FaultProxy::open(const LinkOptions& options)
{
    if (options.protocol == LinkProtocol::Udp) {
        BOOST_OUTCOME_TRY(link, UdpLink::open(context_, options, rules_, random_));
        return std::unique_ptr<Link>(std::move(link));
    }
    BOOST_OUTCOME_TRY(link, TcpLink::open(context_, options, rules_, random_));
    return std::unique_ptr<Link>(std::move(link));
}

}
