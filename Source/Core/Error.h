#pragma once

#include <boost/outcome/basic_outcome.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace wisteriadock {

// What went wrong, in the few classes that callers act on differently.
enum class ErrorCode {
    InvalidArgument, // The caller's input is malformed; sending it again cannot help.
    NotFound, // The named thing does not exist.
    Conflict, // Somebody else changed the thing first; read again, then decide.
    Unavailable, // The other side was not reached: nothing was done there.
    Unknown, // The other side was reached, but its answer is lost: it may have acted.
    DeadlineExceeded, // Given up on; the other side may or may not have acted.
    ResourceExhausted, // A documented limit was reached.
    Cancelled, // The caller itself gave up.
};

// The name of the code as logs and --format json print it ("invalid_argument").
std::string_view nameOf(ErrorCode);

// An error as a value. The detail carries the offending value and its place, for people.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string detail;

    // "conflict: base version 4 is not the newest, 5" as logs show it.
    std::string toString() const;

    bool operator==(const Error&) const = default;
};

// Outcome of a fallible call. Reading the value of a failed result is a broken invariant and stops the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}
