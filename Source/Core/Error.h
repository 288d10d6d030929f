#pragma once

#include <boost/outcome/basic_outcome.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <string_view>

namespace wisteriadock {

// The classes of errors that callers handle differently.
enum class ErrorCode {
    InvalidArgument, // The input is malformed; a retry with the same input fails again.
    NotFound, // The named object does not exist.
    Conflict, // The object was changed concurrently; read it again before a retry.
    Unavailable, // The other side was not reached or refused the call; the call had no effect.
    Unknown, // The call may have reached the other side, but its answer is lost; the call may have taken effect.
    DeadlineExceeded, // The deadline passed; the call may or may not have taken effect.
    ResourceExhausted, // A documented limit was reached.
    Cancelled, // The caller cancelled the call.
};

// Returns the name of the code as in logs and the output of --format json ("invalid_argument").
std::string_view nameOf(ErrorCode);

// An error as a value. The detail is text for people that names the offending value and where it was found.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string detail;

    // Returns code and detail as logs show them, "conflict: base version 4 is not the newest, 5".
    std::string toString() const;

    bool operator==(const Error&) const = default;
};

// The result of a call that can fail. Reading the value of a failed result terminates the process.
template <typename T> using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

}
