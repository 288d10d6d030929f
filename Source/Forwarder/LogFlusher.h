#pragma once

#include "Core/EventLog.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wisteriadock {

// Writes the buffered lines of the log in chunks, so that a burst does not exceed what the log's reader accepts at
// once. Forwarder owns it and calls flush() regularly.
class LogFlusher {
public:
    LogFlusher(boost::asio::io_context& context, EventLog& log)
        : log_(log)
        , timer_(context)
    {
    }

    void flush(TimePoint now)
    {
        if (!log_.flush(now))
            return;
        timer_.expires_after(LineBuffer::chunkInterval);
        timer_.async_wait([this](const boost::system::error_code& error) {
            if (!error)
                flush(Clock::now());
        });
    }

private:
    EventLog& log_;
    boost::asio::steady_timer timer_;
};

}
