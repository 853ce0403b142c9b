// Divides the call limit of a cold endpoint among the entry hosts without any exchange:
// a few hosts own the endpoint's calls by a rule that all hosts compute alike.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savoryrelay::coordination {

/// Returns how many hosts come before the host `hosts.front()` in the order, equal on all hosts,
/// in which they own the calls of an endpoint. The arguments are those of `cold_call_share`.
[[nodiscard]] std::size_t host_rank(const std::vector<std::uint64_t>& hosts,
                                    std::uint64_t endpoint);

/// Returns the calls that the host `hosts.front()` may send to a cold endpoint in each
/// window. `hosts` holds the hashes of the names of all hosts, `endpoint` that of the
/// endpoint's id, and `limit` is the number of calls of all hosts. The shares of hosts with
/// the same list add up to at most `limit`, because no share is rounded up.
[[nodiscard]] std::size_t cold_call_share(const std::vector<std::uint64_t>& hosts,
                                          std::uint64_t endpoint, double limit);

/// Returns whether a list of `listed` hosts is complete enough to divide limits by it, in a
/// fleet of `counted` hosts. A host that has just started knows few others.
[[nodiscard]] bool is_host_list_complete(std::size_t listed, std::size_t counted);

} // namespace savoryrelay::coordination
