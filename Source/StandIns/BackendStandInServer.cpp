#include "StandIns/BackendStandInServer.h"

#include "StandIns/AnswerBody.h"
#include "Wire/ProxyHeader.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace wisteriadock {

namespace {

    constexpr std::size_t maxRecordedKeys = 200'000;
    constexpr std::uint64_t maxAnswerBytes = 16ULL * 1024 * 1024;
    constexpr std::uint64_t maxMilliseconds = 3'600'000;

    // Parses the number of a header. An absent or malformed number is 0; a number above the limit is the limit.
    std::uint64_t numberIn(std::string_view text, std::uint64_t limit)
    {
        std::uint64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error == std::errc::result_out_of_range)
            return limit;
        if (error != std::errc() || end != text.data() + text.size())
            return 0;
        return std::min(value, limit);
    }

    Duration millisecondsIn(std::string_view text)
    {
        return std::chrono::milliseconds(numberIn(text, maxMilliseconds));
    }

    HttpResponse jsonResponse(const nlohmann::json& body)
    {
        return { 200, { { "content-type", "application/json" } }, body.dump() };
    }

}

BackendStandInServer::BackendStandInServer(
    boost::asio::io_context& context, const BackendSpec& spec, const BackendFlowLimits& limits)
    : context_(context)
    , spec_(spec)
    , flows_(spec.id, spec.service, limits)
    , requests_(maxRecordedKeys)
{
    requests_.behaviour().slots = spec.slots;
}

Result<std::shared_ptr<BackendStandInServer>> BackendStandInServer::start(boost::asio::io_context& context,
    const BackendSpec& spec, const BackendFlowLimits& limits, std::optional<Endpoint> replyTo)
{
    std::shared_ptr<BackendStandInServer> server(new BackendStandInServer(context, spec, limits));
    server->replyTo_ = replyTo;
    BOOST_OUTCOME_TRY(flowSocket, DatagramSocket::bind(context, spec.flowAddress));
    server->flowSocket_ = std::move(flowSocket);
    BackendStandInServer* const self = server.get();
    BOOST_OUTCOME_TRY(requestServer,
        Http2Server::listen(context, spec.requestAddress,
            [self](const std::shared_ptr<Http2Exchange>& exchange) { self->handleRequest(exchange); }));
    server->requestServer_ = std::move(requestServer);
    server->flowSocket_->receive([self](std::span<const std::uint8_t> datagram) { self->handleDatagram(datagram); });
    return server;
}

void BackendStandInServer::tick(TimePoint now)
{
    flows_.expire(now);
    status_.add(sample(now));
}

void BackendStandInServer::handleDatagram(std::span<const std::uint8_t> datagram)
{
    const auto packet = decodeProxiedPacket(datagram);
    if (!packet) {
        ++malformedDatagrams_;
        return;
    }
    const auto payload = decodeFlowPayload(packet.value().payload);
    if (!payload || payload.value().kind != FlowPayloadKind::Packet) {
        ++malformedDatagrams_;
        return;
    }
    const auto reply = flows_.handle(payload.value(), Clock::now());
    if (!reply || !replyTo_)
        return;

    // The reply goes from the service's address to the client's.
    const ProxyHeader replyHeader { packet.value().header.service, packet.value().header.client, std::nullopt };
    std::array<std::uint8_t, maxProxyHeaderBytes> header;
    const std::size_t headerSize = encodeProxyHeader(replyHeader, header);
    flowSocket_->send(*replyTo_, std::span(header).first(headerSize), encodeFlowPayload(*reply));
}

void BackendStandInServer::handleRequest(const std::shared_ptr<Http2Exchange>& exchange)
{
    const HttpRequest& request = exchange->request();
    if (request.path == "/health") {
        exchange->respond(healthResponse());
        return;
    }
    if (request.path == "/load") {
        exchange->respond(loadResponse());
        return;
    }
    const auto admission = requests_.admit(request.header(stand_in_headers::idempotencyKey),
        millisecondsIn(request.header(stand_in_headers::workMilliseconds)),
        millisecondsIn(request.header(stand_in_headers::deadlineMilliseconds)), Clock::now());
    if (admission.shed)
        shed(*exchange);
    else
        run(exchange, admission);
}

void BackendStandInServer::run(
    const std::shared_ptr<Http2Exchange>& exchange, const BackendRequestTracker::Admission& admission)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, admission.endsAt);
    const auto self = shared_from_this();
    // The exchange owns this callback, so the callback must not own the exchange.
    exchange->onCancelled([self, timer, run = admission.run] {
        self->requests_.end(run, RunOutcome::Cancelled, Clock::now());
        timer->cancel();
    });
    timer->async_wait([self, timer, exchange, admission](const boost::system::error_code& error) {
        if (error)
            return;
        self->requests_.end(admission.run, admission.outcome, Clock::now());
        self->answer(*exchange, admission.outcome);
    });
}

void BackendStandInServer::answer(Http2Exchange& exchange, RunOutcome outcome) const
{
    const HttpRequest& request = exchange.request();
    HttpResponse response;
    response.headers = {
        { std::string(stand_in_headers::backendServer), spec_.name },
        { std::string(stand_in_headers::service), spec_.serviceName },
    };
    if (outcome == RunOutcome::DeadlineExceeded) {
        response.status = 504;
        response.headers.push_back({ std::string(stand_in_headers::executed), "unknown" });
    } else {
        const std::size_t size = numberIn(request.header(stand_in_headers::answerBytes), maxAnswerBytes);
        response.headers.push_back({ std::string(stand_in_headers::executed), "yes" });
        response.body = answerBodyOf(request.header(stand_in_headers::idempotencyKey), spec_.name, size);
    }
    response.headers.push_back({ "content-length", std::to_string(response.body.size()) });
    exchange.respond(std::move(response));
}

void BackendStandInServer::shed(Http2Exchange& exchange) const
{
    if (rejectionMode_ == RejectionMode::RefuseStream) {
        exchange.refuse();
        return;
    }
    exchange.respond({ 503,
        { { std::string(stand_in_headers::backendServer), spec_.name },
            { std::string(stand_in_headers::service), spec_.serviceName },
            { std::string(stand_in_headers::executed), "no" }, { "retry-after", "1" }, { "content-length", "0" } },
        {} });
}

HttpResponse BackendStandInServer::healthResponse() const
{
    const BackendHealth health = status_.reported(Clock::now()).health;
    HttpResponse response = jsonResponse({ { "server", spec_.name }, { "health", std::string(nameOf(health)) } });
    response.status = health == BackendHealth::Failing ? 503 : 200;
    return response;
}

HttpResponse BackendStandInServer::loadResponse() const
{
    const BackendSample reported = status_.reported(Clock::now());
    return jsonResponse({
        { "server", spec_.name },
        { "running_requests", reported.runningRequests },
        { "slots", requests_.behaviour().slots },
        { "live_flows", reported.liveFlows },
        { "connections", spec_.connections },
    });
}

BackendSample BackendStandInServer::sample(TimePoint now) const
{
    return {
        .at = now,
        .health = requests_.behaviour().draining ? BackendHealth::Draining : BackendHealth::Healthy,
        .runningRequests = requests_.running(),
        .liveFlows = flows_.liveFlows(),
    };
}

}
