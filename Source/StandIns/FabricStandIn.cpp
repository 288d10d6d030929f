#include "StandIns/FabricStandIn.h"

#include "StandIns/JsonText.h"
#include "StandIns/Program.h"
#include "Wire/ProxyHeader.h"

#include <fmt/format.h>

#include <utility>

namespace wisteriadock {

namespace {

    using Json = nlohmann::json;

    Result<FabricTarget> targetFrom(const Json& row)
    {
        const Json address = row.is_object() ? row.value("address", Json()) : row;
        const Json weight = row.is_object() ? row.value("weight", Json(1)) : Json(1);
        if (!address.is_string() || !weight.is_number() || weight.get<double>() < 0)
            return Error { ErrorCode::InvalidArgument,
                fmt::format(
                    "'{}' is not a balancer; expected an address, or an object of address and weight", row.dump()) };
        BOOST_OUTCOME_TRY(endpoint, Endpoint::parse(address.get<std::string>()));
        return FabricTarget { endpoint, weight.get<double>(), 0 };
    }

}

Result<std::vector<FabricTarget>> parseFabricTargets(std::string_view text)
{
    BOOST_OUTCOME_TRY(body, parseJson(text));
    if (!body.is_array())
        return Error { ErrorCode::InvalidArgument, "the body is not a JSON array" };
    std::vector<FabricTarget> targets;
    for (const Json& row : body) {
        BOOST_OUTCOME_TRY(target, targetFrom(row));
        targets.push_back(target);
    }
    return targets;
}

FabricStandIn::FabricStandIn(std::uint64_t seed)
    : sprayer_(seed)
{
}

Result<std::unique_ptr<FabricStandIn>> FabricStandIn::start(
    boost::asio::io_context& context, const FabricStandInOptions& options)
{
    std::unique_ptr<FabricStandIn> fabric(new FabricStandIn(options.seed));
    fabric->sprayer_.setTargets(options.balancers);
    FabricStandIn* const self = fabric.get();
    BOOST_OUTCOME_TRY(socket, DatagramSocket::bind(context, options.listen));
    fabric->socket_ = std::move(socket);
    BOOST_OUTCOME_TRY(
        admin, Http2Server::listen(context, options.admin, [self](const std::shared_ptr<Http2Exchange>& exchange) {
            exchange->respond(self->handleAdmin(exchange->request()));
        }));
    fabric->admin_ = std::move(admin);
    fabric->socket_->receive([self](std::span<const std::uint8_t> datagram) { self->handleDatagram(datagram); });
    return fabric;
}

void FabricStandIn::printListeningLines() const
{
    printListening("fabric", address());
    printListening("admin", adminAddress());
}

void FabricStandIn::printFinalCounts() const
{
    printCount("packets", packets_);
    printCount("unrouted_packets", sprayer_.unroutedPackets());
    printCount("malformed_datagrams", malformedDatagrams_);
    printCount("send_drops", socket_->sendDrops());
    for (const FabricTarget& target : sprayer_.targets())
        printCount("packets_to " + target.address.toString(), target.packets);
}

void FabricStandIn::handleDatagram(std::span<const std::uint8_t> datagram)
{
    ++packets_;
    if (!decodeProxiedPacket(datagram)) {
        ++malformedDatagrams_;
        return;
    }
    const Endpoint balancer = sprayer_.next();
    if (balancer.isSet())
        socket_->send(balancer, datagram);
}

HttpResponse FabricStandIn::handleAdmin(const HttpRequest& request)
{
    if (request.method == "GET" && request.path == "/counts")
        return countsAnswer();
    if (request.method != "POST" || request.path != "/balancers")
        return notFoundAnswer();

    const auto targets = parseFabricTargets(request.body);
    if (!targets)
        return answerTo(targets.error());
    sprayer_.setTargets(targets.value());
    return answerTo(boost::outcome_v2::success());
}

HttpResponse FabricStandIn::countsAnswer() const
{
    Json balancers = Json::array();
    for (const FabricTarget& target : sprayer_.targets())
        balancers.push_back({
            { "address", target.address.toString() },
            { "weight", target.weight },
            { "packets", target.packets },
        });
    return jsonAnswer({
        { "packets", packets_ },
        { "unrouted_packets", sprayer_.unroutedPackets() },
        { "malformed_datagrams", malformedDatagrams_ },
        { "send_drops", socket_->sendDrops() },
        { "balancers", std::move(balancers) },
    });
}

}
