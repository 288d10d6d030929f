#pragma once

#include "Forward/TokenRouter.h"
#include "Forwarder/ForwarderLog.h"
#include "Forwarder/ForwarderMetrics.h"
#include "News/NewsExchange.h"

#include <utility>

namespace wisteriadock {

// Gives news its meaning: decodes what the store holds and hands it to the router. A value that can't be read is
// refused whole and logged, and what was held before stays.
template <typename Adapter> class NewsApplier {
public:
    NewsApplier(TokenRouter& router, ForwarderLog& log, ForwarderMetrics& metrics)
        : router_(router)
        , log_(log)
        , metrics_(metrics)
    {
    }

    void apply(const NewsChanged& news, TimePoint now)
    {
        metrics_.countNews(news.source, news.items.size());
        log_.news(news, now);
        for (const NewsItem& item : news.items) {
            if (item.key == Adapter::configurationKey)
                applyConfiguration(item, news, now);
            else if (const auto id = Adapter::serverIdOf(item.key))
                applyServer(*id, item, news, now);
        }
    }

private:
    void applyConfiguration(const NewsItem& item, const NewsChanged& news, TimePoint now)
    {
        // Operators replace the configuration and never take it away; without one nothing could be routed.
        if (item.isRemoved)
            return refuse(item, { ErrorCode::NotFound, "the configuration was removed; the last one stays" }, now);
        const auto configuration = Adapter::decodeConfiguration(item.value);
        if (!configuration)
            return refuse(item, configuration.error(), now);
        const bool isTaken = router_.applyConfiguration(configuration.value());
        log_.configuration(configuration.value().version, configuration.value().routes.size(), item.revision,
            news.source, isTaken, now);
    }

    void applyServer(const std::string& id, const NewsItem& item, const NewsChanged& news, TimePoint now)
    {
        if (item.isRemoved)
            return report(router_.removeServer(id, news.isInDoubt, now), item, news, now);
        const auto server = Adapter::decodeServer(id, item.value);
        if (!server)
            return refuse(item, server.error(), now);
        report(router_.putServer(server.value(), item.revision, now), item, news, now);
    }

    void report(
        const ServerDirectory::Transitions& transitions, const NewsItem& item, const NewsChanged& news, TimePoint now)
    {
        for (const ServerTransition& transition : transitions)
            log_.transition(transition, item.revision, news.source, now);
    }

    void refuse(const NewsItem& item, const Error& error, TimePoint now)
    {
        metrics_.countRefusedNews();
        log_.unreadable(item.key, error, now);
    }

    TokenRouter& router_;
    ForwarderLog& log_;
    ForwarderMetrics& metrics_;
};

}
