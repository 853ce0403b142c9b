// Implements the category of the errors of answers.
#include "savoryrelay/transport/http/answer_error.h"

#include <string>

namespace savoryrelay::transport {
namespace {

class answer_error_category final : public boost::system::error_category {
public:
    answer_error_category() = default;
    answer_error_category(const answer_error_category&) = delete;
    answer_error_category& operator=(const answer_error_category&) = delete;
    virtual ~answer_error_category() = default;

    [[nodiscard]] const char* name() const noexcept override { return "answer"; }
    [[nodiscard]] std::string message(int value) const override {
        return std::string(state::to_name(static_cast<answer_error>(value)));
    }
};

} // namespace

boost::system::error_code make_error_code(answer_error error) {
    static const answer_error_category category;
    return {static_cast<int>(error), category};
}

} // namespace savoryrelay::transport
