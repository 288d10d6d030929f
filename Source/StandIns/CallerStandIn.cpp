#include "StandIns/CallerStandIn.h"

#include "StandIns/CallerRecords.h"
#include "StandIns/Program.h"
#include "Wire/ProxyHeader.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>

namespace wisteriadock {

namespace {

    // How long the run waits for the replies to the last packets.
    constexpr Duration replyGracePeriod = std::chrono::milliseconds(500);
    // Packets that are due within minTimerDelay are sent together.
    constexpr Duration minTimerDelay = std::chrono::milliseconds(1);
    constexpr Duration maxTimerDelay = std::chrono::milliseconds(100);

    Error invalidOption(std::string_view option, std::string_view expected)
    {
        return { ErrorCode::InvalidArgument, fmt::format("{}; expected {}", option, expected) };
    }

    Result<void> check(const CallerStandInOptions& options)
    {
        const CallerFlowOptions& flows = options.flows;
        if (flows.services.empty() && (flows.flowsPerSecond > 0 || options.requests.requestsPerSecond > 0))
            return invalidOption("services", "one service or more");
        if (flows.jitter < 0 || flows.jitter > 1)
            return invalidOption("jitter", "0 to 1");
        if (flows.lifetimeExponent <= 0)
            return invalidOption("lifetime_exponent", "a number above 0");
        if (flows.packetInterval <= Duration::zero() || flows.minLifetime <= Duration::zero())
            return invalidOption("packet_interval_milliseconds, shortest_flow_seconds", "numbers above 0");
        if (options.requests.minWork > options.requests.maxWork)
            return invalidOption("shortest_work_milliseconds", "not above longest_work_milliseconds");
        if (options.requests.maxAnswerBytes == 0)
            return invalidOption("answer_bytes", "a number above 0");
        return boost::outcome_v2::success();
    }

}

CallerStandIn::CallerStandIn(boost::asio::io_context& context, const CallerStandInOptions& options, TimePoint start)
    : context_(context)
    , options_(options)
    , end_(start + options.flows.runTime)
    , flows_(options.flows, start)
    , requests_(options.requests, start)
    , timer_(context)
{
    for (const Endpoint& balancer : options.balancers)
        clients_.push_back(std::make_unique<Http2Client>(context, balancer));
}

Result<std::unique_ptr<CallerStandIn>> CallerStandIn::start(
    boost::asio::io_context& context, const CallerStandInOptions& options)
{
    BOOST_OUTCOME_TRYV(check(options));
    std::unique_ptr<CallerStandIn> caller(new CallerStandIn(context, options, Clock::now()));
    BOOST_OUTCOME_TRY(socket, DatagramSocket::bind(context, options.replyListen));
    caller->socket_ = std::move(socket);
    CallerStandIn* const self = caller.get();
    caller->socket_->receive([self](std::span<const std::uint8_t> datagram) { self->handleDatagram(datagram); });
    caller->scheduleNextEvent();
    return caller;
}

void CallerStandIn::printListeningLines() const { printListening("replies", replyAddress()); }

void CallerStandIn::printFinalCounts() const
{
    const CallerFlowCounts& flows = flows_.counts();
    printCount("flows_opened", flows.flowsOpened);
    printCount("flows_established", flows.flowsEstablished);
    printCount("flows_not_established", flows.flowsNotEstablished);
    printCount("flows_ended", flows.flowsEnded);
    printCount("flows_broken", flows.flowsBroken);
    printCount("flows_stalled", flows.flowsStalled);
    printCount("flows_skipped", flows.flowsSkipped);
    printCount("wrong_service_packets", flows.wrongServicePackets);
    printCount("openings_elsewhere", flows.openingsAtOtherServers);
    printCount("packets_sent", flows.packetsSent);
    printCount("replies", flows.replies);
    printCount("late_replies", flows.lateReplies);
    printCount("malformed_datagrams", malformedDatagrams_);
    printCount("send_drops", socket_->sendDrops());

    const CallerRequestCounts& requests = requests_.counts();
    printCount("requests_sent", requests.requestsSent);
    printCount("request_tries_sent", requests.attemptsSent);
    printCount("requests_answered", requests.endedAs(RequestOutcome::Answered));
    printCount("requests_refused", requests.endedAs(RequestOutcome::Refused));
    printCount("requests_unknown", requests.endedAs(RequestOutcome::Unknown));
    printCount("requests_lost", requests.endedAs(RequestOutcome::Lost));
    // Above 0 only after a run that was stopped early.
    printCount("requests_open", requests_.openRequests());
    printCount("requests_cancelled", requests.endedAs(RequestOutcome::Cancelled));
    printCount("requests_wrong_answer", requests.endedAs(RequestOutcome::WrongAnswer));
    printCount("requests_wrong_service", requests.wrongServiceAnswers);
    printCount("requests_skipped", requests.skipped);
}

Result<void> CallerStandIn::writeRecords() const
{
    if (options_.recordFile.empty())
        return boost::outcome_v2::success();
    std::ofstream file(options_.recordFile);
    file << callerRecordsOf(flows_, requests_).dump() << '\n';
    file.close();
    if (!file)
        return Error { ErrorCode::Unavailable, fmt::format("'{}' can't be written", options_.recordFile) };
    return boost::outcome_v2::success();
}

void CallerStandIn::handleDatagram(std::span<const std::uint8_t> datagram)
{
    const auto packet = decodeProxiedPacket(datagram);
    if (!packet) {
        ++malformedDatagrams_;
        return;
    }
    const auto payload = decodeFlowPayload(packet.value().payload);
    // The destination in the header must be the flow's client.
    if (!payload || packet.value().header.service != clientEndpointOf(payload.value().flow)) {
        ++malformedDatagrams_;
        return;
    }
    flows_.handle(payload.value(), Clock::now());
}

void CallerStandIn::processDueEvents()
{
    const TimePoint now = Clock::now();
    if (now < end_)
        sendPackets(now);
    else
        flows_.stop();
    sendRequests(now);
    if (isOver(now))
        context_.stop();
    else
        scheduleNextEvent();
}

void CallerStandIn::scheduleNextEvent()
{
    const TimePoint now = Clock::now();
    const TimePoint wanted = std::min(flows_.nextEvent(), requests_.nextEvent());
    timer_.expires_at(std::clamp(wanted, now + minTimerDelay, now + maxTimerDelay));
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            processDueEvents();
    });
}

