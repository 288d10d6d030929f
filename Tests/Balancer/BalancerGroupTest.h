#pragma once

#include "Balancer/PlatformTest.h"
#include "Balancer/RequestControl.h"
#include "Balancer/RequestFrontend.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// Base of tests with several balancers without packet paths, over real connections, with a platform and one backend
// server. The test sets the states of the members.
class BalancerGroupTest : public PlatformTest {
protected:
    struct Balancer {
        Member member;
        std::unique_ptr<PeerSocket> socket;
        std::unique_ptr<PlatformClient> platform;
        BackendServerSelector selector { {}, 1 };
        std::unique_ptr<RequestControl> control;
        std::unique_ptr<RequestFrontend> frontend;
        std::unique_ptr<Http2Client> caller;
    };
    // Holds the outcome once the call has ended.
    using Call = std::shared_ptr<std::optional<HttpOutcome>>;

    void SetUp() override;
    void TearDown() override;

    // Starts balancers and assigns them to the zones in turn.
    void start(std::size_t count, std::vector<std::string> zones = { "walu" });
    // Ends a balancer without a planned stop.
    void stopAbruptly(std::size_t index);
    // Gives each balancer a view of the members and their current states.
    void publishMembers();
    void configure(BackendServerState);

    Call call(std::size_t balancer, const HttpRequest&);
    static HttpRequest confirmation(const std::string& key);
    void awaitRuns(std::size_t count);
    HttpResponse await(const Call&);
    static std::string executedOf(const HttpResponse&);
    // The index of the balancer that owns the key by the first zone's ownership record on the platform.
    std::size_t ownerOf(const std::string& key);

    std::vector<std::string> zones_;
    std::deque<Balancer> balancers_;
    std::unique_ptr<Http2Server> server_;
    // All requests that the backend server has received.
    std::vector<std::shared_ptr<Http2Exchange>> runs_;

private:
    void startOne(std::size_t index);

    std::uint64_t revision_ = 0;
};

}
