#include "Soak/SoakStore.h"

#include "platform/StoreCodec.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto slowResponseDelay = 300ms;
    // The page size of the platform's store.
    constexpr std::size_t pageItems = 500;
    // Small enough for several pages of a run's entries, which are about a dozen.
    constexpr std::size_t mixedPageItems = 4;

    HttpResponse responseOf(int status, std::uint64_t era, std::string body = {})
    {
        HttpResponse response;
        response.status = status;
        response.headers.push_back({ platform::eraHeader, std::to_string(era) });
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

void SoakStore::setStaleReads(StaleReads staleReads)
{
    staleReads_ = staleReads;
    staleCopy_.reset();
    if (staleReads != StaleReads::None)
        staleCopy_ = copy();
}

bool SoakStore::holds(const std::string& key, const std::string& value) const
{
    const auto found = items_.find(key);
    return found != items_.end() && found->second.value == value;
}

void SoakStore::restore(const Copy& copy, WaitingWatches waiting)
{
    items_ = copy.items;
    revision_ = copy.revision;
    compactedRevision_ = std::min(compactedRevision_, revision_);
    std::erase_if(history_, [this](const PlatformItem& item) { return item.revision > revision_; });
    ++era_;
    if (waiting == WaitingWatches::Kept)
        return;
    for (const auto& [number, pending] : std::exchange(pendingWatches_, {})) {
        pending.timer->cancel();
        respond(*pending.exchange, 503);
    }
}

void SoakStore::respond(Http1Exchange& exchange, int status, std::string body) const
{
    exchange.respond(responseOf(status, era_, std::move(body)));
}

void SoakStore::handle(const std::shared_ptr<Http1Exchange>& exchange)
{
    ++calls_;
    switch (fault_) {
    case Fault::Busy:
        respond(*exchange, 503);
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
        const PlatformPage page = pageOf(*list);
        exchange->respond(responseOf(200, page.era, platform::encodePage(page)));
    } else if (const auto changes = platform::changesCallOf(exchange->request())) {
        watch(exchange, *changes);
    } else {
        respond(*exchange, 404);
    }
}

PlatformPage SoakStore::pageOf(const ListCall& call) const
{
    const std::size_t maxItems = staleReads_ == StaleReads::SecondPages ? mixedPageItems : pageItems;
    const auto position = static_cast<std::size_t>(std::distance(items_.begin(), items_.upper_bound(call.after)));
    const bool isShownStale = staleReads_ != StaleReads::SecondPages || position / maxItems % 2 == 1;
    const bool isStale = call.mayBeStale && staleCopy_ && isShownStale;
    PlatformPage page;
    page.revision = isStale ? staleCopy_->revision : revision_;
    page.era = isStale ? staleCopy_->era : era_;
    for (const auto& [key, item] : isStale ? staleCopy_->items : items_) {
        if (!key.starts_with(call.prefix) || key <= call.after)
            continue;
        page.hasMore = page.items.size() == maxItems;
        if (page.hasMore)
            break;
        page.items.push_back(item);
    }
    return page;
}

void SoakStore::watch(const std::shared_ptr<Http1Exchange>& exchange, const ChangesCall& call)
{
    if (call.revision < compactedRevision_ || call.revision > revision_) {
        respond(*exchange, platform::historyGoneStatus);
        return;
    }
    const PlatformChanges changes = changesAfter(call);
    if (!changes.items.empty()) {
        respond(*exchange, 200, platform::encodeChanges(changes));
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
        respond(*pending.exchange, 200, platform::encodeChanges(changesAfter(pending.call)));
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
        respond(*row.second.exchange, 200, platform::encodeChanges(changes));
        return true;
    });
}

}
