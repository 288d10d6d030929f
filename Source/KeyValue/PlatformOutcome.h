#pragma once

#include "Core/Error.h"
#include "KeyValue/PlatformCall.h"
#include "Net/Http2Client.h"
#include "Net/HttpMessage.h"

namespace wisteriadock {

// Conversion of failed HTTP exchanges to errors of platform calls. A failed write is Unavailable only if it certainly
// had no effect, otherwise Unknown. A read has no effect, so its failure is never Unknown.

// Maps a request without a response.
Error errorOf(const HttpFailure&, PlatformCall);

// Maps a response with a status other than 200. Only statuses with a matching body as the platform writes them keep
// their meaning, so that a 404 or 503 of a proxy or another server is not mistaken for an answer of the platform.
Error errorOf(const HttpResponse&, PlatformCall);

// Maps a response of status 200 with a malformed body.
Error malformedAnswer(const Error& reason, PlatformCall);

// Builds the response with which the platform refuses a call that had no effect. The code must be one of
// InvalidArgument, NotFound, Conflict, ResourceExhausted and Unavailable.
HttpResponse refusalOf(const Error&);

}
