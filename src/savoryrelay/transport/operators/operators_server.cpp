// Dispatches operators' requests by path and method, and runs the cxxtools server
// that receives them.
#include "savoryrelay/transport/operators/operators_server.h"

#include "savoryrelay/protocol/operators/drain_edit.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>
#include <string_view>
#include <thread>

namespace savoryrelay::transport {
namespace {

using state::failure_kind;

constexpr std::size_t max_operator_name_bytes = 200;
constexpr unsigned min_server_threads = 1;
constexpr unsigned max_server_threads = 4;

std::optional<std::uint64_t> number_of(std::string_view text) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

// Checks the operator's name. The history stores the name on a line of its own, so it
// must not contain a line break.
state::result<void> check_operator_name(const std::string& name) {
    const bool printable = std::none_of(name.begin(), name.end(), [](char each) {
        return static_cast<unsigned char>(each) < ' ' || each == '\x7f';
    });
    if (name.empty() || name.size() > max_operator_name_bytes || !printable) {
        return state::fail(failure_kind::invalid_request,
                           "the header Savoryrelay-Operator must name the operator in at most " +
                               std::to_string(max_operator_name_bytes) + " printable characters");
    }
    return {};
}

// Submits a change and reports it, whether it is accepted or not.
state::result<std::uint64_t> submit_change(operator_change change, const std::string& document,
                                           const operator_hooks& hooks) {
    const auto result = state::collect([&] {
        return hooks.submit(document, change.from_revision, change.operator_name, hooks.now());
    });
    if (result) {
        change.to_revision = result.value();
    } else {
        change.failure = result.error();
    }
    hooks.changed(change);
    if (!result) {
        return state::fail(result.error());
    }
    return result.value();
}

state::result<std::string> answer_status(const operator_request&, const operator_hooks& hooks) {
    return protocol::encode_status(hooks.status());
}

state::result<std::string> answer_configuration(const operator_request& request,
                                                const operator_hooks& hooks) {
    static constexpr std::string_view prefix = "/configuration/";
    std::optional<std::uint64_t> revision;
    if (request.path.starts_with(prefix)) {
        revision = number_of(std::string_view(request.path).substr(prefix.size()));
        if (!revision) {
            return state::fail(failure_kind::invalid_request,
                               "the revision in the path must be a whole number");
        }
    }
    BOOST_LEAF_AUTO(found, hooks.read_configuration(revision));
    return protocol::encode_configuration_revision(found);
}

state::result<std::string> answer_submission(const operator_request& request,
                                             const operator_hooks& hooks) {
    static constexpr std::string_view name = "expected=";
    BOOST_LEAF_CHECK(check_operator_name(request.operator_name));
    const auto expected = request.query.starts_with(name)
                              ? number_of(std::string_view(request.query).substr(name.size()))
                              : std::nullopt;
    if (!expected) {
        return state::fail(failure_kind::invalid_request,
                           "?expected=N must give the revision that the document replaces");
    }
    BOOST_LEAF_AUTO(revision, submit_change({.operator_name = request.operator_name,
                                             .action = "submit",
                                             .subject = {},
                                             .from_revision = *expected,
                                             .to_revision = 0,
                                             .failure = std::nullopt},
                                            request.body, hooks));
    return protocol::encode_accepted_revision(revision);
}

state::result<std::string> change_drain(const operator_request& request,
                                        const operator_hooks& hooks, bool drained) {
    BOOST_LEAF_CHECK(check_operator_name(request.operator_name));
    BOOST_LEAF_AUTO(drain, protocol::decode_drain_request(request.body));
    BOOST_LEAF_AUTO(current, hooks.read_configuration(std::nullopt));
    BOOST_LEAF_AUTO(document, protocol::with_drain_flag(current.document, drain, drained));
    BOOST_LEAF_AUTO(revision, submit_change({.operator_name = request.operator_name,
                                             .action = drained ? "drain" : "return",
                                             .subject = std::string(state::to_name(drain.target)) +
                                                        " " + drain.id,
                                             .from_revision = current.revision,
                                             .to_revision = 0,
                                             .failure = std::nullopt},
                                            document, hooks));
    return protocol::encode_accepted_revision(revision);
}

struct operator_route {
    std::string_view method;
    std::string_view path;
    bool is_prefix; ///< matches every path that starts with `path`
    std::function<state::result<std::string>(const operator_request&, const operator_hooks&)>
        answer;
};

const std::array<operator_route, 6>& routes() {
    static const std::array<operator_route, 6> rows{
        operator_route{"GET", "/status", false, answer_status},
        operator_route{"GET", "/configuration", false, answer_configuration},
        operator_route{"GET", "/configuration/", true, answer_configuration},
        operator_route{"PUT", "/configuration", false, answer_submission},
        operator_route{"POST", "/drain", false,
                       [](const operator_request& request, const operator_hooks& hooks) {
                           return change_drain(request, hooks, true);
                       }},
        operator_route{"POST", "/return", false,
                       [](const operator_request& request, const operator_hooks& hooks) {
                           return change_drain(request, hooks, false);
                       }},
    };
    return rows;
}

class operators_responder : public cxxtools::http::Responder {
public:
    operators_responder(cxxtools::http::Service& service, const operator_hooks& hooks)
        : Responder(service), m_hooks(hooks) {}

