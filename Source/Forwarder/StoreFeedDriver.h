#pragma once

#include "Forwarder/ForwarderMetrics.h"
#include "KeyValue/KeyValueClient.h"
#include "Net/Http1Client.h"
#include "StoreSync/ReplicaFreshness.h"
#include "StoreSync/StoreFeed.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <utility>

namespace wisteriadock {

// Runs StoreFeed against the platform's store over HTTP/1.1: sends the listings and watches that StoreFeed requests,
// hands it the answers and counts the calls in ForwarderMetrics. Forwarder owns it and calls tick() regularly.
template <typename Adapter> class StoreFeedDriver {
public:
    // Called with the actions that StoreFeedDriver does not perform itself: DeltaReceived, ListingEnded,
    // StoreEraChanged, StoreAsked, StoreUnreachable and StoreReachable.
    using Handler = std::function<void(const StoreFeedAction&)>;

    StoreFeedDriver(boost::asio::io_context& context, Endpoint store, std::uint64_t seed,
        const StoreFeedSettings& settings, ForwarderMetrics& metrics, Handler handler)
        : client_(context, store, Http1Limits {})
        , feed_(seed, settings)
        , metrics_(metrics)
        , handler_(std::move(handler))
    {
    }

    void start(TimePoint now) { perform(feed_.start(now)); }
    void update(std::uint64_t completeTo, bool shallWatch, std::optional<TimePoint> behindSince, TimePoint now)
    {
        perform(feed_.update(completeTo, shallWatch, behindSince, now));
    }
    void askForChanges(const AskStore& question, TimePoint now) { perform(feed_.askForChanges(question.timeout, now)); }
    void noteContradiction(TimePoint now) { perform(feed_.noteContradiction(now)); }
    void tick(BetterReaders betterReaders, TimePoint now)
    {
        feed_.setBetterReaders(betterReaders);
        if (const auto progress = client_.http().progress())
            perform(feed_.handlePageProgress(progress->received, progress->total, now));
        perform(feed_.tick(now));
    }

    const StoreFeed& feed() const { return feed_; }
    std::uint64_t bytesTransferred() const { return client_.http().bytesTransferred(); }

private:
    void perform(const StoreFeedActions& actions)
    {
        for (const StoreFeedAction& action : actions) {
            if (const auto* list = std::get_if<SendList>(&action))
                send(*list);
            else if (const auto* watch = std::get_if<SendWatch>(&action))
                send(*watch);
            else if (const auto* sample = std::get_if<SendSample>(&action))
                send(*sample);
            else if (std::holds_alternative<CancelListing>(action))
                client_.http().cancelAll();
            else
                handler_(action);
        }
    }

    void send(const SendList& list)
    {
        const TimePoint sent = Clock::now();
        client_.send(list.call, sent + list.timeout, [this, sent](const Result<PlatformPage>& page) {
            const TimePoint now = Clock::now();
            count("list", page, now - sent);
            perform(feed_.handlePage(page, now));
        });
    }

    void send(const SendSample& request)
    {
        const TimePoint sent = Clock::now();
        client_.send(request.call, sent + request.timeout, [this, sent](const Result<PlatformPage>& sample) {
            const TimePoint now = Clock::now();
            count("sample", sample, now - sent);
            perform(feed_.handleSample(sample, now));
        });
    }

    void send(const SendWatch& watch)
    {
        const TimePoint sent = Clock::now();
        client_.send(watch.call, sent + watch.timeout,
            [this, sent, number = watch.number](const Result<PlatformChanges>& changes) {
                const TimePoint now = Clock::now();
                count("watch", changes, now - sent);
                perform(feed_.handleChanges(number, changes, now));
            });
    }

    template <typename Value> void count(const char* call, const Result<Value>& result, Duration duration)
    {
        // The other connections to a store that stopped answering are probably dead too.
        if (!result)
            client_.http().closeIdle();
        metrics_.countStoreCall(call, result ? "ok" : std::string(nameOf(result.error().code)), duration);
    }

    KeyValueClient<Http1Client, typename Adapter::StoreCodec> client_;
    StoreFeed feed_;
    ForwarderMetrics& metrics_;
    Handler handler_;
};

}
