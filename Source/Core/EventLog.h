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

// Where lines go until they are written: a bounded buffer in front of a descriptor that may be a pipe nobody reads.
// Nothing here ever waits. Lines that do not fit are dropped and counted, and the next line that fits says how many.
class LineBuffer {
public:
    // Room for some seconds of lines at the usual load; with a stuck reader, memory stays bounded by it.
    static constexpr std::size_t defaultCapacity = std::size_t(256) * 1024;

    explicit LineBuffer(int descriptor, std::size_t capacity = defaultCapacity);

    // Takes a line without its end. False when it was dropped.
    bool add(std::string_view line);
    // Writes what the descriptor takes at once.
    void flush();

    bool isEmpty() const { return bytes_.empty(); }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t lines() const { return lines_; }

private:
    const int descriptor_;
    const std::size_t capacity_;
    std::string bytes_;
    std::uint64_t lines_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t droppedUnsaid_ = 0;
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
    // Hands the lines so far to the descriptor, and reports what was left out in the seconds before.
    void flush(TimePoint now);

    void setLevel(LogLevel);
    LogLevel level() const { return level_; }
    void setBudget(std::uint32_t linesPerSecond) { budget_ = linesPerSecond; }
    LineBuffer& buffer() { return *buffer_; }
    std::uint64_t leftOut() const { return leftOut_; }

private:
    struct Implementation;
    struct Spending {
        std::uint32_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    void beginSecond(TimePoint now);

    EventOrigin origin_;
    std::shared_ptr<LineBuffer> buffer_;
    std::unique_ptr<Implementation> implementation_;
    LogLevel level_ = LogLevel::Info;
    std::uint32_t budget_;
    std::uint64_t leftOut_ = 0;
    TimePoint second_ = TimePoint::min();
    std::unordered_map<std::string, Spending> spent_;
};

}
