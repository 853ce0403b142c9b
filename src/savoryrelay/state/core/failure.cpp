// Defines the table of failure kinds and the message of a failure.
#include "savoryrelay/state/core/failure.h"

#include <cassert>

namespace savoryrelay::state {
namespace {

using enum failure_kind;
using enum execution_outcome;

constexpr std::array table{
    failure_properties{invalid_request, "invalid_request", 400, not_run, "correct the request"},
    failure_properties{unauthenticated, "unauthenticated", 401, not_run,
                       "send the customer's bearer token"},
    failure_properties{forbidden, "forbidden", 403, not_run,
                       "ask the operators to allow this customer on the deployment"},
    failure_properties{not_found, "not_found", 404, not_run,
                       "check the name against GET /v1/models or the configuration"},
    failure_properties{request_too_large, "request_too_large", 413, not_run,
                       "send a smaller request"},
    failure_properties{idempotency_key_required, "idempotency_key_required", 400, not_run,
                       "send an Idempotency-Key header that is unique to this call"},
    failure_properties{idempotency_key_reused, "idempotency_key_reused", 422, not_run,
                       "use a new Idempotency-Key for a call with another body"},
    failure_properties{call_in_progress, "call_in_progress", 409, unknown,
                       "repeat the call with the same Idempotency-Key later"},
    failure_properties{customer_limit, "customer_limit", 429, not_run,
                       "send fewer tokens a second or retry after the stated time"},
    failure_properties{overloaded, "overloaded", 503, not_run, "retry after the stated time"},
    failure_properties{deadline_exceeded, "deadline_exceeded", 504, unknown,
                       "allow a longer deadline"},
    failure_properties{no_endpoint, "no_endpoint", 503, not_run,
                       "retry later; operators can check savoryrelayctl status"},
    failure_properties{request_quarantined, "request_quarantined", 422, not_run,
                       "do not repeat this request; endpoints that ran it have crashed"},
    failure_properties{isolated, "isolated", 503, not_run,
                       "retry; the balancer sends the request to another entry host"},
    failure_properties{shutting_down, "shutting_down", 503, not_run,
                       "retry; the balancer sends the request to another entry host"},
    failure_properties{store_unavailable, "store_unavailable", 503, not_run,
                       "retry when the platform's table service answers"},
    failure_properties{store_conflict, "store_conflict", 409, not_run,
                       "read the row again and repeat the change"},
    failure_properties{store_result_unknown, "store_result_unknown", 503, unknown,
                       "read the result back by its write key"},
    failure_properties{booking_unknown, "booking_unknown", 502, unknown,
                       "ask the service whether the booking exists; do not book again"},
    failure_properties{endpoint_unreachable, "endpoint_unreachable", 503, not_run,
                       "retry; check the endpoint's address and process"},
    failure_properties{endpoint_failed, "endpoint_failed", 502, unknown,
                       "retry if the request may be repeated"},
    failure_properties{stream_interrupted, "stream_interrupted", 502, unknown,
                       "retry if the request may be repeated"},
    failure_properties{record_unavailable, "record_unavailable", 503, not_run,
                       "retry when the platform's object store answers"},
    failure_properties{record_damaged, "record_damaged", 500, not_run,
                       "keep the segment and compare it with the anchors in the table"},
    failure_properties{revision_conflict, "revision_conflict", 409, not_run,
                       "read the present revision, merge, and submit again"},
    failure_properties{invalid_configuration, "invalid_configuration", 422, not_run,
                       "correct the named field"},
    failure_properties{invalid_settings, "invalid_settings", 422, not_run,
                       "correct the named setting; see docs/settings.md"},
    failure_properties{lease_not_held, "lease_not_held", 409, not_run,
                       "send the order through the present holder"},
    failure_properties{message_damaged, "message_damaged", 400, not_run,
                       "check that both sides run compatible versions"},
    failure_properties{message_unauthenticated, "message_unauthenticated", 401, not_run,
                       "check that all members have the same key file"},
    failure_properties{internal, "internal", 500, unknown,
                       "report the request id to the operators"},
};

} // namespace

const failure_properties& properties_of(failure_kind kind) {
    const auto& row = table.at(static_cast<std::size_t>(kind));
    assert(row.kind == kind && "the table must follow the order of the enumeration");
    return row;
}

std::string failure::message() const {
    const auto& row = properties_of(kind);
    return std::string(row.name) + ": " + detail + "; " + std::string(row.remedy);
}

} // namespace savoryrelay::state
