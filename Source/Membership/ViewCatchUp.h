#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace wisteriadock {

// Reads the whole view from peers, page by page in the order of ids, at a bounded pace. Any peer may send any page, so
// a peer that dies halfway costs one interval.
class ViewCatchUp {
public:
    // Starts from the first id, also in the middle of a catch-up.
    void start();
    bool isRunning() const { return running_; }
    // True once a whole view was read.
    bool isDone() const { return done_; }
    // Allows so many more requests. An unanswered request may be sent again.
    void beginInterval(std::size_t pages) { pagesLeft_ = pages; }
    // The id after which the next page is wanted; nothing while none may be asked for.
    std::optional<std::uint32_t> nextRequest();
    // Takes a page in; pages that were not asked for last are ignored.
    void received(std::uint32_t after, std::optional<std::uint32_t> lastId, bool isLastPage);

private:
    bool running_ = false;
    bool done_ = false;
    std::uint32_t after_ = 0;
    std::size_t pagesLeft_ = 0;
};

}
