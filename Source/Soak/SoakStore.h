#pragma once

#include "KeyValue/PlatformCalls.h"
#include "Net/Http1Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wisteriadock {

// A stand-in for the platform's store that speaks its protocol and can be set to fail. SoakRun writes the entries.
class SoakStore {
public:
    enum class Fault {
        None,
        Busy, // Answers every call with status 503.
        Unresponsive, // Accepts calls and never answers.
        Slow, // Answers with a delay.
    };

    static Result<std::unique_ptr<SoakStore>> open(boost::asio::io_context&, Endpoint);
    SoakStore(const SoakStore&) = delete;
    SoakStore& operator=(const SoakStore&) = delete;

    Endpoint address() const { return server_->address(); }

    void put(const std::string& key, std::string value);
    void remove(const std::string& key);
    // Whether the key exists with this value.
    bool holds(const std::string& key, const std::string& value) const;
    // A copy of the items and the revision. After restore() revisions are given out again, and the era is higher.
    struct Copy {
        std::map<std::string, PlatformItem> items;
        std::uint64_t revision = 0;
        std::uint64_t era = 0;
    };
    enum class WaitingWatches {
        Cut, // Answered with an error.
        Kept, // Wait on for a revision above theirs.
    };
    Copy copy() const { return { items_, revision_, era_ }; }
    void restore(const Copy&, WaitingWatches);
    // Watches from a revision before the current one fail from now on, as their history is gone.
    void compactHistory() { compactedRevision_ = revision_; }
    void setFault(Fault fault) { fault_ = fault; }
    enum class StaleReads {
        None,
        AllPages,
        SecondPages, // Every second page. Pages are small, so that a listing has several.
    };
    // While set, these pages of listings that may be stale show the items as of this call.
    void setStaleReads(StaleReads);
    std::uint64_t calls() const { return calls_; }

private:
    // A watch that waits for a change or its timeout.
    struct PendingWatch {
        std::shared_ptr<Http1Exchange> exchange;
        ChangesCall call;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    explicit SoakStore(boost::asio::io_context& context)
        : context_(context)
    {
    }

    void handle(const std::shared_ptr<Http1Exchange>&);
    void answer(const std::shared_ptr<Http1Exchange>&);
    PlatformPage pageOf(const ListCall&) const;
    void watch(const std::shared_ptr<Http1Exchange>&, const ChangesCall&);
    void respond(Http1Exchange&, int status, std::string body = {}) const;
    PlatformChanges changesAfter(const ChangesCall&) const;
    void answerPendingWatches();

    boost::asio::io_context& context_;
    std::unique_ptr<Http1Server> server_;
    std::map<std::string, PlatformItem> items_;
    std::optional<Copy> staleCopy_;
    StaleReads staleReads_ = StaleReads::None;
    std::vector<PlatformItem> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t compactedRevision_ = 0;
    std::uint64_t era_ = 1;
    std::uint64_t calls_ = 0;
    Fault fault_ = Fault::None;
    std::map<std::uint64_t, PendingWatch> pendingWatches_;
    std::uint64_t nextWatchId_ = 0;
    std::vector<std::shared_ptr<Http1Exchange>> unanswered_;
};

}
