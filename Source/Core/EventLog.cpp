#include "Core/EventLog.h"

#include <fmt/compile.h>
#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

namespace wisteriadock {

namespace {

    void appendQuoted(std::string& target, std::string_view text)
    {
        target += '"';
        for (const char character : text) {
            const auto byte = static_cast<unsigned char>(character);
            if (character == '"' || character == '\\')
                (target += '\\') += character;
            else if (byte < 0x20 || byte == 0x7f)
                fmt::format_to(std::back_inserter(target), FMT_COMPILE("\\u{:04x}"), byte);
            else
                target += character;
        }
        target += '"';
    }

    void appendThousandths(std::string& target, std::int64_t thousandths)
    {
        if (thousandths < 0)
            target += '-';
        const std::uint64_t size
            = thousandths < 0 ? 0 - static_cast<std::uint64_t>(thousandths) : static_cast<std::uint64_t>(thousandths);
        fmt::format_to(std::back_inserter(target), FMT_COMPILE("{}.{:03}"), size / 1000, size % 1000);
    }

    // Holds the fields of nearly every line without reallocation.
    constexpr std::size_t reservedFieldBytes = 512;

    LinePriority priorityOf(std::string_view part)
    {
        return part == "flow" || part == "server" ? LinePriority::Low : LinePriority::High;
    }

    // Passes spdlog's messages, which are complete lines, to the buffer.
    class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
    public:
        explicit LineSink(std::shared_ptr<LineBuffer> buffer)
            : buffer_(std::move(buffer))
        {
        }

        // Sets the priority of the next message.
        void setPriority(LinePriority priority) { priority_ = priority; }

    protected:
        void sink_it_(const spdlog::details::log_msg& message) override
        {
            buffer_->add({ message.payload.data(), message.payload.size() }, priority_);
        }
        void flush_() override { buffer_->flush(); }

    private:
        std::shared_ptr<LineBuffer> buffer_;
        LinePriority priority_ = LinePriority::High;
    };

