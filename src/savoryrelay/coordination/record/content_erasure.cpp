// Deletes content objects and records an entry before and after the deletion.
#include "savoryrelay/coordination/record/content_erasure.h"

namespace savoryrelay::coordination {

state::result<std::size_t> erase_customer_content(const state::platform_hooks& platform,
                                                  record_writer& record,
                                                  const state::customer_id& customer,
                                                  const std::string& actor, state::wall_time now) {
    state::record_entry entry;
    entry.kind = state::record_kind::content_erased;
    entry.actor = actor;
    entry.customer = customer;
    entry.action = "started";
    BOOST_LEAF_CHECK(record.append(entry, now));

    const auto suffix = state::content_suffix(customer);
    BOOST_LEAF_AUTO(names, platform.list_objects(std::string(state::record_prefix)));
    std::size_t deleted = 0;
    for (const auto& name : names) {
        if (name.ends_with(suffix)) {
            BOOST_LEAF_CHECK(platform.delete_object(name));
            ++deleted;
        }
    }

    entry.action = "finished";
    entry.subject = std::to_string(deleted) + " objects";
    entry.result = "ok";
    BOOST_LEAF_CHECK(record.append(entry, now));
    return deleted;
}

} // namespace savoryrelay::coordination
