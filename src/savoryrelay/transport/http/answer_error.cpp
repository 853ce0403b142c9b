// Implements the error category of defective answers.
#include "savoryrelay/transport/http/answer_error.h"

#include <cassert>
#include <string>

namespace savoryrelay::transport {

namespace {

class answer_defect_category final : public boost::system::error_category {
public:
    answer_defect_category() = default;
    answer_defect_category(const answer_defect_category&) = delete;
    answer_defect_category& operator=(const answer_defect_category&) = delete;
    virtual ~answer_defect_category() = default;

    [[nodiscard]] const char* name() const noexcept override { return "http_answer"; }
    [[nodiscard]] std::string message(int value) const override {
        return std::string(state::to_name(static_cast<protocol::answer_defect>(value)));
    }
};

} // namespace

boost::system::error_code make_error_code(protocol::answer_defect defect) {
    assert(defect != protocol::answer_defect::none);
    static const answer_defect_category category;
    return {static_cast<int>(defect), category};
}

} // namespace savoryrelay::transport
