#pragma once

#include "Core/Clock.h"
#include "News/NewsMessages.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace wisteriadock {

// The keys of the platform's service that a balancer cares about, each at its newest revision, whoever told of it.
// Revisions come from one counter of the service, so news from the store and from any other balancer can be merged in
// any order and as often as it comes, and nothing ever goes back.
class NewsBook {
public:
    // What became new by an update.
    using Changed = std::vector<NewsItem>;

    // Merges what the sender knows. Items count also when something before them is missing; completeTo() then stays.
    Changed merge(const NewsDelta&, TimePoint now);
    // Whether the book would be complete after this delta.
    bool follows(const NewsDelta& delta) const { return delta.isWhole || delta.from <= completeTo_; }

    // Everything after a revision; the whole book when removals of that time are forgotten already.
    NewsDelta since(std::uint64_t revision, TimePoint now) const;
    // The book has all changes up to this revision; 0 before the first listing.
    std::uint64_t completeTo() const { return completeTo_; }

    // Forgets old removals.
    void tick(TimePoint now);

private:
    struct Row {
        NewsItem item;
        // When a balancer had it from the store, as far as this one knows.
        TimePoint at;
    };

    bool mergeItem(const NewsItem&, TimePoint now);

    absl::flat_hash_map<std::string, Row> rows_;
    std::uint64_t completeTo_ = 0;
    // The highest revision of a removal that was forgotten.
    std::uint64_t forgottenTo_ = 0;
};

}
