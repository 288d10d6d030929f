#include "Balancer/ConfigurationFeed.h"

#include "Balancer/ConfigurationPages.h"
#include "Balancer/PlatformTest.h"

#include <algorithm>
#include <optional>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    class ConfigurationFeedTest : public PlatformTest {
    protected:
        // Makes a version with one service whose address depends on the number.
        static ConfigurationVersion makeVersion(std::uint64_t number)
        {
            Configuration configuration;
            Service service;
            service.name = "tryon";
            service.id = serviceIdOf("tryon");
            service.address = { 0xc0000200 + static_cast<std::uint32_t>(number), 443 };
            BackendServer server;
            server.name = "try1";
            server.id = backendServerIdOf("try1");
            server.service = service.id;
            server.availabilityZone = "walu";
            server.flowAddress = { 0x0a000001, 5000 };
            server.requestAddress = { 0x0a000001, 5001 };
            configuration.services = { service };
            configuration.backendServers = { server };
            return versionOf(number, configuration);
        }

        void startFeed()
        {
            feed_ = std::make_unique<ConfigurationFeed>(context_, *platform_, 5);
            feed_->start(std::make_shared<const MembersView>(),
                [this](const ConfigurationVersion& version) { versions_.push_back(version.head.applied.version); });
        }

        void awaitVersion(std::uint64_t version)
        {
            runUntil([&] { return feed_->version() == version; });
        }

        // Starts another balancer that has this version in force.
        void startPeer(std::optional<ConfigurationVersion> version)
        {
            const auto serve = [this, version = std::move(version)](const std::shared_ptr<Http2Exchange>& exchange) {
                ++peerRequests_;
                exchange->respond(*renderConfiguration(exchange->request().path, version));
            };
            auto server = Http2Server::listen(context_, anyLoopbackPort, serve);
            ASSERT_TRUE(server);
            peer_ = std::move(server.value());
        }

        // Publishes a fleet in which this balancer does not watch the platform and the others advertise the version.
        void publishPeerVersion(std::uint64_t version)
        {
            MembersView view;
            view.self = balancerIdOf("b1");
            for (const auto* name : { "b1", "b2", "b3" }) {
                Member member;
                member.id = balancerIdOf(name);
                member.name = name;
                member.requestAddress = peer_->address();
                member.state = member.id == view.self ? MemberState::Joining : MemberState::Serving;
                member.configurationVersion = member.id == view.self ? 0 : version;
                view.members.push_back(member);
            }
            std::sort(view.members.begin(), view.members.end(),
                [](const Member& first, const Member& second) { return first.id < second.id; });
            feed_->applyMembers(std::make_shared<const MembersView>(view));
        }

        std::unique_ptr<Http2Server> peer_;
        std::unique_ptr<ConfigurationFeed> feed_;
        std::vector<std::uint64_t> versions_;
        int peerRequests_ = 0;
    };

    TEST_F(ConfigurationFeedTest, FollowsThePlatform)
    {
        startFeed();
        apply(makeVersion(1));
        awaitVersion(1);
        apply(makeVersion(2));
        awaitVersion(2);
        EXPECT_EQ(versions_, (std::vector<std::uint64_t> { 1, 2 }));
        EXPECT_EQ(feed_->inForce()->configuration, makeVersion(2).configuration);
    }

    // Guards against versions that never come into force after the platform was restored from an older copy.
    TEST_F(ConfigurationFeedTest, AppliesNewVersionsAfterPlatformRestore)
    {
        startFeed();
        apply(makeVersion(1));
        awaitVersion(1);
        administer("/admin/snapshot", R"({"name":"old"})");
        apply(makeVersion(2));
        awaitVersion(2);

        administer("/admin/restore", R"({"name":"old"})");
        apply(makeVersion(3));
        awaitVersion(3);
        EXPECT_EQ(versions_, (std::vector<std::uint64_t> { 1, 2, 3 }));
    }

    // Guards against a balancer that starts while the platform is unreachable and serves nothing until it is back.
    TEST_F(ConfigurationFeedTest, FetchesFromPeerWhilePlatformIsUnreachable)
    {
        administer("/admin/faults", R"({"down":"unavailable"})");
        startPeer(makeVersion(4));
        startFeed();
        publishPeerVersion(4);
        awaitVersion(4);
        EXPECT_EQ(feed_->inForce()->text, makeVersion(4).text);
        EXPECT_GT(feed_->peerBytes(), makeVersion(4).text.size());
    }

    TEST_F(ConfigurationFeedTest, RetriesWhenPeerHasNoConfiguration)
    {
        administer("/admin/faults", R"({"down":"unavailable"})");
        startPeer(std::nullopt);
        startFeed();
        publishPeerVersion(4);
        runUntil([&] { return peerRequests_ >= 2; });
        EXPECT_EQ(feed_->version(), 0U);
        startPeer(makeVersion(4));
        publishPeerVersion(4);
        awaitVersion(4);
    }

    // Guards against applying content that does not match its head, such as half a file.
    TEST_F(ConfigurationFeedTest, ContentThatDoesNotMatchHeadIsRejected)
    {
        ConfigurationVersion torn = makeVersion(4);
        torn.text.resize(torn.text.size() / 2);
        administer("/admin/faults", R"({"down":"unavailable"})");
        startPeer(torn);
        startFeed();
        publishPeerVersion(4);
        runUntil([&] { return peerRequests_ >= 4; });
        EXPECT_TRUE(versions_.empty());
    }

    // Guards against callbacks into a destroyed feed.
    TEST_F(ConfigurationFeedTest, FeedIsDestroyedDuringDownload)
    {
        startPeer(makeVersion(4));
        startFeed();
        publishPeerVersion(4);
        runUntil([&] { return peerRequests_ >= 1; });
        feed_.reset();
        context_.restart();
        context_.poll();
    }

    TEST_F(ConfigurationFeedTest, ServesVersionInForceToPeers)
    {
        const std::optional<ConfigurationVersion> version = makeVersion(7);
        EXPECT_EQ(renderConfiguration("/configuration", std::nullopt)->status, 404);
        EXPECT_FALSE(renderConfiguration("/configurations", version));

        const auto page = nlohmann::json::parse(renderConfiguration("/configuration", version)->body);
        EXPECT_EQ(page.at("version"), 7);
        EXPECT_EQ(page.at("hash"), version->head.applied.contentHash);
        EXPECT_EQ(page.at("text"), version->text);

        const std::string part = configurationPathOf(contentPartKey(version->head.applied.contentHash, 0));
        EXPECT_EQ(renderConfiguration(part, version)->body, version->text);
        EXPECT_EQ(renderConfiguration(part + "1", version)->status, 404);
    }

}

}
