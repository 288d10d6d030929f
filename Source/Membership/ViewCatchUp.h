#pragma once

#include "Core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wisteriadock {

// Tracks the progress of reading the whole view from peers, page by page in the order of ids, at a bounded rate. Any
// peer can serve any page, so a peer that fails delays the catch-up by one page timeout only. Used by Membership.
class ViewCatchUp {
public:
    // A page that has not arrived within the timeout may be requested again.
    explicit ViewCatchUp(Duration pageTimeout)
        : pageTimeout_(pageTimeout)
    {
    }

    // Starts, or restarts, from the first id.
    void start();
    bool isRunning() const { return running_; }
    // True once a complete view was read.
    bool isDone() const { return done_; }
    // Sets the number of pages that may be requested in the new interval.
    void beginInterval(std::size_t pages) { pagesLeft_ = pages; }
    // Whether the next page may be requested now.
    bool mayRequest(TimePoint now) const;
    // Whether the requested page has not arrived within the timeout.
    bool isOverdue(TimePoint now) const { return requestedAt_ && now - *requestedAt_ >= pageTimeout_; }
    // Marks the next page as requested and returns the id after which it starts.
    std::uint32_t request(TimePoint now);
    // Handles a page. Ignored unless it is the page that was requested last.
    void pageReceived(std::uint32_t afterId, std::optional<std::uint32_t> lastId, bool isLastPage);

private:
    const Duration pageTimeout_;
    // When the pending page was requested, if any.
    std::optional<TimePoint> requestedAt_;
    bool running_ = false;
    bool done_ = false;
    std::uint32_t afterId_ = 0;
    std::size_t pagesLeft_ = 0;
};

}
