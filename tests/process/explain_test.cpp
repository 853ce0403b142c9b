// Runs `savoryrelayctl explain` on the log lines of the three cases in docs/OPERATIONS.md.
#include "relay_fixture.h"

using namespace savoryrelay::tests;

namespace {

// Log lines of one run, from two hosts.
constexpr auto host_a =
    R"(2026-01-16 06:37:40.777205 level=info event=order runner=i-a1 order=open group=g1-1 epoch=1 model= sequence=1 result=accepted detail="202 " took_ms=0
2026-01-16 06:37:48.326358 level=info event=order runner=i-a1 order=close_now group=g1-1 epoch=1 model= sequence=2 result=accepted detail="202 " took_ms=18
2026-01-16 06:38:02.755174 level=info event=call_ended id=refused1 route=r-1 status=503 reason=all_full endpoint= attempts=0 predicted_ms=0 first_ms= total_ms=101 configuration=2
2026-01-16 06:38:04.004569 level=info event=call_ended id=paused1 route=r-1 status=503 reason=all_paused endpoint=i-a1 attempts=1 predicted_ms=0 first_ms= total_ms=3 configuration=2
)";
constexpr auto host_b =
    R"(2026-01-16 06:37:48.291544 level=info event=attempt_failed id=cut1 endpoint=i-a1 outcome=lost reason="no answer: Operation canceled"
2026-01-16 06:37:50.326192 level=info event=call_ended id=cut1 route=r-1 status=200 reason="stream_broken: stream broke off: Operation canceled" endpoint=i-a0 attempts=2 predicted_ms=216 first_ms=938 total_ms=2784 configuration=2
2026-01-16 06:38:03.004569 level=info event=call_ended id=book1 route=r-2 status=502 reason="no answer: Connection reset by peer" endpoint=i-8c attempts=1 predicted_ms=0 first_ms= total_ms=5 configuration=2
)";

struct explain_fixture {
    test_folder folder;
    std::string a = folder.write("a.log", host_a);
    std::string b = folder.write("b.log", host_b);

    [[nodiscard]] std::string cause(const std::string& id) const {
        child_process command("savoryrelayctl", {"explain", id, a, b});
        return command.read_until("cause: ");
    }
};

} // namespace

TEST_CASE("explain: an interrupted stream, a refused call and a booking with an unknown outcome") {
    const explain_fixture fixture;
    CHECK(fixture.cause("cut1").find("broke off") != std::string::npos);
    CHECK(fixture.cause("refused1").find("has not run (all_full)") != std::string::npos);
    CHECK(fixture.cause("paused1").find("asked the host for a pause") != std::string::npos);
    CHECK(fixture.cause("book1").find("it may have run") != std::string::npos);

    child_process lines("savoryrelayctl", {"explain", "cut1", fixture.b, fixture.a});
    CHECK(lines.read_until("order=open").find("i-a1") != std::string::npos);
    CHECK(lines.read_until("order=close_now").find("g1-1") != std::string::npos);
    child_process unknown("savoryrelayctl", {"explain", "nobody", fixture.a});
    CHECK(unknown.wait() == 1);
}
