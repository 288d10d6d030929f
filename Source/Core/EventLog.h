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

// The order in which waiting log lines are written.
enum class LinePriority {
    High, // Events of the process, the store, the configuration and the other balancers.
    Low, // Events of single flows and servers, which may come by the hundreds.
};

// A bounded buffer of log lines in front of a non-blocking descriptor, usually a pipe. No call blocks, even if nobody
// reads the pipe. Lines that don't fit are dropped and counted, and a note of the count precedes the next line that
// fits.
//
// Whole lines are written in chunks no larger than PIPE_BUF, which a pipe takes atomically. The owner waits for
// chunkInterval between two chunks, since collectors that serve many processes truncate bursts.
class LineBuffer {
public:
    // Bytes of each of the two queues.
    static constexpr std::size_t defaultCapacity = std::size_t(256) * 1024;
    // PIPE_BUF. A longer line forms a chunk of its own.
    static constexpr std::size_t chunkBytes = 4096;
    // The time between two chunks; with chunkBytes it limits the rate of the output.
    static constexpr std::chrono::milliseconds chunkInterval { 25 };

    explicit LineBuffer(int descriptor, std::size_t capacity = defaultCapacity);

    // Queues a line, given without its line end. Returns false if the line was dropped.
    bool add(std::string_view line, LinePriority = LinePriority::Low);
    // Writes one chunk, lines of high priority first. Returns true if the descriptor took bytes and more are waiting.
    bool flush();
    // Writes chunks until the descriptor takes no more. Called when the process ends.
    void flushAll();

    bool isEmpty() const { return chunk_.empty() && highPriority_.empty() && lowPriority_.empty(); }
    // The number of dropped lines since the start.
    std::uint64_t dropped() const { return dropped_; }
    // The number of queued lines since the start, written or not.
    std::uint64_t lines() const { return lines_; }

private:
    bool writeChunk();
    void fillChunk(std::string& queue);

    const int descriptor_;
    const std::size_t capacity_;
    // The chunk that is being written; after a partial write it holds the rest.
    std::string chunk_;
    // The queued lines. Each queue has the full capacity, so that neither displaces lines of the other.
    std::string highPriority_;
    std::string lowPriority_;
    std::uint64_t lines_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t unreportedDrops_ = 0;
};

// Identifies the process in each of its log lines.
struct EventOrigin {
    std::string vm;
    std::string availabilityZone;
    std::uint64_t incarnation = 0;
};

// Builds the fields of one log line: a JSON object whose keys appear in the order of the add() calls. Keys are not
// escaped and must be plain literals.
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
    // Written in milliseconds with three decimals. The key must end in "_ms".
    Event& add(std::string_view key, Duration value);

private:
    friend class EventLog;

    void beginField(std::string_view key);

    std::string fields_;
};

// The structured log of a daemon: one JSON object per line with a fixed set of leading keys, written through spdlog
// into a LineBuffer. (spdlog rather than log4cxx, because log4cxx takes longer to load and delays the start.)
//
// Each kind of event, identified by part and event, may write a limited number of lines per second. Further lines are
// suppressed, and one "suppressed" line per second reports their count, so that a burst of one kind neither costs much
// processor time nor hides other events.
class EventLog {
public:
    // Lines per second and kind of event.
    static constexpr std::uint32_t defaultBudget = 200;

    EventLog(EventOrigin, int descriptor, std::uint32_t budgetPerSecond = defaultBudget);
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    // Returns whether a line of this kind is within its budget, and counts it as written or suppressed. Lets callers
    // skip building a line that would be suppressed.
    bool admits(std::string_view part, std::string_view event, TimePoint now);
    // Writes the line if the level is enabled and the kind is within its budget.
    void write(LogLevel, std::string_view part, std::string_view event, const Event&, TimePoint now);
    // Writes a line for which admits() has returned true.
    void writeAdmitted(LogLevel, std::string_view part, std::string_view event, const Event&, TimePoint now);
    // Reports the lines suppressed in the previous second and writes one chunk. Returns true if more can be written
    // after LineBuffer::chunkInterval, and false if nothing is left or the descriptor takes no bytes.
    bool flush(TimePoint now);

    void setLevel(LogLevel);
    LogLevel level() const { return level_; }
    void setBudget(std::uint32_t linesPerSecond) { budget_ = linesPerSecond; }
    LineBuffer& buffer() { return *buffer_; }
    // The number of suppressed lines since the start.
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
    // By "part.event", for the second that began at secondStart_.
    std::unordered_map<std::string, Usage> usages_;
};

}
