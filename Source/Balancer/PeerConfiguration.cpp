#include "Balancer/PeerConfiguration.h"

#include "Balancer/ConfigurationPages.h"
#include "Configuration/ConfigurationContent.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>
#include <vector>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto minPause = 300ms;
    constexpr auto maxPause = 8000ms;
    constexpr auto fetchTimeout = 3000ms;

    Error toError(const HttpFailure& failure)
    {
        return { ErrorCode::Unavailable, fmt::format("{}: {}", nameOf(failure.kind), failure.detail) };
    }

    Result<std::string> readAnswer(HttpOutcome outcome)
    {
        if (!outcome)
            return toError(outcome.error());
        HttpResponse& response = outcome.value();
        if (response.status != 200)
            return Error { ErrorCode::NotFound, fmt::format("status {}", response.status) };
        return std::move(response.body);
    }

}

PeerConfiguration::PeerConfiguration(boost::asio::io_context& context, std::uint64_t seed, Handler onHead)
    : context_(context)
    , onHead_(std::move(onHead))
    , backoff_(minPause, maxPause, seed)
    , random_(seed)
{
}

PeerConfiguration::~PeerConfiguration() = default;

void PeerConfiguration::poll(const MembersView& view, std::uint64_t version, TimePoint now)
{
    if (isAsking_)
        return;
    const Member* member = choose(view, version);
    if (!member) {
        nextAsk_.reset();
        backoff_.reset();
        return;
    }
    if (!nextAsk_)
        nextAsk_ = now + backoff_.next();
    if (now >= *nextAsk_)
        ask(*member);
}

void PeerConfiguration::finish(bool isSuccess, TimePoint now)
{
    isAsking_ = false;
    if (isSuccess)
        backoff_.reset();
    nextAsk_ = now + backoff_.next();
}

std::uint64_t PeerConfiguration::bytesTransferred() const
{
    return closedClientBytes_ + (client_ ? client_->bytesTransferred() : 0);
}

const Member* PeerConfiguration::choose(const MembersView& view, std::uint64_t version)
{
    const Member* self = view.findSelf();
    std::vector<const Member*> sameZone;
    std::vector<const Member*> otherZones;
    for (const Member& member : view.members) {
        if (member.id == view.self || member.state == MemberState::Dead || member.configurationVersion <= version)
            continue;
        const bool isSameZone = self && member.availabilityZone == self->availabilityZone;
        (isSameZone ? sameZone : otherZones).push_back(&member);
    }
    const auto& candidates = sameZone.empty() ? otherZones : sameZone;
    return candidates.empty() ? nullptr : candidates[random_() % candidates.size()];
}

void PeerConfiguration::ask(const Member& member)
{
    isAsking_ = true;
    if (client_)
        closedClientBytes_ += client_->bytesTransferred();
    client_ = std::make_unique<Http2Client>(context_, member.requestAddress);
    log_.debug(fmt::format("asking {} for version {}", member.name, member.configurationVersion));

    const auto fetchPart = [this](const std::string& key, std::function<void(Result<std::string>)> onValue) {
        fetch(key, std::move(onValue));
    };
    fetch(std::string(configurationHeadKey), [this, fetchPart, name = member.name](const Result<std::string>& head) {
        if (head) {
            onHead_(head.value(), fetchPart);
            return;
        }
        log_.warning(fmt::format("{} did not return its configuration: {}", name, head.error().toString()));
        finish(false, Clock::now());
    });
}

void PeerConfiguration::fetch(const std::string& key, std::function<void(Result<std::string>)> onValue)
{
    HttpRequest request;
    request.path = configurationPathOf(key);
    request.authority = "balancer";
    client_->send(std::move(request), Clock::now() + fetchTimeout,
        [onValue = std::move(onValue)](HttpOutcome outcome) { onValue(readAnswer(std::move(outcome))); });
}

}
