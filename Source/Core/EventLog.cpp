#include "Core/EventLog.h"

#include <fmt/compile.h>
#include <fmt/format.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/logger.h>
#include <log4cxx/spi/loggingevent.h>

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

    double millisecondsOf(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

    // Hands log4cxx's events, whose messages are whole lines already, to the buffer.
    class LineAppender : public log4cxx::AppenderSkeleton {
    public:
        explicit LineAppender(std::shared_ptr<LineBuffer> buffer)
            : buffer_(std::move(buffer))
        {
        }

        void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool&) override
        {
            if (buffer_)
                buffer_->add(event->getMessage());
        }
        void close() override { }
        bool requiresLayout() const override { return false; }

        // The library's own type information. Nobody asks this class for more than what it derives from.
        const log4cxx::helpers::Class& getClass() const override { return AppenderSkeleton::getStaticClass(); }
        const void* cast(const log4cxx::helpers::Class& wanted) const override
        {
            return log4cxx::AppenderSkeleton::cast(wanted);
        }

    private:
        std::shared_ptr<LineBuffer> buffer_;
    };

    log4cxx::LevelPtr toLog4cxx(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cxx::Level::getDebug();
        case LogLevel::Info:
            return log4cxx::Level::getInfo();
        case LogLevel::Warning:
            return log4cxx::Level::getWarn();
        case LogLevel::Error:
            return log4cxx::Level::getError();
        }
        return log4cxx::Level::getInfo();
    }

}

LineBuffer::LineBuffer(int descriptor, std::size_t capacity)
    : descriptor_(descriptor)
    , capacity_(capacity)
{
    // Without this, a reader that stops reading would stop the whole balancer at the next line.
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool LineBuffer::add(std::string_view line)
{
    std::string note;
    if (droppedUnsaid_ > 0)
        note = fmt::format("{{\"part\":\"log\",\"event\":\"lines_dropped\",\"count\":{}}}\n", droppedUnsaid_);
    if (bytes_.size() + note.size() + line.size() + 1 > capacity_) {
        ++dropped_;
        ++droppedUnsaid_;
        return false;
    }
    bytes_ += note;
    droppedUnsaid_ = 0;
    bytes_ += line;
    bytes_ += '\n';
    ++lines_;
    return true;
}

void LineBuffer::flush()
{
    while (!bytes_.empty()) {
        const ssize_t written = ::write(descriptor_, bytes_.data(), bytes_.size());
        if (written < 0 && errno == EINTR)
            continue;
        // A full pipe is tried again at the next flush. What can never be written only fills the buffer.
        if (written <= 0)
            return;
        bytes_.erase(0, static_cast<std::size_t>(written));
    }
}

Event& Event::add(std::string_view key, std::string_view value)
{
    fields_ += ',';
    appendQuoted(fields_, key);
    fields_ += ':';
    appendQuoted(fields_, value);
    return *this;
}

Event& Event::add(std::string_view key, std::uint64_t value)
{
    fmt::format_to(std::back_inserter(fields_), FMT_COMPILE(",\"{}\":{}"), key, value);
    return *this;
}

Event& Event::add(std::string_view key, std::int64_t value)
{
    fmt::format_to(std::back_inserter(fields_), FMT_COMPILE(",\"{}\":{}"), key, value);
    return *this;
}

Event& Event::add(std::string_view key, double value)
{
    fmt::format_to(std::back_inserter(fields_), FMT_COMPILE(",\"{}\":{:.3f}"), key, value);
    return *this;
}

Event& Event::add(std::string_view key, bool value)
{
    fmt::format_to(std::back_inserter(fields_), FMT_COMPILE(",\"{}\":{}"), key, value);
    return *this;
}

Event& Event::add(std::string_view key, Duration value) { return add(key, millisecondsOf(value)); }

struct EventLog::Implementation {
    log4cxx::LoggerPtr logger;
    std::shared_ptr<LineAppender> appender;
    std::string line;
};

EventLog::EventLog(EventOrigin origin, int descriptor, std::uint32_t budgetPerSecond)
    : origin_(std::move(origin))
    , buffer_(std::make_shared<LineBuffer>(descriptor))
    , implementation_(std::make_unique<Implementation>())
    , budget_(budgetPerSecond)
{
    // A logger of its own for each log, so that tests can have several.
    static int count = 0;
    implementation_->logger = log4cxx::Logger::getLogger("events" + std::to_string(count++));
    implementation_->logger->setAdditivity(false);
    implementation_->appender = std::make_shared<LineAppender>(buffer_);
    implementation_->logger->addAppender(implementation_->appender);
    setLevel(level_);
}

EventLog::~EventLog()
{
    buffer_->flush();
    implementation_->logger->removeAllAppenders();
}

bool EventLog::admits(std::string_view part, std::string_view event, TimePoint now)
{
    if (now - second_ >= std::chrono::seconds(1))
        beginSecond(now);
    std::string kind;
    kind.reserve(part.size() + event.size() + 1);
    ((kind += part) += '.') += event;
    Spending& spending = spent_[kind];
    if (spending.lines >= budget_) {
        ++spending.leftOut;
        ++leftOut_;
        return false;
    }
    ++spending.lines;
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
    fmt::format_to(std::back_inserter(line),
        FMT_COMPILE(
            "{{\"steady_ms\":{:.3f},\"time_of_day_s\":{}.{:06},\"level\":\"{}\",\"part\":\"{}\",\"event\":\"{}\","
            "\"vm\":\"{}\",\"availability_zone\":\"{}\",\"incarnation\":{}"),
        millisecondsOf(now.time_since_epoch()), timeOfDay.count() / 1'000'000, timeOfDay.count() % 1'000'000,
        nameOf(level), part, event, origin_.vm, origin_.availabilityZone, origin_.incarnation);
    line += fields.fields_;
    line += '}';
    implementation_->logger->forcedLog(toLog4cxx(level), line);
}

void EventLog::flush(TimePoint now)
{
    if (now - second_ >= std::chrono::seconds(1))
        beginSecond(now);
    buffer_->flush();
}

void EventLog::setLevel(LogLevel level)
{
    level_ = level;
    implementation_->logger->setLevel(toLog4cxx(level));
}

void EventLog::beginSecond(TimePoint now)
{
    second_ = now;
    const auto spent = std::exchange(spent_, {});
    for (const auto& [kind, spending] : spent) {
        if (spending.leftOut > 0)
            writeAdmitted(LogLevel::Warning, "log", "left_out",
                Event().add("kind", kind).add("count", spending.leftOut).add("budget_per_s", budget_), now);
    }
}

}
