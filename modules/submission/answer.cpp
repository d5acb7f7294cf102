#include <submission/answer.h>

#include <utility>

namespace chivewharf::submission {

answer_ptr refuse(reason why, work_state work, std::string message)
{
    answer reply;
    reply.result = outcome::refused;
    reply.why = why;
    reply.work = work;
    reply.message = std::move(message);
    return std::make_shared<const answer>(std::move(reply));
}

} // namespace chivewharf::submission
