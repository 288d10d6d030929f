#include "Soak/SoakStore.h"

#include "platform/StoreCodec.h"

#include <algorithm>

namespace wisteriadock {

namespace {

    using namespace std::chrono_literals;

    constexpr auto slowAnswer = 300ms;
    // As many items as the platform gives in one page.
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
    answerWaiting();
}

void SoakStore::remove(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    history_.push_back({ key, {}, ++revision_, true });
    answerWaiting();
}

void SoakStore::makeStale(bool isStale)
{
    stale_.reset();
    if (isStale)
        stale_ = Snapshot { items_, revision_ };
}

void SoakStore::handle(const std::shared_ptr<Http1Exchange>& exchange)
{
    ++calls_;
    switch (trouble_) {
    case Trouble::Busy:
        exchange->respond(responseOf(503));
        return;
    case Trouble::Silent:
        neverAnswered_.push_back(exchange);
        return;
    case Trouble::Slow: {
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_, slowAnswer);
        timer->async_wait([this, timer, exchange](const boost::system::error_code& error) {
            if (!error)
                answer(exchange);
        });
        return;
    }
    case Trouble::None:
        neverAnswered_.clear();
        answer(exchange);
        return;
    }
}

void SoakStore::answer(const std::shared_ptr<Http1Exchange>& exchange)
{
    if (const auto list = platform::listCallOf(exchange->request())) {
        PlatformPage page;
        const bool isStale = list->mayBeStale && stale_;
        page.revision = isStale ? stale_->revision : revision_;
        for (const auto& [key, item] : isStale ? stale_->items : items_) {
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
    if (call.revision < forgottenTo_) {
        exchange->respond(responseOf(platform::historyGoneStatus));
        return;
    }
    const PlatformChanges changes = changesAfter(call);
    if (!changes.items.empty()) {
        exchange->respond(responseOf(200, platform::encodeChanges(changes)));
        return;
    }
    const std::uint64_t number = nextWaiting_++;
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_, call.wait);
    waiting_[number] = { exchange, call, timer };
    timer->async_wait([this, number](const boost::system::error_code& error) {
        const auto found = error ? waiting_.end() : waiting_.find(number);
        if (found == waiting_.end())
            return;
        const Waiting waiting = std::move(found->second);
        waiting_.erase(found);
        waiting.exchange->respond(responseOf(200, platform::encodeChanges(changesAfter(waiting.call))));
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

void SoakStore::answerWaiting()
{
    if (trouble_ == Trouble::Silent || trouble_ == Trouble::Busy)
        return;
    std::erase_if(waiting_, [&](const auto& row) {
        const PlatformChanges changes = changesAfter(row.second.call);
        if (changes.items.empty())
            return false;
        row.second.timer->cancel();
        row.second.exchange->respond(responseOf(200, platform::encodeChanges(changes)));
        return true;
    });
}

}
