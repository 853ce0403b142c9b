// Finds routes, customers and models by their keys.
#include "savoryrelay/state/serving/serving_configuration.h"

#include <algorithm>
#include <cctype>

namespace savoryrelay::state {
namespace {

// Host names are compared case-insensitively and without a port.
std::string normalized_host(std::string_view host) {
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

const model_rule* engine_rule::find_model(std::string_view name) const {
    const auto found =
        std::find_if(models.begin(), models.end(), [&](const auto& m) { return m.name == name; });
    return found == models.end() ? nullptr : &*found;
}

void serving_configuration::index() {
    m_routes_by_host.clear();
    m_customers_by_key.clear();
    for (std::size_t i = 0; i < routes.size(); ++i) {
        m_routes_by_host[normalized_host(routes[i].host)].push_back(i);
    }
    for (auto& [host, rows] : m_routes_by_host) {
        std::stable_sort(rows.begin(), rows.end(), [&](std::size_t left, std::size_t right) {
            return routes[left].path_prefix.size() > routes[right].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < customers.size(); ++i) {
        for (const auto& key : customers[i].keys) {
            m_customers_by_key.emplace(key, i);
        }
    }
}

const route_rule* serving_configuration::find_route(std::string_view host,
                                                    std::string_view path) const {
    const auto rows = m_routes_by_host.find(normalized_host(host));
    if (rows == m_routes_by_host.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (const auto row : rows->second) {
        if (path.starts_with(routes[row].path_prefix)) {
            return &routes[row];
        }
    }
    return nullptr;
}

const customer_rule* serving_configuration::find_customer(const std::string& key) const {
    const auto found = m_customers_by_key.find(key);
    return found == m_customers_by_key.end() ? nullptr : &customers[found->second];
}

} // namespace savoryrelay::state
