#pragma once

#include "Core/Error.h"
#include "KeyValue/PlatformCall.h"
#include "Net/Http2Client.h"
#include "Net/HttpMessage.h"

namespace wisteriadock {

// What the caller of a platform call may conclude when HTTP gave no success. The rule: Unavailable is said of a write
// only when the platform provably did not act; whatever leaves doubt is Unknown. Reads have no effect to doubt.

// For a request without an answer.
Error errorOf(const HttpFailure&, PlatformCall);

// For an answer whose status is not 200. Only statuses and bodies that the platform itself writes are believed, so that
// a 404 or 503 of some other server on that address never passes for the platform's word.
Error errorOf(const HttpResponse&, PlatformCall);

// For an answer of status 200 whose body cannot be read.
Error unreadableAnswer(const Error& reason, PlatformCall);

// The answer by which the platform refuses a call that it did not act on. The code must be one of InvalidArgument,
// NotFound, Conflict, ResourceExhausted and Unavailable.
HttpResponse refusalOf(const Error&);

}
