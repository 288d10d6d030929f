#pragma once

#include "Core/Endpoint.h"
#include "Net/Http2Client.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>

namespace wisteriadock {

// Keeps one HTTP/2 connection per address. AttemptForwarder, RequestMessageTransport and WorkSender use it for other
// balancers and backend servers.
class Http2ClientPool {
public:
    Http2ClientPool(boost::asio::io_context& context, const Http2Limits& limits)
        : context_(context)
        , limits_(limits)
    {
    }

    Http2Client& clientOf(Endpoint address)
    {
        auto& client = clients_[address];
        if (!client)
            client = std::make_unique<Http2Client>(context_, address, limits_);
        return *client;
    }

    // Does nothing if keepOnly() has already removed the client.
    void cancel(Endpoint address, Http2Client::RequestId id)
    {
        const auto found = clients_.find(address);
        if (found != clients_.end())
            found->second->cancel(id);
    }

    // Closes idle connections to addresses that are no longer in use.
    template <typename Predicate> void keepOnly(Predicate isInUse)
    {
        std::erase_if(clients_, [&](const auto& entry) {
            const bool isIdle = entry.second->openRequests() == 0;
            if (!isIdle || isInUse(entry.first))
                return false;
            closedBytes_ += entry.second->bytesTransferred();
            return true;
        });
    }

    std::uint64_t bytesTransferred() const
    {
        std::uint64_t sum = closedBytes_;
        for (const auto& [address, client] : clients_)
            sum += client->bytesTransferred();
        return sum;
    }

private:
    boost::asio::io_context& context_;
    Http2Limits limits_;
    std::uint64_t closedBytes_ = 0;
    std::map<Endpoint, std::unique_ptr<Http2Client>> clients_;
};

}
