// Divides what is admitted among customers by max-min fairness.
#include "savoryrelay/coordination/admission/customer_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace savoryrelay::coordination {
namespace {

// Calls below this decayed sum are forgotten.
constexpr double min_calls = 0.05;

} // namespace

double customer_shares::fraction_of(const std::string& model, const std::string& customer,
                                    double fraction, state::time_point now) {
    return m_models.update(model, [&](customer_demands& customers) {
        return fraction_of(customers, customer, fraction, now);
    });
}

double customer_shares::fraction_of(customer_demands& customers, const std::string& customer,
                                    double fraction, state::time_point now) {
    const auto decayed = [&](const demand& value) {
        const auto age = std::chrono::duration<double, std::milli>(now - value.at).count();
        return value.calls * std::exp2(-age / static_cast<double>(half_life.count()));
    };
    const bool is_counted = customers.contains(customer) || customers.size() < max_customers;
    auto& own = customers[is_counted ? customer : std::string{}];
    own = {decayed(own) + 1, now};
    if (fraction >= 1) {
        return fraction;
    }

    double total = 0;
    std::vector<double> demands;
    demands.reserve(customers.size());
    std::erase_if(customers, [&](const auto& entry) {
        const double current = decayed(entry.second);
        if (current < min_calls) {
            return true;
        }
        demands.push_back(current);
        total += current;
        return false;
    });
    // The level up to which each customer's demand is admitted.
    std::sort(demands.begin(), demands.end());
    double left = fraction * total;
    double level = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        level = left / static_cast<double>(demands.size() - i);
        if (demands[i] >= level) {
            break;
        }
        left -= demands[i];
    }
    return std::clamp(level / own.calls, min_share * fraction, 1.0);
}

} // namespace savoryrelay::coordination
