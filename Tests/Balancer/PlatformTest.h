#pragma once

#include "Balancer/LoopbackTest.h"
#include "Configuration/ConfigurationContent.h"
#include "Configuration/ConfigurationWriter.h"
#include "Configuration/ContentReader.h"
#include "KeyValue/PlatformClient.h"
#include "Net/Http2Client.h"
#include "StandIns/Platform/PlatformStandIn.h"

#include <fmt/format.h>

#include <memory>
#include <optional>
#include <string>

namespace wisteriadock {

// Base of tests with a platform stand-in, to which they apply configuration versions as an operator does.
class PlatformTest : public LoopbackTest {
protected:
    void SetUp() override
    {
        auto standIn = PlatformStandIn::listen(context_, anyLoopbackPort);
        ASSERT_TRUE(standIn);
        standIn_ = std::move(standIn.value());
        operator_ = std::make_unique<PlatformClient>(context_, standIn_->address());
        admin_ = std::make_unique<Http2Client>(context_, standIn_->address());
        platform_ = std::make_unique<PlatformClient>(context_, standIn_->address());
    }

    static ConfigurationVersion versionOf(std::uint64_t number, const Configuration& configuration)
    {
        ConfigurationVersion version;
        version.text = writeConfiguration(configuration);
        version.configuration = configuration;
        version.head.applied.version = number;
        version.head.applied.applyId = fmt::format("apply-{}", number);
        version.head.applied.contentHash = contentHashOf(version.text);
        version.head.applied.author = "salote";
        version.head.baseVersion = number - 1;
        version.head.contentBytes = version.text.size();
        return version;
    }

    void apply(const ConfigurationVersion& version)
    {
        write(contentPartKey(version.head.applied.contentHash, 0), version.text);
        write(std::string(configurationHeadKey), version.head.toJson());
    }

    // Sends a command to the admin interface of the stand-in (docs/design/platform.md).
    void administer(const std::string& path, const std::string& body)
    {
        bool isDone = false;
        HttpRequest request;
        request.method = "POST";
        request.path = path;
        request.authority = "platform";
        request.body = body;
        admin_->send(request, Clock::now() + std::chrono::seconds(20), [&](const HttpOutcome& outcome) {
            isDone = true;
            ASSERT_TRUE(outcome);
            ASSERT_EQ(outcome.value().status, 200) << outcome.value().body;
        });
        runUntil([&] { return isDone; });
    }

    std::shared_ptr<PlatformStandIn> standIn_;
    std::unique_ptr<PlatformClient> operator_;
    std::unique_ptr<Http2Client> admin_;
    std::unique_ptr<PlatformClient> platform_;

private:
    void write(const std::string& key, const std::string& value)
    {
        const TimePoint deadline = Clock::now() + std::chrono::seconds(20);
        std::optional<std::uint64_t> revision;
        operator_->get(
            key, deadline, [&](const Result<PlatformEntry>& entry) { revision = entry ? entry.value().revision : 0; });
        runUntil([&] { return revision.has_value(); });
        bool isWritten = false;
        operator_->compareAndSwap(key, *revision, value, {}, deadline,
            [&](const Result<std::uint64_t>& result) { isWritten = result.has_value(); });
        runUntil([&] { return isWritten; });
    }
};

}
