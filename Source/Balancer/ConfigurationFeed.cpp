#include "Balancer/ConfigurationFeed.h"

#include "Configuration/ConfigurationContent.h"
#include "Peers/ConfigurationWatchers.h"

#include <fmt/format.h>

#include <chrono>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto pollPeriod = 100ms;
    constexpr auto fetchTimeout = 3000ms;
    constexpr auto warningPeriod = 30s;

}

ConfigurationFeed::ConfigurationFeed(boost::asio::io_context& context, PlatformClient& platform, std::uint64_t seed)
    : timer_(context)
    , platform_(platform)
    , watch_(platform, std::string(configurationHeadKey), seed,
          [this](const PlatformEntry& entry) { downloadFromPlatform(entry); })
    , peers_(context, seed,
          [this](const std::string& head, const ConfigurationFetch& fetch) { downloadFromPeer(head, fetch); })
{
}

void ConfigurationFeed::start(std::shared_ptr<const MembersView> view, Handler onVersion)
{
    view_ = std::move(view);
    onVersion_ = std::move(onVersion);
    poll();
    schedulePoll();
}

void ConfigurationFeed::applyMembers(std::shared_ptr<const MembersView> view) { view_ = std::move(view); }

void ConfigurationFeed::schedulePoll()
{
    timer_.expires_after(pollPeriod);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        poll();
        schedulePoll();
    });
}

void ConfigurationFeed::poll()
{
    const TimePoint now = Clock::now();
    // The watch waits for a download from the platform, which decides whether the value has to be retried.
    const bool downloadsFromPlatform = download_.isRunning() && !downloadsFromPeer_;
    if (!downloadsFromPlatform && (!inForce_ || isConfigurationWatcher(*view_)))
        watch_.poll(now);
    if (!download_.isRunning())
        peers_.poll(*view_, version(), now);
    if (!inForce_)
        warnAboutMissingConfiguration(now);
}

void ConfigurationFeed::downloadFromPlatform(const PlatformEntry& entry)
{
    const auto fetch = [this](const std::string& key, std::function<void(Result<std::string>)> onValue) {
        const auto onEntry = [onValue = std::move(onValue)](const Result<PlatformEntry>& part) {
            if (part)
                onValue(part.value().value);
            else
                onValue(part.error());
        };
        platform_.get(key, Clock::now() + fetchTimeout, onEntry);
    };
    // Abandons a download from another balancer: the platform has precedence.
    if (download_.isRunning() && downloadsFromPeer_)
        peers_.finish(false, Clock::now());
    downloadsFromPeer_ = false;
    download_.start(entry.value, fetch, [this](HeadAction action) {
        if (!finish(std::move(action), "the platform"))
            watch_.retry(Clock::now());
    });
}

void ConfigurationFeed::downloadFromPeer(const std::string& head, const ConfigurationFetch& fetch)
{
    // A download from the platform has precedence; the balancer is asked again should it fail.
    if (download_.isRunning()) {
        peers_.finish(false, Clock::now());
        return;
    }
    downloadsFromPeer_ = true;
    download_.start(head, fetch, [this](HeadAction action) {
        const bool isSuccess = finish(std::move(action), "another balancer");
        peers_.finish(isSuccess, Clock::now());
    });
}

bool ConfigurationFeed::finish(HeadAction action, std::string_view source)
{
    if (auto* newer = std::get_if<PutInForce>(&action)) {
        inForce_ = std::move(newer->version);
        lastProblem_.clear();
        log_.info(fmt::format("version {} from {} is in force", version(), source));
        onVersion_(*inForce_);
        return true;
    }
    const auto* problem = std::get_if<HeadProblem>(&action);
    if (!problem)
        return true;
    std::string text
        = fmt::format("no usable configuration from {}: {}: {}", source, nameOf(problem->kind), problem->detail);
    if (text != lastProblem_)
        log_.warning(text);
    lastProblem_ = std::move(text);
    // Retrying does not help with an older copy: the watch reports when the platform has a newer head.
    return problem->kind == HeadProblemKind::OlderCopy;
}

// Without a configuration the balancer knows no service and drops every packet, which could be mistaken for a broken
// fabric.
void ConfigurationFeed::warnAboutMissingConfiguration(TimePoint now)
{
    if (!nextWarning_) {
        nextWarning_ = now + 2s;
        return;
    }
    if (now < *nextWarning_)
        return;
    nextWarning_ = now + warningPeriod;
    log_.warning(fmt::format("no configuration yet, so no service is served: the platform {}, {} other balancers known",
        watch_.isUnreachable() ? "is unreachable" : "has none",
        view_->members.empty() ? 0 : view_->members.size() - 1));
}

}
