#pragma once

#include "Core/Clock.h"
#include "Core/Endpoint.h"
#include "Core/Identifiers.h"
#include "Membership/Member.h"
#include "News/NewsBook.h"
#include "News/NewsMessages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace wisteriadock {

struct NewsSettings {
    // How long a balancer waits for news to be pushed to it, once it has heard that others have it, before it asks.
    std::chrono::milliseconds patience { 300 };
    // How much longer it waits before it asks another zone, since bytes between zones are dear: its zone's watchers ask
    // first, and tell the others.
    std::chrono::milliseconds farPatience { 600 };
    // How long one that knows nothing yet leaves it to the store, which answers everybody at once, before it asks
    // others for everything.
    std::chrono::milliseconds firstPatience { 1500 };
    // The same while one is ahead whose link is wider by so many classes (bandwidthClassOf(): 3 are a factor of 4 at
    // least): with 10,000 routes the store's answer takes 2.3 s on a link of 10 Mbit/s, and a neighbour's packed one
    // 0.2 s. Longer than the store's answer takes while configurations are small, so that nobody is asked then.
    std::chrono::milliseconds widePatience { 300 };
    int muchWider = 3;
    // In a zone of more than this many, requests spread over a time, and whoever has been answered tells a few others,
    // so that not all ask the watchers.
    std::size_t largeZone = 12;
    std::chrono::milliseconds spread { 500 };
    std::size_t announcements = 4;
    // Who has read everything tells so many that know nothing that its link gives each of them so much of it: a packed
    // configuration of 10,000 routes, 3 Mbit, then takes 0.6 s. More would ask it at once and wait for each other.
    std::uint32_t megabitsForEachUninformed = 5;
    // How long nothing of an answer may come, before another balancer is asked. Measured from the last bytes, since all
    // of a zone fetch a large configuration at once over thin links: when each gave up after 0.8 s and began anew, the
    // last balancer of a zone had a server's leaving after 5.2 s instead of 1 s (71 balancers, links of 10 Mbit/s).
    std::chrono::milliseconds answerWithin { 800 };
    // Payload of a push; what does not fit into one is sent in several, and a larger item is fetched by the receiver.
    std::size_t pushBytes = 1100;
    // Datagrams for one piece of news; above it the zone is only told that there is news. 400 keep a link of 10 Mbit/s
    // busy for 0.35 s.
    std::size_t mostPushes = 400;
};

// News for one balancer that fits into a datagram.
struct PushNews {
    Endpoint to;
    NewsDelta delta;
};

// Ask this balancer for everything after the revision; give the answer to handleAnswer(), or call handleNoAnswer().
struct FetchNews {
    BalancerId from;
    Endpoint address;
    std::uint64_t after = 0;
    // What the answer may hold.
    NewsBook::Form form = NewsBook::Form::Whole;
};

// Something became new: the rest of the process shall act on it.
struct NewsChanged {
    std::vector<NewsItem> items;
    bool isInDoubt = false;
    // Who told it: the store, or a balancer.
    std::string source;
    // How long this balancer had known that others are ahead; zero when it heard the news first.
    Duration behind {};
    // The book is complete up to here.
    std::uint64_t revision = 0;
};

using NewsAction = std::variant<PushNews, FetchNews, NewsChanged>;
using NewsActions = std::vector<NewsAction>;

// Spreads the platform's news among balancers. Those that watch the store push what they learn to the others of their
// availability zone. Membership tells everybody how far everybody is; a balancer that stays behind fetches from one
// that is ahead, so news gets around also when pushes are lost, when all watchers of a zone are turned away by the
// store, and when only another zone reaches it. The shell calls it from one thread and does what the actions say.
class NewsExchange {
public:
    NewsExchange(std::string availabilityZone, std::uint64_t seed, NewsSettings settings = {});

    // News of the store itself, which this balancer shares with its zone, if it is for others.
    NewsActions handleStore(const NewsDelta&, TimePoint now, bool isForOthers = true);
    NewsActions handlePush(BalancerId sender, const NewsDelta&, TimePoint now);
    NewsActions handleAnswer(const std::string& sender, const NewsDelta&, TimePoint now);
    NewsActions handleNoAnswer(TimePoint now);
    // Bytes of the answer in progress came.
    void noteAnswering(TimePoint now);
    // Whether this balancer watches the store, and whether the store answers it.
    void setRole(bool isWatcher, bool isStoreLost);
    // Whether this balancer, while it knows nothing, asks others without waiting for the store.
    void setAsksAtOnce(bool asksAtOnce) { asksAtOnce_ = asksAtOnce; }
    NewsActions handleView(std::shared_ptr<const MembersView>, TimePoint now);
    NewsActions tick(TimePoint now);

    const NewsBook& book() const { return book_; }
    // When tick() should be called next, if nothing happens before; none when there is nothing to wait for.
    std::optional<TimePoint> nextTick() const;
    // Since when others are known to be ahead of this balancer; none when nobody is.
    std::optional<TimePoint> behindSince() const { return behindSince_; }
    // When the store last told this balancer or its zone's watcher something that is certain (NewsDelta::isFresh).
    TimePoint storeHeardAt() const { return storeHeardAt_; }
    // Whether somebody in the zone is known whose link is much wider than this balancer's.
    bool knowsMuchWider() const;
    // The highest revision that another balancer is known to have; 0 when none is known.
    std::uint64_t newestElsewhere() const;

private:
    NewsActions report(const std::string& source, const NewsDelta&, NewsBook::Changed, TimePoint now) const;
    void push(const NewsDelta&, NewsActions&) const;
    void announce(NewsActions&);
    void announceToUninformed(NewsActions&);
    Duration patienceFor(bool hasNearSource) const;
    bool isAnyMuchWider(const std::vector<const Member*>&) const;
    std::vector<const Member*> othersInZone() const;
    void review(TimePoint now, NewsActions&);
    std::vector<const Member*> sources(bool isNear) const;
    const Member* choose(std::vector<const Member*> members);
    // How far a member is, by what it pushed and by what membership says.
    std::uint64_t revisionOf(const Member&) const;

    const std::string availabilityZone_;
    const NewsSettings settings_;
    std::mt19937_64 random_;
    NewsBook book_;
    std::shared_ptr<const MembersView> view_;
    // The revisions of pushes, which are ahead of what membership tells.
    std::map<BalancerId, std::uint64_t> heard_;
    std::optional<TimePoint> behindSince_;
    TimePoint storeHeardAt_ = TimePoint::min();
    // When the fetch in progress is given up.
    std::optional<TimePoint> fetchUntil_;
    TimePoint fetchedAt_;
    std::optional<BalancerId> lastSource_;
    // Whole after an answer whose patches were for a value that this balancer does not hold.
    NewsBook::Form fetchForm_ = NewsBook::Form::Patched;
    bool isWatcher_ = false;
    bool isStoreLost_ = false;
    bool asksAtOnce_ = false;
    // This balancer's own part of NewsSettings::spread, drawn anew for each wait.
    Duration jitter_ {};
};

}
