// Implements the judgement of a stream's end.
#include "savoryrelay/coordination/serving/stream_end.h"

namespace savoryrelay::coordination {

stream_end judge_stream_end(const stream_end_evidence& evidence) {
    if (evidence.has_partial_event) {
        return stream_end::partial_event;
    }
    if (evidence.has_bytes_after) {
        return stream_end::bytes_after_end;
    }
    return evidence.is_unconfirmed ? stream_end::unconfirmed : stream_end::complete;
}

} // namespace savoryrelay::coordination
