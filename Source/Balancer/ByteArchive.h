#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace wisteriadock {

// Appends little-endian numbers and raw bytes; all sizes are in bytes. RequestMessageCodec uses one description of each
// message for ByteWriter and ByteReader.
class ByteWriter {
public:
    static constexpr bool isReader = false;

    void number(std::uint64_t value, std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            bytes_.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
    }

    void raw(const char* data, std::size_t size) { bytes_.insert(bytes_.end(), data, data + size); }
    std::vector<std::uint8_t> take() { return std::move(bytes_); }

private:
    std::vector<std::uint8_t> bytes_;
};

// Reads what a ByteWriter wrote. After the first missing or invalid byte, numbers read as zero and raw bytes as empty;
// hasFailed() reports it.
class ByteReader {
public:
    static constexpr bool isReader = true;

    explicit ByteReader(std::span<const std::uint8_t> bytes)
        : rest_(bytes)
    {
    }

    std::uint64_t number(std::size_t size)
    {
        if (!require(size))
            return 0;
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i)
            value |= std::uint64_t(rest_[i]) << (8 * i);
        rest_ = rest_.subspan(size);
        return value;
    }

    std::span<const std::uint8_t> raw(std::size_t size)
    {
        if (!require(size))
            return {};
        const auto taken = rest_.first(size);
        rest_ = rest_.subspan(size);
        return taken;
    }

    // Fails unless this many bytes remain. Also checks the element count of a list before memory is reserved for it,
    // since every element takes at least one byte.
    bool require(std::size_t size)
    {
        if (size > rest_.size())
            fail();
        return !hasFailed_;
    }

    void fail()
    {
        hasFailed_ = true;
        rest_ = {};
    }

    bool hasFailed() const { return hasFailed_; }
    bool isAtEnd() const { return rest_.empty(); }

private:
    std::span<const std::uint8_t> rest_;
    bool hasFailed_ = false;
};

}
