// Encodes and decodes the messages between members field by field. Every size is
// checked, see bounded_archive.h.
#include "savoryrelay/protocol/peer/peer_codec.h"

#include "savoryrelay/protocol/peer/bounded_archive.h"

namespace savoryrelay::protocol {

using state::failure_kind;

namespace {

/// Unit of the ages in `evidence` as they are sent. Ages of up to 4 s fit into one
/// byte.
constexpr std::uint32_t age_step_ms = 16;

void write_update(bounded_writer& out, const state::member_update& update) {
    out.text(update.id.value(), state::max_member_id_bytes);
    out.text(update.address.ip, state::max_ip_bytes);
    out.number(update.address.port);
    out.number(update.incarnation);
    out.enum_value(update.state);
}

state::member_update read_update(bounded_reader& in) {
    state::member_update update;
    update.id = state::member_id(in.text(state::max_member_id_bytes));
    update.address.ip = in.text(state::max_ip_bytes);
    update.address.port = in.number<std::uint16_t>();
    update.incarnation = in.number<std::uint64_t>();
    update.state = in.enum_value<state::member_state>();
    if (update.id.empty()) {
        throw cereal::Exception("a member update has no member id");
    }
    return update;
}

void write_revisions(bounded_writer& out, const state::revision_view& revisions) {
    out.number(revisions.held);
    out.number(revisions.latest_known);
    out.number(revisions.announced);
}

state::revision_view read_revisions(bounded_reader& in) {
    state::revision_view revisions;
    revisions.held = in.number<std::uint64_t>();
    revisions.latest_known = in.number<std::uint64_t>();
    revisions.announced = in.number<std::uint64_t>();
    return revisions;
}

void write_topic(bounded_writer& out, const state::topic_update& update) {
    out.enum_value(update.topic);
    out.text(update.key, state::max_topic_key_bytes);
    out.text(update.value, state::max_topic_value_bytes);
    out.number(update.version);
}

state::topic_update read_topic(bounded_reader& in) {
    state::topic_update update;
    update.topic = in.enum_value<state::update_topic>();
    update.key = in.text(state::max_topic_key_bytes);
    update.value = in.text(state::max_topic_value_bytes);
    update.version = in.number<std::uint64_t>();
    return update;
}

void write_message(bounded_writer& out, const state::peer_message& message) {
    out.enum_value(message.kind);
    out.text(message.from.value(), state::max_member_id_bytes);
    out.number(message.incarnation);
    out.number(message.sequence);
    out.text(message.target.value(), state::max_member_id_bytes);
    out.number(static_cast<std::uint8_t>(message.caught_up ? 1 : 0));
    write_revisions(out, message.revisions);
    out.count(message.evidence.size(), state::max_evidence);
    for (const auto& each : message.evidence) {
        out.number(each.member);
        out.count((each.age_ms + age_step_ms - 1) / age_step_ms, UINT8_MAX);
    }
    out.count(message.members.size(), UINT8_MAX);
    for (const auto& update : message.members) {
        write_update(out, update);
    }
    out.count(message.topics.size(), UINT8_MAX);
    for (const auto& update : message.topics) {
        write_topic(out, update);
    }
}

state::peer_message read_message(bounded_reader& in) {
    state::peer_message message;
    message.kind = in.enum_value<state::peer_message_kind>();
    message.from = state::member_id(in.text(state::max_member_id_bytes));
    message.incarnation = in.number<std::uint64_t>();
    message.sequence = in.number<std::uint32_t>();
    message.target = state::member_id(in.text(state::max_member_id_bytes));
    message.caught_up = in.number<std::uint8_t>() != 0;
    message.revisions = read_revisions(in);
    const auto evidence = in.count(state::max_evidence);
    for (std::size_t i = 0; i < evidence; ++i) {
        const auto member = in.number<std::uint32_t>();
        message.evidence.push_back({member, in.number<std::uint8_t>() * age_step_ms});
    }
    const auto members = in.count(UINT8_MAX);
    for (std::size_t i = 0; i < members; ++i) {
        message.members.push_back(read_update(in));
    }
    const auto topics = in.count(UINT8_MAX);
    for (std::size_t i = 0; i < topics; ++i) {
        message.topics.push_back(read_topic(in));
    }
    return message;
}

/// Encodes a body by calling `write(writer)`, signs it and checks the size of the frame.
template <typename Write>
state::result<std::string> encode(frame_kind kind, std::size_t limit, const peer_keys& keys,
                                  Write write) {
    try {
        bounded_writer out;
        write(out);
        auto frame = sign_frame(kind, out.take(), keys);
        if (frame.size() <= limit) {
            return frame;
        }
    } catch (const cereal::Exception&) {
        // The only cause is a field above its size limit, which is reported below.
    }
    return state::fail(failure_kind::request_too_large,
                       std::string(state::to_name(kind)) + " exceeds its size limits");
}

template <typename Read>
auto decode_body(std::string_view body, Read read)
    -> state::result<decltype(read(std::declval<bounded_reader&>()))> {
    try {
        bounded_reader in(body);
        auto value = read(in);
        in.finish();
        return value;
    } catch (const cereal::Exception& error) {
        return state::fail(failure_kind::message_damaged, error.what());
    }
}

template <typename Read>
auto decode(frame_kind kind, std::string_view frame, std::size_t limit, const peer_keys& keys,
            Read read) -> state::result<decltype(read(std::declval<bounded_reader&>()))> {
    if (frame.size() > limit) {
        return state::fail(failure_kind::message_damaged, "the frame exceeds its size limit");
    }
    BOOST_LEAF_AUTO(body, verify_frame(kind, frame, keys));
    return decode_body(body, read);
}

} // namespace

state::result<std::string> encode_datagram(const state::peer_message& message,
                                           const peer_keys& keys) {
    return encode(frame_kind::datagram, state::max_datagram_bytes, keys,
                  [&](bounded_writer& out) { write_message(out, message); });
}

state::result<state::peer_message> decode_datagram(std::string_view frame, const peer_keys& keys) {
    return decode(frame_kind::datagram, frame, state::max_datagram_bytes, keys, read_message);
}

state::result<state::peer_message> decode_datagram_body(std::string_view body) {
    return decode_body(body, read_message);
}

state::result<std::string> encode_state_request(const state_request& request,
                                                const peer_keys& keys) {
    return encode(frame_kind::state_request, state::max_datagram_bytes, keys,
                  [&](bounded_writer& out) {
                      out.text(request.from.value(), state::max_member_id_bytes);
                      out.number(request.nonce);
                  });
}

state::result<state_request> decode_state_request(std::string_view frame, const peer_keys& keys) {
    return decode(frame_kind::state_request, frame, state::max_datagram_bytes, keys,
                  [](bounded_reader& in) {
                      state_request request;
                      request.from = state::member_id(in.text(state::max_member_id_bytes));
                      request.nonce = in.number<std::uint64_t>();
                      return request;
                  });
}

state::result<std::string> encode_state_reply(const state_reply& reply, const peer_keys& keys) {
    return encode(frame_kind::state_reply, max_state_frame_bytes, keys, [&](bounded_writer& out) {
        out.number(reply.nonce);
        write_revisions(out, reply.state.revisions);
        out.count<std::uint16_t>(reply.state.members.size(), max_state_members);
        for (const auto& update : reply.state.members) {
            write_update(out, update);
        }
        out.text<std::uint32_t>(reply.state.configuration, max_configuration_bytes);
    });
}

state::result<state_reply> decode_state_reply(std::string_view frame, std::uint64_t nonce,
                                              const peer_keys& keys) {
    BOOST_LEAF_AUTO(
        reply,
        decode(frame_kind::state_reply, frame, max_state_frame_bytes, keys, [](bounded_reader& in) {
            state_reply read;
            read.nonce = in.number<std::uint64_t>();
            read.state.revisions = read_revisions(in);
            const auto members = in.count<std::uint16_t>(max_state_members);
            for (std::size_t i = 0; i < members; ++i) {
                read.state.members.push_back(read_update(in));
            }
            read.state.configuration = in.text<std::uint32_t>(max_configuration_bytes);
            return read;
        }));
    if (reply.nonce != nonce) {
        return state::fail(failure_kind::message_unauthenticated,
                           "the nonce of the reply does not match the request");
    }
    return reply;
}

} // namespace savoryrelay::protocol