    std::size_t readBody(std::istream& in) override { // NOLINT(readability-identifier-naming)
        const auto count = Responder::readBody(in);
        m_body_bytes += count;
        if (m_body_bytes > max_operator_body_bytes) {
            throw std::length_error("the body has more than " +
                                    std::to_string(max_operator_body_bytes) + " bytes");
        }
        return count;
    }

    void reply(std::ostream& out, cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override {
        const char* name = request.getHeader("Savoryrelay-Operator");
        const auto answer = answer_operator_request(
            {request.method(), request.url(), request.qparams(),
             name == nullptr ? std::string{} : std::string(name), request.bodyStr()},
            m_hooks);
        reply.setHeader("Content-Type", "application/json");
        reply.httpReturn(answer.status, answer.status < 400 ? "OK" : "Refused");
        out << answer.body;
    }

private:
    const operator_hooks& m_hooks;
    std::size_t m_body_bytes = 0;
};

class operators_service : public cxxtools::http::Service {
public:
    explicit operators_service(operator_hooks hooks) : m_hooks(std::move(hooks)) {}

protected:
    // cxxtools takes ownership of a plain pointer and returns it to `releaseResponder`.
    cxxtools::http::Responder* // NOLINTNEXTLINE(readability-identifier-naming)
    createResponder(const cxxtools::http::Request&) override {
        return new operators_responder(*this, m_hooks);
    }
    // NOLINTNEXTLINE(readability-identifier-naming)
    void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

private:
    operator_hooks m_hooks;
};

} // namespace

operator_answer answer_operator_request(const operator_request& request,
                                        const operator_hooks& hooks) {
    const auto result = state::collect([&]() -> state::result<std::string> {
        for (const auto& route : routes()) {
            const bool matches =
                route.is_prefix ? request.path.starts_with(route.path) : request.path == route.path;
            if (matches && route.method == request.method) {
                return route.answer(request, hooks);
            }
        }
        return state::fail(failure_kind::not_found,
                           request.method + " " + request.path + " is not part of the interface");
    });
    if (result) {
        return {200, result.value()};
    }
    return {static_cast<unsigned>(state::properties_of(result.error().kind).http_status),
            protocol::encode_operator_failure(result.error())};
}

struct operators_server::implementation {
    implementation(const std::string& address, std::uint16_t port, operator_hooks hooks)
        : service(std::move(hooks)), server(loop, address, port) {
        server.minThreads(min_server_threads);
        server.maxThreads(max_server_threads);
        server.addService(cxxtools::Regex("^/"), service);
        thread = std::thread([this] { loop.run(); });
    }
    ~implementation() {
        loop.exit();
        thread.join();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    operators_service service;
    cxxtools::EventLoop loop;
    cxxtools::http::Server server;
    std::thread thread;
};

operators_server::operators_server(const std::string& address, std::uint16_t port,
                                   operator_hooks hooks)
    : m_implementation(std::make_unique<implementation>(address, port, std::move(hooks))) {}

operators_server::~operators_server() = default;

} // namespace savoryrelay::transport
