#pragma once

#include "Core/Clock.h"
#include "Core/LogLevel.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace wisteriadock {

// Which lines go first when there are more than a reader takes.
enum class LinePriority {
    High, // What became of the process, the store, the configuration and the other balancers.
    Low, // Single flows and servers, of which there may be hundreds at once.
};

// Where lines go until they are written: a bounded buffer in front of a descriptor that may be a pipe nobody reads.
// Nothing here ever waits. Lines that do not fit are dropped and counted, and the next line that fits says how many.
//
// Lines are written whole, in pieces that a pipe takes at once or not at all, and with pauses between them: whoever
// collects the lines of hundreds of processes keeps only so much of a burst, and cuts the rest off in the middle.
class LineBuffer {
public:
    // Room for some seconds of lines at the usual load; with a stuck reader, memory stays bounded by it.
    static constexpr std::size_t defaultCapacity = std::size_t(256) * 1024;
    // What a pipe takes as a whole (PIPE_BUF). A longer line is a piece by itself.
    static constexpr std::size_t chunkBytes = 4096;
    // Between two pieces: 160 KB a second at most.
    static constexpr std::chrono::milliseconds chunkInterval { 25 };

    explicit LineBuffer(int descriptor, std::size_t capacity = defaultCapacity);

    // Takes a line without its end. False when it was dropped.
    bool add(std::string_view line, LinePriority = LinePriority::Low);
    // Writes one piece, the story first. True when the descriptor took it and more is left.
    bool flush();
    // Writes what the descriptor takes at once, for a process that ends.
    void flushAll();

    bool isEmpty() const { return chunk_.empty() && highPriority_.empty() && lowPriority_.empty(); }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t lines() const { return lines_; }

private:
    bool writeChunk();
    void fillChunk(std::string& queue);

    const int descriptor_;
    const std::size_t capacity_;
    // What is being written; empty, or begun with a whole line.
    std::string chunk_;
    // Each may fill the capacity, so that neither drops lines of the other.
    std::string highPriority_;
    std::string lowPriority_;
    std::uint64_t lines_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDrops_ = 0;
};

// What every line of a process carries.
struct EventOrigin {
    std::string vm;
    std::string availabilityZone;
    std::uint64_t incarnation = 0;
};

// One line of a structured log while it is put together: a JSON object whose keys stand in the order of the calls.
class Event {
public:
    Event();
    Event& add(std::string_view key, std::string_view value);
    Event& add(std::string_view key, const char* value) { return add(key, std::string_view(value)); }
    Event& add(std::string_view key, const std::string& value) { return add(key, std::string_view(value)); }
    Event& add(std::string_view key, std::uint64_t value);
    Event& add(std::string_view key, std::int64_t value);
    Event& add(std::string_view key, std::uint32_t value) { return add(key, std::uint64_t(value)); }
    Event& add(std::string_view key, int value) { return add(key, std::int64_t(value)); }
    Event& add(std::string_view key, double value);
    Event& add(std::string_view key, bool value);
    // Milliseconds with three decimals. The key ends in "_ms".
    Event& add(std::string_view key, Duration value);

private:
    friend class EventLog;

    void beginField(std::string_view key);

    std::string fields_;
};

// The structured log of a daemon: one JSON object a line with a fixed set of first keys, written through spdlog into a
// LineBuffer (spdlog, not log4cxx: loading that one takes 2.7 ms of processor time at each start, which a VM with 0.055
// of a core needs 49 ms for, while callers wait). Each kind of event has a budget of lines a second; what goes beyond
// is counted and summed up in a line of its own, so that a storm of one kind neither costs much nor hides the others.
class EventLog {
public:
    // Above the usual rate of a busy balancer; a storm of bad packets stays a few percent of a small VM's processor.
    static constexpr std::uint32_t defaultBudget = 200;

    EventLog(EventOrigin, int descriptor, std::uint32_t budgetPerSecond = defaultBudget);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    // Whether a line of this kind is within its budget; asking counts. Lets callers skip putting together what would be
    // left out.
    bool admits(std::string_view part, std::string_view event, TimePoint now);
    // Writes the line, if its kind is within the budget.
    void write(LogLevel, std::string_view part, std::string_view event, const Event&, TimePoint now);
    // The same for a line that admits() let through.
    void writeAdmitted(LogLevel, std::string_view part, std::string_view event, const Event&, TimePoint now);
    // Hands a piece of the lines so far to the descriptor, and reports what was left out in the seconds before. True
    // when it is to be called again after LineBuffer::chunkInterval; a reader that takes nothing is tried again later.
    bool flush(TimePoint now);

    void setLevel(LogLevel);
    LogLevel level() const { return level_; }
    void setBudget(std::uint32_t linesPerSecond) { budget_ = linesPerSecond; }
    LineBuffer& buffer() { return *buffer_; }
    std::uint64_t suppressed() const { return suppressed_; }

private:
    struct Implementation;
    struct Usage {
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    void beginSecond(TimePoint now);

    EventOrigin origin_;
    std::shared_ptr<LineBuffer> buffer_;
    std::unique_ptr<Implementation> implementation_;
    LogLevel level_ = LogLevel::Info;
    std::uint32_t budget_;
    std::uint64_t suppressed_ = 0;
    TimePoint secondStart_ = TimePoint::min();
    std::unordered_map<std::string, Usage> usages_;
};

}
