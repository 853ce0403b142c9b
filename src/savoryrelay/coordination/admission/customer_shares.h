// Fair shares of customers while capacity is short.
#pragma once

#include "savoryrelay/state/core/sharded_map.h"
#include "savoryrelay/state/core/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace savoryrelay::coordination {

/// Keeps the recent demand of customers by model, as this host has seen it. Thread-safe.
class customer_shares {
public:
    /// Demand counts half after this time.
    static constexpr state::milliseconds half_life{700};
    /// Customers with separate counts for each model. The others share one.
    static constexpr std::size_t max_customers = 256;
    /// A customer is admitted at least at this share of the fraction of all.
    static constexpr double min_share = 0.5;

    /// Records a call of `customer` and returns its admitted fraction, given that of all calls.
    /// Customers share what is admitted so that none below its equal share is cut.
    double fraction_of(const std::string& model, const std::string& customer, double fraction,
                       state::time_point now);

private:
    struct demand {
        double calls = 0; // decayed sum
        state::time_point at{};
    };
    using customer_demands = std::map<std::string, demand>;
    static double fraction_of(customer_demands& customers, const std::string& customer,
                              double fraction, state::time_point now);

    state::sharded_map<std::string, customer_demands> m_models;
};

} // namespace savoryrelay::coordination