    spdlog::level::level_enum toSpdlog(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return spdlog::level::debug;
        case LogLevel::Info:
            return spdlog::level::info;
        case LogLevel::Warning:
            return spdlog::level::warn;
        case LogLevel::Error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

}

LineBuffer::LineBuffer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
    // A blocking write would stop the balancer when the reader of the pipe stops reading.
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool LineBuffer::add(std::string_view line, LinePriority priority)
{
    std::string& queue = priority == LinePriority::High ? highPriority_ : lowPriority_;
    std::string note;
    if (unreportedDrops_ > 0)
        note = fmt::format("{{\"part\":\"log\",\"event\":\"lines_dropped\",\"count\":{}}}\n", unreportedDrops_);
    if (queue.size() + note.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        ++unreportedDrops_;
        return false;
    }
    queue += note;
    unreportedDrops_ = 0;
    queue += line;
    queue += '\n';
    ++lines_;
    return true;
}

bool LineBuffer::flush() { return writeChunk() && !isEmpty(); }

void LineBuffer::flushAll()
{
    while (writeChunk()) { }
}

// Returns true if bytes were written.
bool LineBuffer::writeChunk()
{
    if (chunk_.empty())
        fillChunk(highPriority_);
    if (chunk_.size() < chunkBytes)
        fillChunk(lowPriority_);
    if (chunk_.empty())
        return false;
    ssize_t written = -1;
    do
        written = ::write(descriptor_, chunk_.data(), chunk_.size());
    while (written < 0 && errno == EINTR);
    // The next flush tries again. After a permanent error the queues fill up and lines are dropped.
    if (written <= 0)
        return false;
    chunk_.erase(0, static_cast<std::size_t>(written));
    return true;
}

// Moves as many whole lines as fit into the chunk, and at least one into an empty chunk.
void LineBuffer::fillChunk(std::string& queue)
{
    const std::size_t room = chunkBytes - std::min(chunkBytes, chunk_.size());
    std::size_t end = queue.size();
    if (end > room) {
        const std::size_t last = room == 0 ? std::string::npos : queue.rfind('\n', room - 1);
        end = last == std::string::npos ? 0 : last + 1;
    }
    if (end == 0 && chunk_.empty() && !queue.empty())
        end = queue.find('\n') + 1;
    chunk_.append(queue, 0, end);
    queue.erase(0, end);
}

Event::Event() { fields_.reserve(reservedFieldBytes); }

// Keys are literals and need no escaping.
void Event::beginField(std::string_view key)
{
    fields_ += ",\"";
    fields_ += key;
    fields_ += "\":";
}

Event& Event::add(std::string_view key, std::string_view value)
{
    beginField(key);
    appendQuoted(fields_, value);
    return *this;
}

Event& Event::add(std::string_view key, std::uint64_t value)
{
    beginField(key);
    const fmt::format_int text(value);
    fields_.append(text.data(), text.size());
    return *this;
}

Event& Event::add(std::string_view key, std::int64_t value)
{
    beginField(key);
    const fmt::format_int text(value);
    fields_.append(text.data(), text.size());
    return *this;
}

// Written with three decimals, since integer formatting is faster than formatting a floating-point number.
Event& Event::add(std::string_view key, double value)
{
    beginField(key);
    appendThousandths(fields_, static_cast<std::int64_t>(value * 1000));
    return *this;
}

Event& Event::add(std::string_view key, bool value)
{
    beginField(key);
    fields_ += value ? "true" : "false";
    return *this;
}

Event& Event::add(std::string_view key, Duration value)
{
    beginField(key);
    appendThousandths(fields_, std::chrono::duration_cast<std::chrono::microseconds>(value).count());
    return *this;
}

struct EventLog::Implementation {
    std::shared_ptr<LineSink> sink;
    spdlog::logger logger { "events", sink };
    std::string line {};
};

EventLog::EventLog(EventOrigin origin, int descriptor, std::uint32_t budgetPerSecond)
    : origin_(std::move(origin))
    , buffer_(std::make_shared<LineBuffer>(descriptor))
    , implementation_(std::make_unique<Implementation>(Implementation { std::make_shared<LineSink>(buffer_) }))
    , budget_(budgetPerSecond)
{
    setLevel(level_);
}

EventLog::~EventLog() { buffer_->flushAll(); }

bool EventLog::admits(std::string_view part, std::string_view event, TimePoint now)
{
    if (now >= secondStart_ + std::chrono::seconds(1))
        beginSecond(now);
    std::string kind;
    kind.reserve(part.size() + event.size() + 1);
    ((kind += part) += '.') += event;
    Usage& usage = usages_[kind];
    if (usage.lines >= budget_) {
        ++usage.suppressed;
        ++suppressed_;
        return false;
    }
    ++usage.lines;
    return true;
}

void EventLog::write(LogLevel level, std::string_view part, std::string_view event, const Event& fields, TimePoint now)
{
    if (level >= level_ && admits(part, event, now))
        writeAdmitted(level, part, event, fields, now);
}

void EventLog::writeAdmitted(
    LogLevel level, std::string_view part, std::string_view event, const Event& fields, TimePoint now)
{
    if (level < level_)
        return;
    const auto timeOfDay
        = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch());
    std::string& line = implementation_->line;
    line.clear();
    line += "{\"steady_ms\":";
    appendThousandths(line, std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
    fmt::format_to(std::back_inserter(line),
        FMT_COMPILE(",\"time_of_day_s\":{}.{:06},\"level\":\"{}\",\"part\":\"{}\",\"event\":\"{}\","
                    "\"vm\":\"{}\",\"availability_zone\":\"{}\",\"incarnation\":{}"),
        timeOfDay.count() / 1'000'000, timeOfDay.count() % 1'000'000, nameOf(level), part, event, origin_.vm,
        origin_.availabilityZone, origin_.incarnation);
    line += fields.fields_;
    line += '}';
    implementation_->sink->setPriority(priorityOf(part));
    implementation_->logger.log(toSpdlog(level), spdlog::string_view_t(line.data(), line.size()));
}

bool EventLog::flush(TimePoint now)
{
    if (now >= secondStart_ + std::chrono::seconds(1))
        beginSecond(now);
    return buffer_->flush();
}

void EventLog::setLevel(LogLevel level)
{
    level_ = level;
    implementation_->logger.set_level(toSpdlog(level));
}

void EventLog::beginSecond(TimePoint now)
{
    secondStart_ = now;
    const auto usages = std::exchange(usages_, {});
    for (const auto& [kind, usage] : usages) {
        if (usage.suppressed > 0)
            writeAdmitted(LogLevel::Warning, "log", "suppressed",
                Event().add("kind", kind).add("count", usage.suppressed).add("budget_per_s", budget_), now);
    }
}

}
