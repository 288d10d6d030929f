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

// Some balancers without their packet paths, over real connections, between a platform and one backend server. The test
// says who is a member.
class BalancerGroupTest : public PlatformTest {
protected:
    struct Balancer {
        Member member;
        std::unique_ptr<PeerLink> socket;
        std::unique_ptr<PlatformClient> platform;
        BackendServerSelector selector { {}, 1 };
        std::unique_ptr<RequestControl> control;
        std::unique_ptr<RequestFrontend> frontend;
        std::unique_ptr<Http2Client> caller;
    };
    // The outcome, once there is one.
    using Call = std::shared_ptr<std::optional<HttpOutcome>>;

    void SetUp() override;
    void TearDown() override;

    // They stand in the zones in turn.
    void start(std::size_t count, std::vector<std::string> zones = { "walu" });
    // The balancer ends without a word.
    void stopAbruptly(std::size_t index);
    // Tells all who is in which state now.
    void publishMembers();
    void configure(BackendServerState);

    Call call(std::size_t balancer, const HttpRequest&);
    static HttpRequest confirmation(const std::string& key);
    void awaitRuns(std::size_t count);
    HttpResponse await(const Call&);
    static std::string executedOf(const HttpResponse&);
    // The balancer that owns the key of the first zone by the platform's record.
    std::size_t ownerOf(const std::string& key);

    std::vector<std::string> zones_;
    std::deque<Balancer> balancers_;
    std::unique_ptr<Http2Server> server_;
    // What the backend server got to run, ever.
    std::vector<std::shared_ptr<Http2Exchange>> runs_;

private:
    void startOne(std::size_t index);

    std::uint64_t revision_ = 0;
};

}
