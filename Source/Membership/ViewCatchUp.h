#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wisteriadock {

// Reads the whole view from peers, page by page in the order of ids, at a bounded pace. Any peer may send any page, so
// a peer that dies halfway costs one interval.
class ViewCatchUp {
public:
    // A page that has not come for so long may be asked for again.
    explicit ViewCatchUp(Duration pageTimeout)
        : pageTimeout_(pageTimeout)
    {
    }

    // Starts from the first id, also in the middle of a catch-up.
    void start();
    bool isRunning() const { return running_; }
    // True once a whole view was read.
    bool isDone() const { return done_; }
    // Allows so many more requests.
    void beginInterval(std::size_t pages) { pagesLeft_ = pages; }
    // Whether the next page may be asked for now.
    bool mayRequest(TimePoint now) const;
    // The page that was asked for last has not come in time.
    bool isOverdue(TimePoint now) const { return requestedAt_ && now - *requestedAt_ >= pageTimeout_; }
    // Asks: gives the id after which the page is wanted.
    std::uint32_t request(TimePoint now);
    // Takes a page in; pages that were not asked for last are ignored.
    void pageReceived(std::uint32_t afterId, std::optional<std::uint32_t> lastId, bool isLastPage);

private:
    const Duration pageTimeout_;
    // When the page that is wanted was asked for; none when it was not.
    std::optional<TimePoint> requestedAt_;
    bool running_ = false;
    bool done_ = false;
    std::uint32_t afterId_ = 0;
    std::size_t pagesLeft_ = 0;
};

}
