#include "Soak/SoakStore.h"

#include "platform/StoreCodec.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto slowResponseDelay = 300ms;
    // The page size of the platform's store.
    constexpr std::size_t pageItems = 500;

    HttpResponse responseOf(int status, std::string body = {})
    {
        HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

}

Result<std::unique_ptr<SoakStore>> SoakStore::open(boost::asio::io_context& context, Endpoint endpoint)
{
    std::unique_ptr<SoakStore> store(new SoakStore(context));
    BOOST_OUTCOME_TRY(server, Http1Server::listen(context, endpoint, [target = store.get()](const auto& exchange) {
        target->handle(exchange);
    }));
    store->server_ = std::move(server);
    return store;
}

void SoakStore::put(const std::string& key, std::string value)
{
    const PlatformItem item { key, std::move(value), ++revision_, false };
    items_[key] = item;
    history_.push_back(item);
    answerPendingWatches();
}

void SoakStore::remove(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    history_.push_back({ key, {}, ++revision_, true });
    answerPendingWatches();
}

void SoakStore::setStaleReads(bool isStale)
{
    staleSnapshot_.reset();
    if (isStale)
        staleSnapshot_ = Snapshot { items_, revision_ };
}

void SoakStore::handle(const std::shared_ptr<Http1Exchange>& exchange)
{
    ++calls_;
    switch (fault_) {
    case Fault::Busy:
        exchange->respond(responseOf(503));
        return;
    case Fault::Unresponsive:
        unanswered_.push_back(exchange);
        return;
    case Fault::Slow: {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_, slowResponseDelay);
        timer->async_wait([this, timer, exchange](const boost::system::error_code& error) {
            if (!error)
                answer(exchange);
        });
        return;
    }
    case Fault::None:
        unanswered_.clear();
        answer(exchange);
        return;
    }
}

void SoakStore::answer(const std::shared_ptr<Http1Exchange>& exchange)
{
    if (const auto list = platform::listCallOf(exchange->request())) {
        PlatformPage page;
        const bool isStale = list->mayBeStale && staleSnapshot_;
        page.revision = isStale ? staleSnapshot_->revision : revision_;
        for (const auto& [key, item] : isStale ? staleSnapshot_->items : items_) {
            if (!key.starts_with(list->prefix) || key <= list->after)
                continue;
            page.hasMore = page.items.size() == pageItems;
            if (page.hasMore)
                break;
            page.items.push_back(item);
        }
        exchange->respond(responseOf(200, platform::encodePage(page)));
    } else if (const auto changes = platform::changesCallOf(exchange->request())) {
        watch(exchange, *changes);
    } else {
        exchange->respond(responseOf(404));
    }
}

void SoakStore::watch(const std::shared_ptr<Http1Exchange>& exchange, const ChangesCall& call)
{
    if (call.revision < compactedRevision_) {
        exchange->respond(responseOf(platform::historyGoneStatus));
        return;
    }
    const PlatformChanges changes = changesAfter(call);
    if (!changes.items.empty()) {
        exchange->respond(responseOf(200, platform::encodeChanges(changes)));
        return;
    }
    const std::uint64_t number = nextWatchId_++;
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, call.wait);
    pendingWatches_[number] = { exchange, call, timer };
    timer->async_wait([this, number](const boost::system::error_code& error) {
        const auto found = error ? pendingWatches_.end() : pendingWatches_.find(number);
        if (found == pendingWatches_.end())
            return;
        const PendingWatch pending = std::move(found->second);
        pendingWatches_.erase(found);
        pending.exchange->respond(responseOf(200, platform::encodeChanges(changesAfter(pending.call))));
    });
}

PlatformChanges SoakStore::changesAfter(const ChangesCall& call) const
{
    PlatformChanges changes;
    changes.revision = revision_;
    for (const PlatformItem& item : history_) {
        if (item.revision > call.revision && item.key.starts_with(call.prefix))
            changes.items.push_back(item);
    }
    return changes;
}

void SoakStore::answerPendingWatches()
{
    if (fault_ == Fault::Unresponsive || fault_ == Fault::Busy)
        return;
    std::erase_if(pendingWatches_, [&](const auto& row) {
        const PlatformChanges changes = changesAfter(row.second.call);
        if (changes.items.empty())
            return false;
        row.second.timer->cancel();
        row.second.exchange->respond(responseOf(200, platform::encodeChanges(changes)));
        return true;
    });
}

}
