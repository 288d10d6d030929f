#include "FaultProxy/TcpPipe.h"

#include <boost/asio/write.hpp>

namespace wisteriadock {

namespace asio = boost::asio;

std::shared_ptr<TcpPipe> TcpPipe::create(std::weak_ptr<void> owner, Socket& from, Socket& to, FaultCounters& counters,
    Random& random, std::function<void()> onEnd)
{
    std::shared_ptr<TcpPipe> pipe(new TcpPipe(std::move(owner), from, to, std::move(onEnd)));
    auto& context = static_cast<asio::io_context&>(from.get_executor().context());
    pipe->channel_ = std::make_shared<Channel>(
        context, LinkProtocol::Tcp, counters, random, [weak = std::weak_ptr(pipe)](Bytes bytes) {
            if (const auto self = weak.lock())
                self->deliver(std::move(bytes));
        });
    return pipe;
}

TcpPipe::TcpPipe(std::weak_ptr<void> owner, Socket& from, Socket& to, std::function<void()> onEnd)
    : owner_(std::move(owner))
    , from_(from)
    , to_(to)
    , onEnd_(std::move(onEnd))
{
}

void TcpPipe::start() { read(); }

void TcpPipe::close()
{
    closed_ = true;
    channel_->close();
}

void TcpPipe::read()
{
    if (reading_ || sourceEnded_ || closed_ || channel_->bytesWaiting() + writeQueueBytes_ > maxBacklogBytes)
        return;
    reading_ = true;
    from_.async_read_some(asio::buffer(buffer_),
        [self = shared_from_this(), owner = owner_.lock()](const boost::system::error_code& error, std::size_t size) {
            self->reading_ = false;
            if (self->closed_)
                return;
            if (error && error != asio::error::eof) {
                self->fail();
                return;
            }
            self->sourceEnded_ = bool(error);
            self->channel_->push(
                Bytes(self->buffer_.begin(), self->buffer_.begin() + static_cast<std::ptrdiff_t>(size)));
            self->read();
        });
}

void TcpPipe::deliver(Bytes bytes)
{
    writeQueueBytes_ += bytes.size();
    writeQueue_.push_back(std::move(bytes));
    if (writeQueue_.size() == 1)
        write();
}

void TcpPipe::write()
{
    if (closed_)
        return;
    if (writeQueue_.front().empty()) {
        boost::system::error_code ignored;
        to_.shutdown(asio::socket_base::shutdown_send, ignored);
        finished_ = true;
        onEnd_();
        return;
    }
    asio::async_write(to_, asio::buffer(writeQueue_.front()),
        [self = shared_from_this(), owner = owner_.lock()](
            const boost::system::error_code& error, std::size_t) { self->handleWrite(error); });
}

void TcpPipe::handleWrite(const boost::system::error_code& error)
{
    if (closed_)
        return;
    if (error) {
        fail();
        return;
    }
    writeQueueBytes_ -= writeQueue_.front().size();
    writeQueue_.pop_front();
    if (!writeQueue_.empty())
        write();
    read();
}

void TcpPipe::fail()
{
    failed_ = true;
    onEnd_();
}

}