void CallerStandIn::sendPackets(TimePoint now)
{
    packets_.clear();
    flows_.poll(now, packets_);
    for (const CallerPacket& packet : packets_) {
        std::array<std::uint8_t, maxProxyHeaderBytes> header;
        const std::size_t headerSize = encodeProxyHeader(packet.header, header);
        socket_->send(options_.fabric, std::span(header).first(headerSize), encodeFlowPayload(packet.payload));
    }
    socket_->flush();
}

void CallerStandIn::sendRequests(TimePoint now)
{
    std::vector<PlannedRequest> due;
    requests_.poll(now, due);
    for (const PlannedRequest& planned : due)
        sendRequest(planned);
}

void CallerStandIn::sendRequest(const PlannedRequest& planned)
{
    Http2Client* const client = clients_[planned.balancer].get();
    const auto requestId = client->send(planned.request, planned.deadline,
        [this, id = planned.id](const HttpOutcome& outcome) { requests_.handle(id, outcome, Clock::now()); });
    if (planned.cancelAt == TimePoint::max())
        return;
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, planned.cancelAt);
    timer->async_wait([client, timer, requestId](const boost::system::error_code& error) {
        if (!error)
            client->cancel(requestId);
    });
}

// Every request ends, since each attempt has a deadline.
bool CallerStandIn::isOver(TimePoint now) const
{
    return now >= end_ + replyGracePeriod && requests_.openRequests() == 0;
}

}
