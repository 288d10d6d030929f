#include "Balancer/BalancerGroupTest.h"

#include "Balancer/ClaimTermText.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

}

void BalancerGroupTest::SetUp()
{
    PlatformTest::SetUp();
    const auto run = [this](const std::shared_ptr<Http2Exchange>& exchange) { runs_.push_back(exchange); };
    server_ = std::move(Http2Server::listen(context_, anyLoopbackPort, run).value());
}

void BalancerGroupTest::TearDown()
{
    for (std::size_t i = 0; i < balancers_.size(); ++i)
        stopAbruptly(i);
}

void BalancerGroupTest::start(std::size_t count, std::vector<std::string> zones)
{
    zones_ = std::move(zones);
    for (std::size_t i = 0; i < count; ++i) {
        balancers_.emplace_back();
        startOne(i);
    }
    publishMembers();
    configure(BackendServerState::Active);
}

void BalancerGroupTest::startOne(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    const auto onMessage = [&balancer](const PeerEnvelope& envelope, Endpoint) {
        if (balancer.control)
            balancer.control->receive(envelope);
    };
    balancer.socket = std::move(PeerSocket::open(context_, anyLoopbackPort, onMessage).value());
    const auto builtInPages = [&balancer](const std::shared_ptr<Http2Exchange>& exchange) {
        if (exchange->request().path != "/wisteriadock/ticket")
            return false;
        exchange->respond(balancer.control->issueTicket());
        return true;
    };
    balancer.frontend
        = std::move(RequestFrontend::listen(context_, anyLoopbackPort, {}, balancer.selector, builtInPages).value());
    balancer.platform = std::make_unique<PlatformClient>(context_, standIn_->address());
    balancer.caller = std::make_unique<Http2Client>(context_, balancer.frontend->address());

    Member& member = balancer.member;
    member.name = "b" + std::to_string(index);
    member.id = balancerIdOf(member.name);
    member.availabilityZone = zones_[index % zones_.size()];
    member.peerAddress = balancer.socket->address();
    member.requestAddress = balancer.frontend->address();
    member.incarnation = 1000 + index;
    member.state = MemberState::Serving;

    RequestControlSettings settings;
    settings.self = { member.id, member.incarnation };
    settings.availabilityZone = member.availabilityZone;
    settings.zones = zones_;
    settings.seed = index;
    balancer.control = std::make_unique<RequestControl>(context_, *balancer.socket, *balancer.platform, settings);
    balancer.frontend->setControl(balancer.control.get());
}

void BalancerGroupTest::stopAbruptly(std::size_t index)
{
    Balancer& balancer = balancers_[index];
    balancer.frontend.reset();
    balancer.control.reset();
    balancer.socket.reset();
    balancer.member.state = MemberState::Dead;
}

void BalancerGroupTest::publishMembers()
{
    MembersView view;
    view.revision = ++revision_;
    for (const Balancer& balancer : balancers_)
        view.members.push_back(balancer.member);
    std::ranges::sort(view.members, {}, &Member::id);
    for (Balancer& balancer : balancers_) {
        view.self = balancer.member.id;
        if (balancer.control)
            balancer.control->applyMembers(std::make_shared<const MembersView>(view));
    }
}

void BalancerGroupTest::configure(BackendServerState state)
{
    Configuration configuration;
    configuration.services = { { .name = "tryon", .id = serviceIdOf("tryon"), .address = {} } };
    BackendServer server;
    server.name = "try1";
    server.id = backendServerIdOf("try1");
    server.service = serviceIdOf("tryon");
    server.availabilityZone = zones_.front();
    server.requestAddress = server_->address();
    server.slots = 6;
    server.state = state;
    configuration.backendServers = { server };
    const auto shared = std::make_shared<const Configuration>(configuration);
    for (Balancer& balancer : balancers_) {
        if (!balancer.control)
            continue;
        balancer.frontend->applyConfiguration(shared);
        balancer.control->applyConfiguration(shared);
    }
}

BalancerGroupTest::Call BalancerGroupTest::call(std::size_t balancer, const HttpRequest& request)
{
    auto outcome = std::make_shared<std::optional<HttpOutcome>>();
    balancers_[balancer].caller->send(
        request, Clock::now() + 20s, [outcome](HttpOutcome result) { outcome->emplace(std::move(result)); });
    return outcome;
}

HttpRequest BalancerGroupTest::confirmation(const std::string& key)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/confirmations";
    request.authority = "tryon";
    request.body = std::string(50'000, 'c');
    if (!key.empty())
        request.headers = { { "idempotency-key", key } };
    return request;
}

void BalancerGroupTest::awaitRuns(std::size_t count)
{
    runUntil([&] { return runs_.size() >= count; });
}

HttpResponse BalancerGroupTest::await(const Call& call)
{
    runUntil([&] { return call->has_value(); });
    if (!call->has_value() || !(*call)->has_value()) {
        ADD_FAILURE() << "the call got no answer";
        return {};
    }
    return (*call)->value();
}

std::string BalancerGroupTest::executedOf(const HttpResponse& response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("executed", "") : "";
}

std::size_t BalancerGroupTest::ownerOf(const std::string& key)
{
    std::optional<BalancerInstance> owner;
    const KeyDigest digest = RequestKey::parse(key, zones_).value().digest;
    operator_->get(claimTermKey(zones_.front()), Clock::now() + 20s, [&](const Result<PlatformEntry>& entry) {
        owner = readClaimTerm(entry.value().value).value().pairOf(claimBucketOf(digest))->owner;
    });
    runUntil([&] { return owner.has_value(); });
    const auto found
        = std::ranges::find_if(balancers_, [&](const Balancer& balancer) { return balancer.member.id == owner->id; });
    return found - balancers_.begin();
}

}
